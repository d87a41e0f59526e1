// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

var (
	strictStatus  = regexp.MustCompile(`^HTTP/1\.[01] [1-5][0-9][0-9]( [^\x00-\x08\x0a-\x1f\x7f]*)?$`)
	strictField   = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\x00-\x08\x0a-\x1f\x7f]*$")
	strictFraming = regexp.MustCompile(`^(?i:Transfer-Encoding:[ \t]*chunked|Content-Length:[ \t]*[0-9]+)[ \t]*$`)
	framingField  = regexp.MustCompile(`^(?i:Transfer-Encoding|Content-Length):`)
	innerStatus   = regexp.MustCompile(`.HTTP/1\.[01] [0-9]{3}`)
	zeroLength    = regexp.MustCompile(`^(?i:Content-Length):[ \t]*0+[ \t]*$`)
)

// isStrictHead reports whether a head, without its last line end, is one that a sender may send, in one meaning.
func isStrictHead(head string) bool {
	lines := strings.Split(head, "\r\n")
	if !strictStatus.MatchString(lines[0]) || strings.Contains(lines[0], " 101") || innerStatus.MatchString(head) {
		return false
	}
	hasNoBody := strings.HasPrefix(lines[0][len("HTTP/1.1 "):], "1") || strings.Contains(lines[0], "1.1 204") || strings.Contains(lines[0], "1.0 204")
	isOld := strings.HasPrefix(lines[0], "HTTP/1.0")
	framings := 0
	for _, line := range lines[1:] {
		if !strictField.MatchString(line) {
			return false
		}
		if !framingField.MatchString(line) {
			continue
		}
		framings++
		isChunked := line[0] == 't' || line[0] == 'T'
		if !strictFraming.MatchString(line) || framings > 1 || (isChunked && isOld) || (hasNoBody && !zeroLength.MatchString(line)) {
			return false
		}
	}
	return true
}

// referenceResponse is a final response in a stream of bytes.
type referenceResponse struct {
	status int
	ids    []string
	body   string
	whole  bool // the body is complete
}

// readStrictly returns the final responses at the start of a stream, to the first thing that is not certain.
func readStrictly(stream string) (all []referenceResponse) {
	for {
		head, _, ok := strings.Cut(stream, "\r\n\r\n")
		if !ok || !isStrictHead(head) {
			return all
		}
		rest := strings.NewReader(stream)
		in := bufio.NewReader(rest)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return all
		}
		body, err := io.ReadAll(resp.Body)
		if resp.StatusCode >= http.StatusOK {
			all = append(all, referenceResponse{resp.StatusCode, resp.Header.Values(RequestIDHeader), string(body), err == nil})
		}
		if err != nil || (resp.ContentLength < 0 && len(resp.TransferEncoding) == 0) {
			return all
		}
		stream = stream[len(stream)-rest.Len()-in.Buffered():]
	}
}

// scriptedEndpoint sends first after a request with another ID than own, second after the one with own, and closes the connection.
type scriptedEndpoint struct {
	first, second string

	mu     sync.Mutex
	stream string // what is sent on the connection of the request with the ID own
}

func (e *scriptedEndpoint) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go e.serve(far)
	return near, nil
}

func (e *scriptedEndpoint) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for sent := ""; ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // a failure shows in the write
		isOwn := r.Header.Get(RequestIDHeader) == "own"
		text := e.first
		if isOwn {
			text = e.second
		}
		sent += text
		e.mu.Lock()
		e.stream = sent
		e.mu.Unlock()
		if _, err = io.WriteString(conn, text); err != nil || isOwn {
			return
		}
	}
}

func (e *scriptedEndpoint) sentStream() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stream
}

// sendScripted sends a request with an ID, which net/http does not send twice, and returns the response and its body.
func sendScripted(c *quicktest.C, client *http.Client, id string, limit time.Duration) (*http.Response, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://endpoint", strings.NewReader("{}"))
	c.Assert(err, quicktest.IsNil)
	req.Header.Set(RequestIDHeader, id)
	resp, err := Send(client, req, inOneMinute(), ResponseID{Header: RequestIDHeader, Value: id})
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

// Guards against a response that is believed, and that a strict reader of the same bytes reads differently, or not at all.
func FuzzResponseAgainstReference(f *testing.F) {
	c := quicktest.New(f)
	files, err := filepath.Glob("testdata/responses/*.txt")
	c.Assert(err, quicktest.IsNil)
	var raws []string
	for _, file := range files {
		raws = append(raws, readResponseCase(c, file).raw)
	}
	for _, raw := range ambiguousResponses {
		raws = append(raws, raw)
	}
	slices.Sort(raws)
	before := strings.Replace(ownResponse(""), "own", "before", 1)
	for _, raw := range raws {
		f.Add(false, "", raw)
		f.Add(true, before, raw)
		f.Add(true, before+raw, ownResponse(""))
		f.Add(true, before+raw[:len(raw)/3], ownResponse(""))
	}
	f.Fuzz(func(t *testing.T, two bool, first, second string) {
		if len(first)+len(second) > 32<<10 {
			return // heads of more bytes are not believed at all
		}
		c := quicktest.New(t)
		e := &scriptedEndpoint{first: first, second: second}
		client := &http.Client{Transport: NewTransport(e.dial, 1), CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
		defer client.CloseIdleConnections()
		if two {
			_, _, _ = sendScripted(c, client, "before", 20*time.Millisecond) // any outcome; the endpoint may await the next request
		}
		resp, body, err := sendScripted(c, client, "own", 10*time.Second)
		stream := e.sentStream()
		reference := readStrictly(stream)
		comment := quicktest.Commentf("stream %q", stream)
		if stream == second && len(reference) > 0 && slices.Equal(reference[0].ids, []string{"own"}) && reference[0].whole {
			c.Check(err, quicktest.IsNil, comment) // sound, so it is believed
		}
		if resp == nil {
			return
		}
		if !slices.Equal(resp.Header.Values(RequestIDHeader), []string{"own"}) {
			c.Check(resp.Close, quicktest.IsTrue, comment) // its connection is used for no other request
			return
		}
		isReference := func(r referenceResponse) bool {
			isPart := err != nil && !r.whole && strings.HasPrefix(r.body, string(body))
			return slices.Equal(r.ids, []string{"own"}) && r.status == resp.StatusCode && (isPart || (r.whole && err == nil && bytes.Equal(body, []byte(r.body))))
		}
		c.Check(slices.ContainsFunc(reference, isReference), quicktest.IsTrue, quicktest.Commentf("response %d %q, %v; stream %q", resp.StatusCode, body, err, stream))
	})
}
