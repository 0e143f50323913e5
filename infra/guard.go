package infra

import "context"

type guardKey struct{}

// WithGuard returns a context for writes that call check again immediately
// before the request is written to the connection. If check fails, the write is
// cancelled with ErrUnavailable and the platform executes nothing.
//
// Without it, the holder of a lease that is paused between its own check and the
// write could send an order after the lease has expired.
func WithGuard(ctx context.Context, check func() error) context.Context {
	return context.WithValue(ctx, guardKey{}, check)
}

// Guard calls the check of the context. It returns nil if the context has none.
func Guard(ctx context.Context) error {
	check, ok := ctx.Value(guardKey{}).(func() error)
	if !ok {
		return nil
	}
	return check()
}
