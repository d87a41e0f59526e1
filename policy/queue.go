// SPDX-License-Identifier: Apache-2.0

package policy

import "time"

// BatchPolicy says what the users weigh, on one scale: Batch is 0 where load stalls
// come first and nobody is held back, and 1 where batches had better be full.
type BatchPolicy struct {
	Fullness float64
}

// QueuedRequest is one waiting request.
type QueuedRequest struct {
	Priority      int           // of its class; smaller runs earlier
	Waited        time.Duration // so far
	Remaining     time.Duration // until its deadline
	CallerRunning int           // requests of its caller that run now
	Ready         bool          // its adapter is in a slot
}

// agingInterval is how long a request waits to gain one step of priority, so that no
// class starves.
const agingInterval = 2 * time.Second

// NextQueued returns which waiting request runs next: by priority with age,
// then by the caller that runs the least, then the oldest; -1 when none is
// ready.
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

func (w QueuedRequest) before(o QueuedRequest) bool {
	a, b := w.rank(), o.rank()
	if a != b {
		return a < b
	}
	if w.CallerRunning != o.CallerRunning {
		return w.CallerRunning < o.CallerRunning
	}
	return w.Waited > o.Waited
}

func (w QueuedRequest) rank() int { return w.Priority - int(w.Waited/agingInterval) }

// Admission is what a scheduler knows when a request arrives that cannot run
// at once.
type Admission struct {
	MaxWait         time.Duration // the longest wait that is useful
	EstimatedWait   time.Duration // until it could run
	Queued          int           // requests waiting at the endpoint
	MaxQueued       int
	CallerQueued    int // requests of the same caller waiting here
	MaxCallerQueued int
}

// AdmissionVerdict says whether a request may wait.
type AdmissionVerdict int

// The verdicts.
const (
	Enqueue AdmissionVerdict = iota + 1
	RefuseDeadline
	RefuseNoWait
	RefuseQueueFull
)

// Admit decides whether a request may wait, and when a refused one should come
// back.
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

// EstimateBatchWait estimates how long until a place in the batch is free for a
// request with ahead requests before it.
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
