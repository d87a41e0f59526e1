// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"net/http"
	"sync/atomic"
)

// proof says what proves that an attempt was not executed.
type proof string

// The proofs.
const (
	noProof     proof = "none"        // it may have been executed
	unsent      proof = "unsent"      // no byte of the request was sent
	rejected    proof = "rejected"    // the response to this request says that it was not executed
	misdirected proof = "misdirected" // the response to this request says that the endpoint is another one, or lacks the adapter
)

// promisesNotExecuted reports whether a status tells the caller that the request was not executed and never will be.
func promisesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// ProofCounts counts failed attempts by what proves that they were not executed.
type ProofCounts struct {
	None        int64 `json:"none"`
	Unsent      int64 `json:"unsent"`
	Rejected    int64 `json:"rejected"`
	Misdirected int64 `json:"misdirected"`
	// Unproven counts responses of endpoints whose status promises that the request was not executed, without a proof.
	Unproven int64 `json:"unproven_refusals"`
}

// proofCounters are the counters behind ProofCounts.
type proofCounters struct {
	none, unsent, rejected, misdirected, unproven atomic.Int64
}

func (c *proofCounters) add(p proof) {
	switch p {
	case unsent:
		c.unsent.Add(1)
	case rejected:
		c.rejected.Add(1)
	case misdirected:
		c.misdirected.Add(1)
	default:
		c.none.Add(1)
	}
}

// Proofs returns counts of the failed attempts by what proves that they were not executed.
func (g *Gateway) Proofs() ProofCounts {
	c := &g.proofCounters
	return ProofCounts{
		None: c.none.Load(), Unsent: c.unsent.Load(), Rejected: c.rejected.Load(), Misdirected: c.misdirected.Load(), Unproven: c.unproven.Load(),
	}
}
