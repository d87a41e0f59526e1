// SPDX-License-Identifier: Apache-2.0

// Package forward brings callers' requests to endpoints that guard what they
// run: an endpoint refuses what it does not hold, so a box sends straight from
// its own view and asks nobody.
//
// A request is held by the box that its caller reached, with its deadline, its
// attempts and its budget of retries. What an endpoint has not provably refused
// counts as run.
package forward

import (
	"context"
	"net/http"
	"time"

	"cairnwick.example/access"
	"cairnwick.example/quarantine"
	"cairnwick.example/ratelimit"
	"cairnwick.example/topology"
)

// Call is what a caller's request says of itself.
type Call struct {
	ID              string           // of this try of the caller; echoed by endpoints
	Deadline        time.Duration    // how long the caller waits; zero: not said
	Adapter         topology.Adapter // empty where the service runs no models
	PromptTokens    int
	MaxOutputTokens int    // the most that may be generated
	LastEventID     string // of a stream that the caller resumes

	TokensStated bool // the caller says how many tokens the call uses
	Credential   access.Credential
}

// Directives is what a request tells the endpoint besides what its caller said.
type Directives struct {
	Endpoint    string        // the life that must take the request
	Remaining   time.Duration // until the request is given up
	Priority    int           // 0 is the most urgent
	HasModel    bool          // the service runs models
	Version     int64         // of the adapter; zero: any
	LastEventID string        // the stream goes on after it; empty: from the start

	Organisation string // whose request it is; empty: nobody's
}

// Response is what the head of an endpoint's answer says.
type Response struct {
	MatchesCall      bool // it answers this call and no other
	Signed           bool // an endpoint vouches for it
	NotExecuted      bool // the endpoint says that the request did not run
	WrongEndpoint    bool // another life or service has the address
	AdapterNotLoaded bool // the endpoint holds no such adapter or version
	Encoded          bool // the body is not the endpoint's plain body

	Notice // of the endpoint that answers
}

// Protocol is how callers and endpoints say these things in headers.
type Protocol interface {
	// ParseCall reads a caller's request; an error is the caller's fault.
	ParseCall(h http.Header) (Call, error)
	// SetDirectives puts i into the headers of a request to an endpoint, in place of every
	// instruction that the caller wrote there: those are a box's to give. All other
	// headers stay, whatever their names.
	SetDirectives(h http.Header, i Directives)
	// IsCallHeader tells whether a header says what the call is. Endpoints get it as the
	// caller wrote it, in any case.
	IsCallHeader(name string) bool
	// ParseResponse reads the head of an answer to c that was asked of endpoint.
	ParseResponse(a *http.Response, c Call, endpoint string) Response
	// SetRetryAfter tells a refused caller when to try again.
	SetRetryAfter(h http.Header, after time.Duration)
}

// AdapterRequest is an adapter that a request needs and no endpoint is known to hold.
type AdapterRequest struct {
	RequestID    string
	Endpoint     *topology.Endpoint // where it should be loaded
	Adapter      topology.Adapter
	Version      int64         // at least
	TargetWait   time.Duration // how long the request can wait and still be in time
	MaxWait      time.Duration // how long it can wait and still be served: late is better than never
	Priority     int
	Value        float64 // of the request, against others
	Retried      bool    // the caller was refused before and has less time left
	NotLoaded    bool    // the endpoint said that it does not hold the adapter
	PromptTokens int     // of its prompt

	AvoidLimited bool     // endpoints that name limits had no room for the request: it goes to others, if there are any
	Avoid        []string // endpoints that can't serve the request, though they may hold the adapter
}

// PlacementResult is what became of a request for an adapter.
type PlacementResult struct {
	Ready         bool
	OwnerChanging bool   // who decides for the endpoint is changing: ask again
	Endpoint      string // where it is ready
	Version       int64
	QueueTime     time.Duration // of the wait, until the load began
	RetryAfter    time.Duration // when not ready: when it is expected to be
	Reason        string        // when not ready: why
}

// Placer has adapters loaded. It answers when the adapter is ready, or as soon as it
// is known that it will not be while that is of use.
type Placer interface {
	Place(ctx context.Context, w AdapterRequest) (PlacementResult, error)
}

// Observer hears where adapters are used.
type Observer interface {
	// RequestStarted hears that a call is being sent to an endpoint.
	RequestStarted(e *topology.Endpoint, c Call) Run
}

// Quarantine knows the requests under which endpoints end, by the word of all boxes.
type Quarantine interface {
	// Remaining tells how much longer a request is kept from endpoints; false: it is not.
	Remaining(c quarantine.Content, now time.Time) (time.Duration, bool)
	// Ended hears that an endpoint ended while it ran requests of this box.
	Ended(endpoint string, contents []quarantine.Content)
}

// Limits knows the endpoints that name how many requests they take from all boxes together.
type Limits interface {
	// HasLimit tells whether an endpoint names a limit.
	HasLimit(endpoint string) bool
	// Acquire asks for one of the requests that such an endpoint takes.
	Acquire(ctx context.Context, e *topology.Endpoint, a ratelimit.Ask) AcquireResult
	// RequestSent hears that a request is being sent to an endpoint.
	RequestSent(endpoint string)
	// ObserveLimit hears what an answer of an endpoint says of its limit, and when the request was sent.
	ObserveLimit(endpoint string, l ratelimit.Limit, sent time.Time)
	// InvalidLimit hears that what an answer says of the limit can't be read.
	InvalidLimit(endpoint string, err error)
}

// AcquireResult is what became of a request for an endpoint that names a limit.
type AcquireResult struct {
	OK   bool          // it may be sent, after Wait
	Wait time.Duration // not OK: until such a request is likely granted
}

// Run is one call at an endpoint.
type Run interface {
	PromptRead() // the endpoint answers, so it has read the prompt; later calls change nothing
	Finished()   // later calls change nothing
}
