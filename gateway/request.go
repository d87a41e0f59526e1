// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"cairnwick.example/catalog"
	"cairnwick.example/clock"
	"cairnwick.example/quarantine"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// The headers of callers' requests and of the responses.
const (
	ClassHeader      = "Cairn-Class"
	CallerHeader     = "Cairn-Caller"
	DeadlineHeader   = "Cairn-Deadline"   // a duration from now, such as 2.5s
	RepeatableHeader = "Cairn-Repeatable" // "no": executed at most once
	KeyHeader        = "Idempotency-Key"  // a UUID of version 7
	RequestHeader    = "X-Request-Id"     // on responses
	RanHeader        = "Cairn-Ran"        // on errors and on responses of plain services: a Ran
	ModelHeader      = "Cairn-Model"      // on responses: adapter@version
	RevisionHeader   = "Cairn-Revision"   // on responses: of the configuration
	EndpointHeader   = "Cairn-Endpoint"   // on responses
	WaitedHeader     = "Cairn-Waited"     // on responses: milliseconds until the grant
	StallHeader      = "Cairn-Load-Stall" // on responses: the part of Cairn-Waited spent on a load
)

const (
	anonymous     = "anonymous"
	maxCallerName = 64
	bytesPerToken = 4 // of a prompt, on average; the schedulers' model of reading times absorbs a constant error
)

// request is a caller's request for a model.
type request struct {
	id            string
	key           string // "" when the request is repeatable
	path          string // of the engine's API
	class         catalog.Class
	caller        string
	receivedAt    time.Time
	deadline      time.Time
	model         catalog.Model
	catalog       *catalog.Catalog // the revision that resolved the model
	stream        bool
	body          map[string]json.RawMessage
	attempts      int // executions started at endpoints
	candidates    int // endpoints tried
	content       quarantine.Fingerprint
	parts         []quarantine.Part // of its prompt, those that other requests may share
	responseBegan bool              // the endpoint of the last attempt sent a part of a response
	responded     bool              // the last attempt got the head of a response that is known to be for it
	cancelled     bool              // the execution of the last attempt, which did not respond, was cancelled
	promptTokens  int               // estimated length of the prompt
	prefix        uint64            // hash of the adapter and the start of the prompt
	width         int               // number of endpoints over which the adapter spreads, as last known
	mayHaveRun    bool              // an attempt without a complete response may have been executed
}

func newRequestID() string {
	u, err := uuid.NewV7()
	if err != nil {
		u = uuid.New()
	}
	return u.String()
}

// parseRequest parses an HTTP request for a model.
func (g *Gateway) parseRequest(w http.ResponseWriter, r *http.Request, id string) (*request, *Failure) {
	c := g.Catalog()
	if c == nil {
		return nil, noConfiguration()
	}
	q := &request{id: id, path: r.URL.Path, receivedAt: clock.Now(), catalog: c}
	for _, step := range []func(*http.Request) *Failure{q.parseClass, q.parseRepeatable} {
		if f := step(r); f != nil {
			return nil, f
		}
	}
	if f := q.parseBody(w, r, g.MaxBody); f != nil {
		return nil, f
	}
	return q, q.resolveModel()
}

// parseClass parses the class, the caller and the deadline.
func (q *request) parseClass(r *http.Request) *Failure {
	name := r.Header.Get(ClassHeader)
	class, ok := q.catalog.Class(name)
	if name == "" {
		class, ok = q.catalog.DefaultClass(), true
	}
	if !ok {
		return &Failure{Code: CodeUnknownClass, Ran: NotRun, Message: fmt.Sprintf("%s: no class %q", ClassHeader, name)}
	}
	q.class = class
	q.caller = r.Header.Get(CallerHeader)
	if q.caller == "" {
		q.caller = anonymous
	}
	if len(q.caller) > maxCallerName {
		return badRequest("%s: longer than %d bytes", CallerHeader, maxCallerName)
	}
	return q.parseDeadline(r.Header.Get(DeadlineHeader))
}

func (q *request) parseDeadline(text string) *Failure {
	timeout := q.class.Deadline()
	if text != "" {
		d, err := time.ParseDuration(text)
		if err != nil {
			return badRequest("%s: invalid duration %q; example: 2.5s", DeadlineHeader, text)
		}
		timeout = d
	}
	if timeout <= 0 {
		return &Failure{Code: CodeDeadlinePast, Ran: NotRun, Message: DeadlineHeader + ": the deadline has already passed"}
	}
	q.deadline = q.receivedAt.Add(timeout)
	return nil
}

// parseRepeatable parses whether the request is repeatable, and its idempotency key if it is not.
func (q *request) parseRepeatable(r *http.Request) *Failure {
	value := r.Header.Get(RepeatableHeader)
	switch value {
	case "", "yes":
		return nil
	case "no":
	default:
		return badRequest("%s: invalid value %q; use yes or no", RepeatableHeader, value)
	}
	key, f := idempotencyKey(r)
	q.key = key
	return f
}

// idempotencyKey returns the idempotency key of a request that requires one.
func idempotencyKey(r *http.Request) (string, *Failure) {
	key := r.Header.Get(KeyHeader)
	if key == "" {
		return "", &Failure{Code: CodeKeyMissing, Ran: NotRun, Message: KeyHeader + ": required for a request that is not repeatable"}
	}
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 {
		return "", &Failure{Code: CodeKeyInvalid, Ran: NotRun, Message: fmt.Sprintf("%s: invalid value %q; use a version 7 UUID", KeyHeader, key)}
	}
	return u.String(), nil
}

// readLimited reads a caller's body and refuses one of more than maxBytes.
func readLimited(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, *Failure) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, &Failure{Code: CodeBodyTooLarge, Ran: NotRun, Message: fmt.Sprintf("body: larger than %d bytes", maxBytes)}
	}
	if err != nil {
		return nil, badRequest("body: not received completely: %v", err)
	}
	return raw, nil
}

func (q *request) parseBody(w http.ResponseWriter, r *http.Request, maxBytes int64) *Failure {
	raw, f := readLimited(w, r, maxBytes)
	if f != nil {
		return f
	}
	q.content = quarantine.NewFingerprint(r.Method, "", r.URL.RequestURI(), "", raw) // callers state their own names
	if err := json.Unmarshal(raw, &q.body); err != nil {
		return badRequest("body: not a JSON object: %v", err)
	}
	if s, ok := q.body["stream"]; ok {
		if err := json.Unmarshal(s, &q.stream); err != nil {
			return badRequest("stream: must be true or false")
		}
	}
	return nil
}

// resolveModel resolves the model name to an adapter version, which all attempts use.
func (q *request) resolveModel() *Failure {
	var name string
	if err := json.Unmarshal(q.body["model"], &name); err != nil || name == "" {
		return badRequest("model: write adapter, adapter@version or adapter@alias")
	}
	m, err := q.catalog.Resolve(name)
	var unknown *catalog.UnknownError
	if errors.As(err, &unknown) {
		code := CodeUnknownAdapter
		if unknown.Kind == "version" {
			code = CodeUnknownVersion
		}
		return &Failure{Code: code, Ran: NotRun, Message: fmt.Sprintf("model: no %s %q", unknown.Kind, unknown.Name)}
	}
	q.model = m
	q.parts = quarantine.NewParts("", promptParts(q.body))
	prompt := string(q.body["prompt"]) + string(q.body["messages"])
	q.promptTokens = (len(prompt) + bytesPerToken - 1) / bytesPerToken
	q.prefix = hashPrefix(m.String(), prompt)
	return nil
}

// engineBody returns the body for the endpoint: the caller's, with the resolved model and the
// priority.
func (q *request) engineBody(priority int32) ([]byte, error) {
	body := make(map[string]json.RawMessage, len(q.body)+1)
	for k, v := range q.body {
		body[k] = v
	}
	model, err := json.Marshal(q.model.String())
	if err != nil {
		return nil, err
	}
	body["model"] = model
	body["priority"] = json.RawMessage(fmt.Sprint(priority))
	return json.Marshal(body)
}

// revision returns the configuration revision that resolved the model; zero for nil, a request that could
// not be parsed.
func (q *request) revision() int64 {
	if q == nil {
		return 0
	}
	return q.catalog.Revision()
}

// remaining returns the time until the deadline.
func (q *request) remaining() time.Duration { return clock.Until(q.deadline) }

// maxWait returns how long the request may still wait for a grant.
func (q *request) maxWait() time.Duration {
	return min(q.class.MaxWait()-clock.Since(q.receivedAt), q.remaining())
}
