package soak

import (
	"context"
	"net"
	"time"
)

// dialTimeout bounds each attempt to connect in a run.
const dialTimeout = 2 * time.Second

type dialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// dialWithin returns a dial function that applies dialTimeout.
func dialWithin(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, addr)
	}
}
