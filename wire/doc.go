// SPDX-License-Identifier: Apache-2.0

// Package wire holds the messages and services that the daemons of cairnwick
// speak among themselves and towards operators.
//
// Everything but this file is generated from wire.proto; `make generate`
// makes it anew.
package wire
