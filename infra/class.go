package infra

import "context"

// Class is what a call of the platform is for. A client that limits its calls leaves
// room to the classes before it in the order below.
type Class int

// The classes of calls.
const (
	// ClassOwn is for what the instance itself needs: its configuration, the members,
	// leases, and the results of the steps that it runs.
	ClassOwn Class = iota
	// ClassCaller is for writes that callers cause, and for reads of whole steps.
	ClassCaller
	// ClassBulk is for reads of which there can be any number: those that callers cause,
	// and those of steps that an instance does not know.
	ClassBulk
)

type classKey struct{}

// WithClass returns a context whose calls have a class. Without one it is ClassOwn.
func WithClass(ctx context.Context, c Class) context.Context {
	return context.WithValue(ctx, classKey{}, c)
}

// ClassOf returns the class of a context's calls.
func ClassOf(ctx context.Context) Class {
	c, _ := ctx.Value(classKey{}).(Class)
	return c
}
