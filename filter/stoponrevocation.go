package filter

import (
	"context"
	"net/http"
)

// StopOnRevocation stops a request when its key becomes invalid. It is not needed
// for requests to services: Attempt stops these itself, because the error must
// report the effect of the attempts made so far.
type StopOnRevocation struct {
	Revocations *Revocations
}

// ServeHTTP calls next with a context that is cancelled when the key becomes
// invalid, and returns the cause if that stopped the request.
func (f StopOnRevocation) ServeHTTP(w http.ResponseWriter, r *Request, next Handler) error {
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	defer f.Revocations.OnRevoked(r.KeyDigest, cancel)()
	r.Request = r.WithContext(ctx)
	err := next.ServeHTTP(w, r)
	if err != nil && context.Cause(ctx) != nil {
		return context.Cause(ctx)
	}
	return err
}
