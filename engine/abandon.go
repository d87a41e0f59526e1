// SPDX-License-Identifier: Apache-2.0

package engine

import "context"

type abandonKey struct{}

// WithAbandon marks the requests of a context as ones that may be abandoned once this box is cut off from the endpoints: they may
// be executed again, or resumed.
func WithAbandon(ctx context.Context) context.Context {
	return context.WithValue(ctx, abandonKey{}, true)
}

// MayAbandon reports whether a request of the context may be abandoned.
func MayAbandon(ctx context.Context) bool {
	marked, _ := ctx.Value(abandonKey{}).(bool)
	return marked
}
