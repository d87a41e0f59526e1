// SPDX-License-Identifier: Apache-2.0

// Package standin holds small stand-ins for what surrounds cairnwick: a model
// engine, a plain service, the platform with its weight store, and a TCP proxy
// that injects faults.
//
// They speak the published protocols over real sockets, misbehave on command,
// and count every breach of a promise that they see.
package standin
