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

// The headers of callers.
const (
	ClassHeader      = "Cairn-Class"
	CallerHeader     = "Cairn-Caller"
	DeadlineHeader   = "Cairn-Deadline"   // a duration from now, such as 2.5s
	RepeatableHeader = "Cairn-Repeatable" // "no": runs at most once
	KeyHeader        = "Idempotency-Key"  // a UUID of version 7
	RequestHeader    = "X-Request-Id"     // on answers
	ModelHeader      = "Cairn-Model"      // on answers: adapter@version
	RevisionHeader   = "Cairn-Revision"   // on answers: of the configuration
	EndpointHeader   = "Cairn-Endpoint"   // on answers
	WaitedHeader     = "Cairn-Waited"     // on answers: milliseconds until the grant
	StallHeader      = "Cairn-Load-Stall" // on answers: the part of it spent on a load
)

const (
	anonymous     = "anonymous"
	maxCallerName = 64
)

// request is one caller's request, held by this gateway until its final
// answer.
type request struct {
	id         string
	key        string // "" when the request is repeatable
	path       string // at the engine
	class      catalog.Class
	caller     string
	arrived    time.Time
	deadline   time.Time
	model      catalog.Model
	catalog    *catalog.Catalog // the revision that resolved the model
	stream     bool
	body       map[string]json.RawMessage
	attempts   int // runs begun at endpoints
	candidates int // endpoints asked
	content    quarantine.Content
	prefix     uint64 // hash of the adapter and the prompt's beginning
	width      int    // how many homes the adapter is believed to have
	unsure     bool   // an attempt may have run and gave no answer
}

func newRequestID() string {
	u, err := uuid.NewV7()
	if err != nil {
		u = uuid.New()
	}
	return u.String()
}

// read turns an HTTP request for a model into a request.
func (g *Gateway) read(w http.ResponseWriter, r *http.Request, id string) (*request, *Failure) {
	c := g.Catalog()
	if c == nil {
		return nil, noConfiguration()
	}
	q := &request{id: id, path: r.URL.Path, arrived: clock.Now(), catalog: c}
	for _, step := range []func(*http.Request) *Failure{q.readClass, q.readKey} {
		if f := step(r); f != nil {
			return nil, f
		}
	}
	if f := q.readBody(w, r, g.MaxBody); f != nil {
		return nil, f
	}
	return q, q.resolve()
}

// readClass reads class, caller and deadline.
func (q *request) readClass(r *http.Request) *Failure {
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
	return q.readDeadline(r.Header.Get(DeadlineHeader))
}

func (q *request) readDeadline(text string) *Failure {
	left := q.class.Deadline()
	if text != "" {
		d, err := time.ParseDuration(text)
		if err != nil {
			return badRequest("%s: %q: write a duration, such as 2.5s", DeadlineHeader, text)
		}
		left = d
	}
	if left <= 0 {
		return &Failure{Code: CodeDeadlinePast, Ran: NotRun, Message: DeadlineHeader + ": the deadline is past"}
	}
	q.deadline = q.arrived.Add(left)
	return nil
}

// readKey reads the mark and the key of a request that is not repeatable.
func (q *request) readKey(r *http.Request) *Failure {
	mark := r.Header.Get(RepeatableHeader)
	switch mark {
	case "", "yes":
		return nil
	case "no":
	default:
		return badRequest("%s: %q: write yes or no", RepeatableHeader, mark)
	}
	key, f := keyOf(r)
	q.key = key
	return f
}

// keyOf returns the key that a request must carry.
func keyOf(r *http.Request) (string, *Failure) {
	key := r.Header.Get(KeyHeader)
	if key == "" {
		return "", &Failure{Code: CodeKeyMissing, Ran: NotRun, Message: KeyHeader + ": a request that is not repeatable needs a key"}
	}
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 {
		return "", &Failure{Code: CodeKeyInvalid, Ran: NotRun, Message: fmt.Sprintf("%s: %q: write a UUID of version 7", KeyHeader, key)}
	}
	return u.String(), nil
}

// readBounded reads a caller's body, of at most so many bytes.
func readBounded(w http.ResponseWriter, r *http.Request, most int64) ([]byte, *Failure) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, &Failure{Code: CodeBodyTooLarge, Ran: NotRun, Message: fmt.Sprintf("body: larger than %d bytes", most)}
	}
	if err != nil {
		return nil, badRequest("body: broken off: %v", err)
	}
	return raw, nil
}

func (q *request) readBody(w http.ResponseWriter, r *http.Request, most int64) *Failure {
	raw, f := readBounded(w, r, most)
	if f != nil {
		return f
	}
	q.content = quarantine.ContentOf(r.Method, "", r.URL.RequestURI(), q.caller, raw)
	if err := json.Unmarshal(raw, &q.body); err != nil {
		return badRequest("body: not a JSON object: %v", err)
	}
	if s, ok := q.body["stream"]; ok {
		if err := json.Unmarshal(s, &q.stream); err != nil {
			return badRequest("stream: write true or false")
		}
	}
	return nil
}

// resolve turns the model's name into an adapter at one version, once.
func (q *request) resolve() *Failure {
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
	q.prefix = prefixOf(m.String(), string(q.body["prompt"])+string(q.body["messages"]))
	return nil
}

// engineBody is what the endpoint gets: the caller's body with the resolved
// model and the priority.
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

// revision is that of the configuration that resolved the model, or zero when the
// request was not read so far.
func (q *request) revision() int64 {
	if q == nil {
		return 0
	}
	return q.catalog.Revision()
}

// left is the time until the deadline.
func (q *request) left() time.Duration { return clock.Until(q.deadline) }

// mayWait is how long the request may still wait for its turn.
func (q *request) mayWait() time.Duration {
	return min(q.class.MaxWait()-clock.Since(q.arrived), q.left())
}
