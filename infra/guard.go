package infra

import "context"

type guardKey struct{}

// WithGuard returns a context whose writes call check once more when the
// request is about to be written to the connection. If check fails, the write
// is given up with ErrUnavailable and the platform executes nothing.
//
// Holders of a lease use it so that a pause between their own check and the
// write doesn't let an order out that their lease no longer covers.
func WithGuard(ctx context.Context, check func() error) context.Context {
	return context.WithValue(ctx, guardKey{}, check)
}

// Guard calls the context's check, if it has one.
func Guard(ctx context.Context) error {
	check, ok := ctx.Value(guardKey{}).(func() error)
	if !ok {
		return nil
	}
	return check()
}
