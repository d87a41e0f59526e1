// SPDX-License-Identifier: Apache-2.0

package policy

import "time"

// BatchPolicy is the trade-off between latency and throughput. Fullness is 0 to defer no requests,
// up to 1 to defer them until batches are full.
type BatchPolicy struct {
	Fullness float64
}

// QueuedRequest describes a request in the queue of an endpoint.
type QueuedRequest struct {
	Priority      int           // of its class; lower runs first
	Waited        time.Duration // so far
	Remaining     time.Duration // until its deadline
	CallerRunning int           // running requests of the same caller
	Ready         bool          // its adapter is loaded and the request is not deferred
}

// agingInterval is the wait that raises a request's priority by one, to prevent starvation of low
// priorities.
const agingInterval = 2 * time.Second

// NextQueued returns the index of the request to run next, or -1 if none is ready. The order is by
// aged priority, then by fewest running requests of the caller, then by longest wait.
func NextQueued(list []QueuedRequest) int {
	best := -1
	for i, w := range list {
		if !w.Ready {
			continue
		}
		if best < 0 || w.before(list[best]) {
			best = i
		}
	}
	return best
}

func (q QueuedRequest) before(o QueuedRequest) bool {
	a, b := q.agedPriority(), o.agedPriority()
	if a != b {
		return a < b
	}
	if q.CallerRunning != o.CallerRunning {
		return q.CallerRunning < o.CallerRunning
	}
	return q.Waited > o.Waited
}

func (q QueuedRequest) agedPriority() int { return q.Priority - int(q.Waited/agingInterval) }

// Admission is the input to Admit for a request that cannot run at once.
type Admission struct {
	MaxWait         time.Duration // remaining time until the deadline
	EstimatedWait   time.Duration // until it can run
	Queued          int           // requests queued at the endpoint
	MaxQueued       int
	CallerQueued    int // requests of the same caller queued at the endpoint
	MaxCallerQueued int
}

// AdmissionVerdict is the result of admission control.
type AdmissionVerdict int

// Admission verdicts.
const (
	Enqueue AdmissionVerdict = iota + 1
	RefuseDeadline
	RefuseNoWait
	RefuseQueueFull
)

// Admit decides whether a request is queued or refused, and after which time a refused one should
// be retried.
func Admit(a Admission) (AdmissionVerdict, time.Duration) {
	switch {
	case a.MaxWait <= 0:
		return RefuseNoWait, a.EstimatedWait
	case a.Queued >= a.MaxQueued || a.CallerQueued >= a.MaxCallerQueued:
		return RefuseQueueFull, a.EstimatedWait
	case a.EstimatedWait > a.MaxWait:
		return RefuseDeadline, a.EstimatedWait - a.MaxWait
	}
	return Enqueue, 0
}

// EstimateBatchWait estimates the time until the batch has capacity for a request with ahead
// requests before it in the queue.
func EstimateBatchWait(running, limit, ahead int, service time.Duration) time.Duration {
	if limit <= 0 {
		return service
	}
	excess := running + ahead + 1 - limit
	if excess <= 0 {
		return 0
	}
	return service * time.Duration(excess) / time.Duration(limit)
}
