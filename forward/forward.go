// SPDX-License-Identifier: Apache-2.0

// Package forward proxies callers' requests to endpoints. An endpoint rejects
// requests for what it does not hold, so a box routes by its own view of the
// topology without asking anyone first.
//
// The box that received a request keeps its deadline, its attempts and its retry
// budget. An attempt counts as executed unless the endpoint has provably
// rejected it.
package forward

import (
	"context"
	"net/http"
	"time"

	"cairnwick.example/access"
	"cairnwick.example/forward/origin"
	"cairnwick.example/quarantine"
	"cairnwick.example/ratelimit"
	"cairnwick.example/topology"
)

// Call is the metadata of a caller's request.
type Call struct {
	ID              string           // of this attempt of the caller; echoed by endpoints
	Deadline        time.Duration    // how long the caller waits; zero: not given
	Adapter         topology.Adapter // empty where the service runs no models
	PromptTokens    int
	MaxOutputTokens int    // limit of the tokens to generate
	LastEventID     string // of a stream that the caller resumes
	Resumes         string // ID of the caller's attempt that brought the first event of that stream

	// PromptParts are the IDs of the prompt's parts in order. All but the last may be part of other requests too; the
	// last one belongs to this request or its session. Empty: not stated.
	PromptParts []string

	TokensStated bool // the caller states the number of tokens
	Credential   access.Credential
}

// Directives are the headers that a box adds to a request to an endpoint.
type Directives struct {
	Endpoint    string        // the incarnation that must take the request
	Remaining   time.Duration // until the request's deadline
	Priority    int           // 0 is the most urgent
	HasModel    bool          // the service runs models
	Version     int64         // of the adapter; zero: any
	LastEventID string        // resume the stream after it; empty: from the start

	Organisation string // that the request belongs to; empty: none
}

// Response is the metadata in the head of an endpoint's response.
type Response struct {
	MatchesCall      bool // it answers this call and no other
	Signed           bool // signed by an endpoint
	NotExecuted      bool // the endpoint states that the request was not executed
	IsContradictory  bool // it states that, and the contrary, so it proves nothing
	WrongEndpoint    bool // another incarnation or service has the address
	AdapterNotLoaded bool // the endpoint does not hold the adapter, or not that version
	Encoded          bool // the body has a content encoding

	Notice // of the responding endpoint
}

// Protocol maps the metadata of requests and responses to headers.
type Protocol interface {
	// ParseCall reads the headers of a caller's request; an error means that they are invalid.
	ParseCall(h http.Header) (Call, error)
	// SetDirectives writes d into the headers of a request to an endpoint. It replaces
	// directives that the caller sent, since only boxes may set them. All other
	// headers stay.
	SetDirectives(h http.Header, d Directives)
	// IsCallHeader reports whether a header is part of the call's metadata. Such headers reach
	// endpoints unchanged, even if Connection lists them.
	IsCallHeader(name string) bool
	// IDHeader returns the header in which endpoints return the ID of the call that they respond to.
	IDHeader() string
	// ParseResponse reads the head of the endpoint's response to c.
	ParseResponse(resp *http.Response, c Call, endpoint string) Response
	// SetRetryAfter sets when a refused caller may try again.
	SetRetryAfter(h http.Header, after time.Duration)
}

// AdapterRequest asks for an adapter that no endpoint is known to hold.
type AdapterRequest struct {
	RequestID    string
	Endpoint     *topology.Endpoint // preferred endpoint for the load
	Adapter      topology.Adapter
	Version      int64         // minimum version
	TargetWait   time.Duration // the longest wait within the route's target latency
	MaxWait      time.Duration // the longest wait after which the response is still of use to the caller
	Priority     int
	Value        float64 // of the request, relative to others
	Retried      bool    // the caller was refused before and has less time left
	NotLoaded    bool    // the endpoint reported that it does not hold the adapter
	PromptTokens int

	AvoidLimited bool     // endpoints with a rate limit had no capacity for the request: prefer others
	Avoid        []string // endpoints that can't serve the request, though they may hold the adapter

	// Balance asks the owner to choose among endpoints that hold the adapter too, by their speed and work.
	// The fields below are only set with it.
	Balance      bool
	Box          string        // that asks; set on the way to the owner
	OutputTokens int           // that the request may generate
	Target       time.Duration // until the route's latency target; negative: that has passed
	QueueLimit   time.Duration // the longest time that prompts ahead of the request's may take
	Declined     bool          // another data centre could not serve it in time: a load is only worth it if it is in time
	UrgentLimit  time.Duration // the QueueLimit of the service's most urgent requests
	MaxPause     time.Duration // the route's target for the time between two events; zero: it has none
	Elapsed      time.Duration // with Retried: since the caller's first attempt
}

// PlacementResult is the answer to an AdapterRequest.
type PlacementResult struct {
	Ready         bool
	OwnerChanging bool   // the endpoint's owner is changing: ask again
	Endpoint      string // that holds the adapter
	Version       int64
	QueueTime     time.Duration // part of the wait before the load began
	RetryAfter    time.Duration // when not ready: until it is expected to be
	Reason        string        // when not ready: why

	// With AdapterRequest.Balance:
	AheadTokens int           // when ready: prompt tokens that the endpoint reads until the request's first token, its own included
	FirstToken  time.Duration // when ready: expected time to first token
	Busy        bool          // when not ready: no endpoint of the data centre serves the request in time; one of another may
	Code        Code          // when not ready: what lacks; empty: CodeNotLoaded
	NoRoom      bool          // when not ready: the request isn't expected to be served before its caller gives up
}

// Placer has adapters loaded. It returns when the adapter is ready, or as soon as it
// is known that the adapter won't be ready in time.
type Placer interface {
	Place(ctx context.Context, r AdapterRequest) (PlacementResult, error)
}

// Observer tracks where adapters are used.
type Observer interface {
	// RequestStarted is called before a call is sent to an endpoint.
	RequestStarted(e *topology.Endpoint, c Call) Run
}

// Quarantine holds the requests and the parts of prompts that crash endpoints, as reported by all boxes.
type Quarantine interface {
	// Remaining returns how much longer a request or a part is quarantined; false: it is not.
	Remaining(c quarantine.Fingerprint, now time.Time) (time.Duration, bool)
	// Ended reports that an endpoint ended while it ran requests of this box.
	Ended(endpoint string, suspects []quarantine.Suspect)
	// Began reports that an endpoint of a service began to respond to a request whose prompt has these parts.
	Began(service string, parts []quarantine.Part)
}

// Limits tracks the endpoints that announce a limit of requests or of rejections, which all boxes share.
type Limits interface {
	// HasLimit reports whether an endpoint has a limit.
	HasLimit(endpoint string) bool
	// Acquire reserves one request of an endpoint's limit.
	Acquire(ctx context.Context, e *topology.Endpoint, a ratelimit.Request) AcquireResult
	// Release returns a reserved request that is not sent.
	Release(endpoint string)
	// RequestSent is called before a request is sent to an endpoint, RequestEnded when it no longer runs there, and
	// before that RequestRejected if the endpoint had no room for it.
	RequestSent(endpoint string)
	RequestEnded(endpoint string)
	RequestRejected(endpoint string)
	// ObserveLimit records the limit that a response announced, and when its request was sent.
	ObserveLimit(endpoint string, l ratelimit.Limit, sent time.Time)
	// InvalidLimit records that the limit in a response could not be parsed.
	InvalidLimit(endpoint string, err error)
}

// Origins tracks which software began each stream that may be resumed, for all boxes together.
type Origins interface {
	// StreamBegan records the origin of a stream at its first event, for as long as the stream may be resumed. It must not block.
	StreamBegan(k origin.Key, o origin.Origin, keep time.Duration)
	// FindOrigin returns the origin of a stream; false if no box that answers knows it.
	FindOrigin(ctx context.Context, q OriginQuery) (origin.Origin, bool)
}

// OriginQuery describes a stream that a caller resumes.
type OriginQuery struct {
	Key     origin.Key
	HasKey  bool          // the caller names the attempt that began the stream
	Service string        // the only one that the route leads to; empty: there are several
	Age     time.Duration // the stream began this long ago at most
}

// AcquireResult is the answer to Limits.Acquire.
type AcquireResult struct {
	OK   bool          // the request may be sent, after Wait
	Wait time.Duration // not OK: until a request is likely granted
}

// Run is one call at an endpoint. All methods are idempotent.
type Run interface {
	// PromptRead is called when the endpoint began to respond, so it has read the prompt. ahead is the number of
	// prompt tokens that it had to read until then, if an owner chose the endpoint, or zero.
	PromptRead(ahead int, took time.Duration)
	Failed() // the endpoint failed the call
	// Finished is called at the end of the call. pause is the longest time between two events of its stream; zero: it had
	// fewer than two.
	Finished(pause time.Duration)
}
