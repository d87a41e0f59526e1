// SPDX-License-Identifier: Apache-2.0

package policy

import "time"

// Weights says what the users weigh, on one scale: Batch is 0 where load stalls
// come first and nobody is held back, and 1 where batches had better be full.
type Weights struct {
	Batch float64
}

// WaitFacts is one waiting request.
type WaitFacts struct {
	Priority   int           // of its class; smaller runs earlier
	Waited     time.Duration // so far
	Left       time.Duration // until its deadline
	CallerRuns int           // requests of its caller that run now
	Ready      bool          // its adapter is in a slot
}

// aging is how long a request waits to gain one step of priority, so that no
// class starves.
const aging = 2 * time.Second

// NextWaiter returns which waiting request runs next: by priority with age,
// then by the caller that runs the least, then the oldest; -1 when none is
// ready.
func NextWaiter(list []WaitFacts) int {
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

func (w WaitFacts) before(o WaitFacts) bool {
	a, b := w.rank(), o.rank()
	if a != b {
		return a < b
	}
	if w.CallerRuns != o.CallerRuns {
		return w.CallerRuns < o.CallerRuns
	}
	return w.Waited > o.Waited
}

func (w WaitFacts) rank() int { return w.Priority - int(w.Waited/aging) }

// Admission is what a scheduler knows when a request arrives that cannot run
// at once.
type Admission struct {
	MayWait   time.Duration // the longest wait that is useful
	Estimate  time.Duration // until it could run
	Queue     int           // requests waiting at the endpoint
	QueueMost int
	Caller    int // requests of the same caller waiting here
	CallerMax int
}

// AdmissionVerdict says whether a request may wait.
type AdmissionVerdict int

// The verdicts.
const (
	Wait AdmissionVerdict = iota + 1
	RefuseDeadline
	RefuseNoWait
	RefuseQueue
)

// Admit decides whether a request may wait, and when a refused one should come
// back.
func Admit(a Admission) (AdmissionVerdict, time.Duration) {
	switch {
	case a.MayWait <= 0:
		return RefuseNoWait, a.Estimate
	case a.Queue >= a.QueueMost || a.Caller >= a.CallerMax:
		return RefuseQueue, a.Estimate
	case a.Estimate > a.MayWait:
		return RefuseDeadline, a.Estimate - a.MayWait
	}
	return Wait, 0
}

// WaitForPlace estimates how long until a place in the batch is free for a
// request with ahead requests before it.
func WaitForPlace(running, limit, ahead int, service time.Duration) time.Duration {
	if limit <= 0 {
		return service
	}
	over := running + ahead + 1 - limit
	if over <= 0 {
		return 0
	}
	return service * time.Duration(over) / time.Duration(limit)
}
