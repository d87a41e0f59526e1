// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	// MaxTerminations is the number of endpoint terminations after which a request is quarantined. One
	// says little, since an endpoint runs some ten requests at a time and terminates under all of them.
	// Two happen to unrelated requests when callers retry while endpoints terminate for another reason:
	// in the simulation of the tests, 81 unrelated requests were quarantined with a threshold of two,
	// and 4 with three.
	MaxTerminations = 3

	// suspectTTL is how long a termination counts. Callers retry within seconds, or on a schedule of
	// minutes. Terminations under one request that are hours apart are more often coincidence than
	// caused by it.
	suspectTTL = time.Hour
	// maxSuspects bounds the requests of a generation, which are those that ran on terminated endpoints.
	// Two full generations with one termination per request take 2.4 MB of heap.
	maxSuspects = 8192
	// maxAttributed bounds the terminated endpoints of a generation whose cause is known.
	maxAttributed = 1024
)

// maxTerminationsKept bounds the endpoints that are stored per request: some whose termination is
// attributed to other requests, and those that count.
const maxTerminationsKept = 2 * MaxCommonTerminations

// MaxCommonTerminations is the number of terminations after which a part of a prompt is quarantined for all organisations.
// One organisation alone has its part quarantined before, so that it cannot get a part of another one blocked.
const MaxCommonTerminations = 5

// Termination is the end of an endpoint, as one process observed it.
type Termination struct {
	Endpoint string
	Requests []Fingerprint // that were running
	// Parts are those of the prompts of these requests, if the endpoint had not begun to respond and no response to
	// another request with the part has recently begun.
	Parts       []Fingerprint // as sent by one organisation
	CommonParts []Fingerprint // whichever organisation sent them
	// OthersBegan reports whether responses to other requests for the service have recently begun. If not, endpoints
	// terminate whatever they run, and no part distinguishes the requests that terminate them.
	OthersBegan bool
}

// all returns all fingerprints of the report.
func (e Termination) all() []Fingerprint { return slices.Concat(e.Requests, e.Parts, e.CommonParts) }

const (
	// ObjectionTime is how long a part is suspected before it is quarantined, so that the boxes that know that responses to
	// other requests with it began can object. A suspicion reaches all boxes, and an objection the leaders, in less.
	ObjectionTime = 100 * time.Millisecond
	// askAhead is the number of terminations before the quarantine at which a part is suspected, so that the time for
	// objections is over when the last one comes.
	askAhead = 2
	// SuspicionTTL is how long a suspicion counts. Later, boxes may have other evidence, and are asked again.
	SuspicionTTL = 10 * time.Second
	// maxSuspicions bounds the suspicions. Further parts are not quarantined.
	maxSuspicions = 4096
)

// Verdict lists what the end of an endpoint has shown.
type Verdict struct {
	Suspected []Fingerprint // parts to ask all processes about
	Found     []Fingerprint // requests and parts to quarantine
}

// suspicion is a part that all processes were asked about.
type suspicion struct {
	since     time.Time
	confirmed bool // it has enough terminations
}

// Counter counts the endpoints that terminated under each request and each part of prompts, from the reports of all boxes,
// and finds those to quarantine. It is safe for concurrent use; the zero value is empty.
type Counter struct {
	mu       sync.Mutex
	suspects *generationMap // by fingerprint: endpoints that terminated under it, oldest first
	// attributed has, by endpoint, the endpoints that terminated under the request or part that caused this
	// termination. The list is empty if that one was already quarantined, but still in flight.
	attributed  *generationMap
	othersBegan *generationMap // endpoints with a report that has OthersBegan
	suspicions  map[Fingerprint]suspicion
}

func (c *Counter) initLocked() {
	if c.suspects == nil {
		c.suspects = &generationMap{lifetime: suspectTTL, maxKeys: maxSuspects}
		c.attributed = &generationMap{lifetime: suspectTTL, maxKeys: maxAttributed}
		c.othersBegan = &generationMap{lifetime: suspectTTL, maxKeys: maxAttributed}
		c.suspicions = make(map[Fingerprint]suspicion)
	}
}

// RecordTermination records the end of an endpoint, as reported by one box. isQuarantined reports whether a request or part
// is quarantined already: if one of those was running, the termination says nothing about the others. Parts for which
// hasBegun is true are not counted.
func (c *Counter) RecordTermination(e Termination, isQuarantined, hasBegun func(Fingerprint) bool, now time.Time) Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.initLocked()
	if e.OthersBegan {
		c.othersBegan.put(e.Endpoint, nil, now)
	}
	// A cause that is known stays: the report may be a repeated one of a termination before the quarantine.
	if _, known := c.attributed.get(e.Endpoint, now); !known && slices.ContainsFunc(e.all(), isQuarantined) {
		c.attributed.put(e.Endpoint, nil, now)
	}
	var v Verdict
	for _, f := range e.Requests {
		if !isQuarantined(f) && len(c.addTerminationLocked(f, e.Endpoint, now)) >= MaxTerminations {
			v.Found = append(v.Found, f)
		}
	}
	skip := func(f Fingerprint) bool { return isQuarantined(f) || hasBegun(f) }
	v.Suspected = append(c.addToPartsLocked(e.Parts, MaxTerminations, e.Endpoint, skip, now),
		c.addToPartsLocked(e.CommonParts, MaxCommonTerminations, e.Endpoint, skip, now)...)
	due, _ := c.dueLocked(now)
	v.Found = append(v.Found, due...)
	for _, f := range v.Found {
		c.attributeLocked(f, now)
	}
	return v
}

// addToPartsLocked counts a termination against parts, and returns those that are suspected as a result.
func (c *Counter) addToPartsLocked(parts []Fingerprint, limit int, endpoint string, skip func(Fingerprint) bool, now time.Time) (suspected []Fingerprint) {
	othersBegan := func(e string) bool { _, ok := c.othersBegan.get(e, now); return ok }
	for _, f := range parts {
		if skip(f) {
			continue
		}
		counted := c.addTerminationLocked(f, endpoint, now)
		if len(counted) < limit-askAhead || !slices.ContainsFunc(counted, othersBegan) {
			continue
		}
		s, known := c.suspicions[f]
		if !known || now.Sub(s.since) >= SuspicionTTL {
			if !known && len(c.suspicions) >= maxSuspicions {
				continue
			}
			s = suspicion{since: now}
			suspected = append(suspected, f)
		}
		s.confirmed = len(counted) >= limit
		c.suspicions[f] = s
	}
	return suspected
}

// Due returns the parts to quarantine, since they had enough terminations and nobody has objected in time. waiting reports
// whether others are still waiting for that.
func (c *Counter) Due(now time.Time) (found []Fingerprint, waiting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.initLocked()
	found, waiting = c.dueLocked(now)
	for _, f := range found {
		c.attributeLocked(f, now)
	}
	return found, waiting
}

func (c *Counter) dueLocked(now time.Time) (found []Fingerprint, waiting bool) {
	for f, s := range c.suspicions {
		switch age := now.Sub(s.since); {
		case s.confirmed && age >= ObjectionTime:
			found = append(found, f)
			delete(c.suspicions, f)
		case s.confirmed:
			waiting = true
		case age >= SuspicionTTL:
			delete(c.suspicions, f)
		}
	}
	return found, waiting
}

// forget removes all terminations of a part.
func (c *Counter) forget(f Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.initLocked()
	c.suspects.remove(string(f[:]))
	delete(c.suspicions, f)
}

// addTerminationLocked adds an endpoint to those that terminated under a request or part, and returns those that count.
func (c *Counter) addTerminationLocked(f Fingerprint, endpoint string, now time.Time) (counted []string) {
	key := string(f[:])
	endpoints, _ := c.suspects.get(key, now)
	if !slices.Contains(endpoints, endpoint) {
		endpoints = append(slices.Clone(endpoints), endpoint)
		endpoints = endpoints[max(len(endpoints)-maxTerminationsKept, 0):]
		c.suspects.put(key, endpoints, now)
	}
	for _, e := range endpoints {
		if !c.isAttributedLocked(e, endpoints, now) {
			counted = append(counted, e)
		}
	}
	return counted
}

// isAttributedLocked reports whether the termination of an endpoint is attributed to another request than
// the one with these terminations. It is not if this request ran on every endpoint that terminated under
// the other one: the other may have run beside it by chance and have been reported first.
func (c *Counter) isAttributedLocked(endpoint string, endpoints []string, now time.Time) bool {
	cause, ok := c.attributed.get(endpoint, now)
	if !ok {
		return false
	}
	missing := func(e string) bool { return !slices.Contains(endpoints, e) }
	return len(cause) == 0 || slices.ContainsFunc(cause, missing)
}

// attributeLocked attributes the terminations of all endpoints that terminated under a request to it.
func (c *Counter) attributeLocked(f Fingerprint, now time.Time) {
	key := string(f[:])
	endpoints, _ := c.suspects.get(key, now)
	for _, e := range endpoints {
		c.attributed.put(e, endpoints, now)
	}
	c.suspects.remove(key)
}
