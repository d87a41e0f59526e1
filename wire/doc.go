// SPDX-License-Identifier: Apache-2.0

// Package wire holds the messages and services that the daemons of cairnwick
// speak among themselves and towards operators: wire.proto those of gateways,
// schedulers and operators, share.proto those of entry boxes.
//
// Everything but this file is generated from the two; `make generate` makes it anew.
package wire
