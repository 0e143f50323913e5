package filter

import (
	"net/http"
	"strings"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/view"
)

const bearerPrefix = "Bearer "

// Identify finds the team by the caller's key. Open services need no key, and a key
// sent to one is ignored.
type Identify struct {
	// Optional admits requests without a valid key. Their team is empty.
	Optional bool
}

// ServeHTTP sets r.Team and r.KeyDigest, or returns code.KeyMissing,
// code.KeyUnknown or code.KeyWithdrawn.
func (i Identify) ServeHTTP(w http.ResponseWriter, r *Request, next Handler) error {
	if r.Service.Open {
		return next.ServeHTTP(w, r)
	}
	if err := identify(r); err != nil && !i.Optional {
		return err
	}
	return next.ServeHTTP(w, r)
}

// identify sets the team of a request by its key.
func identify(r *Request) error {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok || key == "" {
		return code.New(code.KeyMissing, "")
	}
	digest := view.Digest(key)
	k, ok := r.View.KeyByDigest(digest)
	if !ok {
		return code.New(code.KeyUnknown, "")
	}
	if k.Withdrawn {
		return code.New(code.KeyWithdrawn, "key %q", k.Name)
	}
	r.Team = k.Team
	r.KeyDigest = digest
	return nil
}
