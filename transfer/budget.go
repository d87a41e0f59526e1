// SPDX-License-Identifier: Apache-2.0

package transfer

import (
	"io"
	"sync"

	"github.com/pkg/errors"
)

// Budget bounds the bytes of all responses that a process reads whole. If one does not fit, the largest are given up until it
// does, itself possibly among them: what a faulty peer sends without end makes room for ordinary responses.
//
// Its mutex is the last one to be taken: no callback is called with it held.
type Budget struct {
	Limit int64 // in bytes, zero: none; must be set before use

	mu    sync.Mutex
	total int64
	uses  map[*Use]struct{} // those with bytes that are not given up
}

// Use is what one response takes of a budget. End must be called.
type Use struct {
	budget  *Budget
	giveUp  func()
	bytes   int64 // guarded by the budget's mutex
	givenUp bool  // guarded by the budget's mutex: its bytes no longer count
}

// ErrGivenUp means that a response was given up since the budget was exceeded and it was the largest.
var ErrGivenUp = errors.New("transfer: the memory for responses is full, and this one is the largest")

// Begin begins to read a response. giveUp is called at most once, from the goroutine of any other response: it must have the bytes
// discarded soon, and must not block.
func (b *Budget) Begin(giveUp func()) *Use { return &Use{budget: b, giveUp: giveUp} }

// End counts the bytes of the response no more.
func (u *Use) End() {
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	u.budget.dropLocked(u)
}

// Add counts n more bytes; false if the response was given up.
func (u *Use) Add(n int64) bool {
	others, ok := u.budget.add(u, n)
	for _, o := range others {
		o.giveUp()
	}
	return ok
}

// add counts n more bytes of a response, and returns the other responses that were given up for it.
func (b *Budget) add(u *Use, n int64) (others []*Use, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u.givenUp {
		return nil, false
	}
	if b.uses == nil {
		b.uses = make(map[*Use]struct{})
	}
	u.bytes += n
	b.total += n
	b.uses[u] = struct{}{}
	for b.Limit > 0 && b.total > b.Limit {
		largest := u
		for o := range b.uses {
			if o.bytes > largest.bytes {
				largest = o
			}
		}
		b.dropLocked(largest)
		largest.givenUp = true
		if largest == u {
			break
		}
		others = append(others, largest)
	}
	return others, !u.givenUp
}

func (b *Budget) dropLocked(u *Use) {
	b.total -= u.bytes
	u.bytes = 0
	delete(b.uses, u)
}

// firstBuffer is the size of the first buffer of a response, in bytes.
const firstBuffer = 4 << 10

// ReadAll reads a body of at most most bytes, whose buffer is counted before it grows.
func (u *Use) ReadAll(body io.Reader, most int64) ([]byte, error) {
	in := io.LimitReader(body, most+1)
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			size := max(2*cap(buffer), firstBuffer)
			if !u.Add(int64(size - cap(buffer))) {
				return nil, ErrGivenUp
			}
			buffer = append(make([]byte, 0, size), buffer...)
		}
		n, err := in.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case int64(len(buffer)) > most:
			return nil, errors.Errorf("transfer: response is longer than %d bytes", most)
		case err == io.EOF:
			return buffer, nil
		case err != nil:
			return nil, err
		}
	}
}
