package ctl

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cumincove/cumincove/api"
)

// callAnyServer calls f with one server after another until a connection is
// made. A server that can't be connected to has done nothing, so it is safe to
// try the next one.
func callAnyServer[Resp any](ctx context.Context, s *session, f func(context.Context, *api.Client) (Resp, error)) (Resp, error) {
	var zero Resp
	failed := errUnreachable
	for _, server := range s.servers {
		c := s.client
		c.BaseURL = server
		resp, connected, err := callServer(ctx, s, &c, f)
		if err == nil {
			return resp, nil
		}
		if connected {
			return zero, err
		}
		failed = fmt.Errorf("%w: %w", failed, err)
	}
	return zero, failed
}

// callServer makes one call and reports whether a connection was made. If the
// connection was made but no response arrived, the error wraps errUnknown.
func callServer[Resp any](ctx context.Context, s *session, c *api.Client, f func(context.Context, *api.Client) (Resp, error)) (Resp, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	resp, err := f(ctx, c)
	var remote *api.RemoteError
	if err != nil && connected.Load() && !errors.As(err, &remote) {
		err = fmt.Errorf("%w: %w", errUnknown, err)
	}
	return resp, connected.Load(), err
}
