// SPDX-License-Identifier: Apache-2.0

// Package wire defines the messages and gRPC services that the daemons of cairnwick use among themselves and
// for cairnctl: wire.proto those of gateways, schedulers and operators, share.proto those of entry boxes.
//
// The files named *.pb.go are generated from the two by `make generate`.
package wire
