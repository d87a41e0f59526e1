// SPDX-License-Identifier: Apache-2.0

// Package standin implements test doubles for the systems around cairnwick: a
// model engine, a plain HTTP service, the platform's key-value service, its
// weight store, and a fault-injecting TCP proxy.
//
// They speak the published protocols over real sockets, fail on command, and
// count the invariant violations that they observe.
package standin
