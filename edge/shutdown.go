// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"context"

	"cairnwick.example/wire"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// servedDuringShutdown holds the calls of other boxes that a box serves until the requests of its callers have ended: streams that
// it carries or of which it knows the origin may go on for longer than it takes part in decisions.
var servedDuringShutdown = map[string]bool{
	wire.Share_Tunnel_FullMethodName:        true,
	wire.Share_RecordOrigins_FullMethodName: true,
	wire.Share_FindOrigin_FullMethodName:    true,
}

var errShutDown = status.Error(codes.Unavailable, "edge: this box has shut down")

// endCallsWith returns the options of a server that ends and refuses all other calls once ctx has ended.
func endCallsWith(ctx context.Context) []grpc.ServerOption {
	unary := func(call context.Context, q any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
		if servedDuringShutdown[info.FullMethod] {
			return handle(call, q)
		}
		call, release := bindContext(call, ctx)
		defer release()
		if ctx.Err() != nil {
			return nil, errShutDown
		}
		a, err := handle(call, q)
		if err != nil && ctx.Err() != nil {
			return nil, errShutDown
		}
		return a, err
	}
	stream := func(server any, s grpc.ServerStream, info *grpc.StreamServerInfo, handle grpc.StreamHandler) error {
		if servedDuringShutdown[info.FullMethod] {
			return handle(server, s)
		}
		call, release := bindContext(s.Context(), ctx)
		defer release()
		err := handle(server, boundStream{ServerStream: s, ctx: call})
		if ctx.Err() != nil {
			return errShutDown
		}
		return err
	}
	return []grpc.ServerOption{grpc.UnaryInterceptor(unary), grpc.StreamInterceptor(stream)}
}

// bindContext returns a context that ends with either of two. release must be called.
func bindContext(call, ctx context.Context) (bound context.Context, release func()) {
	bound, cancel := context.WithCancel(call)
	stop := context.AfterFunc(ctx, cancel)
	return bound, func() {
		stop()
		cancel()
	}
}

// boundStream is a stream with another context.
type boundStream struct {
	grpc.ServerStream

	ctx context.Context
}

// Context implements grpc.ServerStream.
func (s boundStream) Context() context.Context { return s.ctx }
