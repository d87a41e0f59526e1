// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"io"
	"net/http"
)

// relayReadSize is the size of one read of a response, in bytes.
const relayReadSize = 4 << 10

// relayBuffered relays a response that is not a stream through the caller's buffer. Up to maxUntaken bytes are read
// before any is relayed, so that a response that fails until then can be replaced by another one.
func (g *Gateway) relayBuffered(ctx context.Context, q *request, out *callerResponse, u *upstream, t target, resp *http.Response) *Refusal {
	in := bodyReader{from: resp.Body, to: out.buffer, piece: make([]byte, relayReadSize)}
	err := in.readUntil(maxUntaken)
	rest := err == nil // more may follow
	if err == io.EOF && in.count == 0 && endsWithConnection(resp) && isSuccess(resp) {
		err = io.ErrUnexpectedEOF
	}
	if (!rest && err != io.EOF) || (rest && resp.ContentLength > maxBufferedBody) {
		return g.recordBufferedTruncated(ctx, q, out, u, err)
	}
	serverError := resp.StatusCode >= http.StatusInternalServerError
	if !rest {
		u.recordOutcome(serverError)
	}
	if serverError && g.mayRetryFailure(q, t) {
		if rest {
			u.recordOutcome(true)
		}
		out.buffer.reset()
		return &Refusal{Code: CodeNoAnswer, MayHaveRun: true, Detail: "the endpoint responded with " + resp.Status}
	}
	if in.count > 0 && isSuccess(resp) {
		g.recordBegan(q, t.endpoint.Service())
	}
	if !rest {
		out.writeHead(resp, in.count)
		return nil
	}
	out.writeHead(resp, int(resp.ContentLength))
	if err = in.readUntil(maxBufferedBody + 1); err != io.EOF {
		return g.recordBufferedTruncated(ctx, q, out, u, err)
	}
	u.recordOutcome(serverError)
	return nil
}

// recordBufferedTruncated records a response that broke off, and drops it unless a part of it was relayed. A nil err means
// that it is too long.
func (g *Gateway) recordBufferedTruncated(ctx context.Context, q *request, out *callerResponse, u *upstream, err error) *Refusal {
	u.recordOutcome(ctx.Err() == nil)
	if !out.started {
		out.buffer.reset()
	}
	return g.recordTruncated(ctx, q, u, err)
}

// bodyReader reads the body of a response into a buffer.
type bodyReader struct {
	from  io.Reader
	to    *responseBuffer
	piece []byte
	count int // bytes read
}

// readUntil reads until count is limit. It returns io.EOF at the end of the body.
func (r *bodyReader) readUntil(limit int) error {
	for r.count < limit {
		n, err := r.from.Read(r.piece[:min(len(r.piece), limit-r.count)])
		r.count += n
		if lost := r.to.append(r.piece[:n]); lost != nil {
			return lost
		}
		if err != nil {
			return err
		}
	}
	return nil
}
