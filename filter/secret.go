package filter

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"

	"github.com/cumincove/cumincove/attempt"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/view"
)

// Secret refuses requests that contain a caller's key where an endpoint would
// receive it: in the path, the query, a forwarded header, or the body. The
// Authorization header itself is never forwarded.
type Secret struct{}

// ServeHTTP returns code.BadRequest, or calls next.
func (Secret) ServeHTTP(w http.ResponseWriter, r *Request, next Handler) error {
	if location := keyLocation(r); location != "" {
		return code.New(code.BadRequest, "a key stands in the %s; it belongs in the Authorization header only", location)
	}
	return next.ServeHTTP(w, r)
}

// keyLocation returns the part of the request that contains a key, or "". It checks
// for the key that the caller presented and, except in the body, for the keys of
// all teams.
func keyLocation(r *Request) string {
	presented := bearerKey(r)
	query, err := url.QueryUnescape(r.URL.RawQuery)
	if err != nil {
		query = r.URL.RawQuery
	}
	switch {
	case containsKey(r.Path, presented) || hasKnownKey(r.View, strings.Split(r.Path, "/")):
		return "path"
	case containsKey(query, presented) || r.URL.RawQuery != "" && queryHasKnownKey(r):
		return "query"
	case len(presented) >= minKeyPartBytes && bytes.Contains(r.Body, []byte(presented)):
		return "body"
	}
	for _, values := range attempt.RequestHeader(r.Header) {
		for _, v := range values {
			if containsKey(v, presented) || hasKnownKey(r.View, []string{v}) {
				return "header"
			}
		}
	}
	return ""
}

// containsKey reports whether text contains the key that the caller presented.
func containsKey(text, presented string) bool {
	return len(presented) >= minKeyPartBytes && strings.Contains(text, presented)
}

// queryHasKnownKey reports whether a name or value in the query is the key of any
// team.
func queryHasKnownKey(r *Request) bool {
	values, _ := url.ParseQuery(r.URL.RawQuery) // on an error, the parameters that could be parsed are checked
	for name, list := range values {
		if hasKnownKey(r.View, list) || hasKnownKey(r.View, []string{name}) {
			return true
		}
	}
	return false
}

const (
	// minKeyBytes is the length below which a complete text does not count as a
	// key. minKeyPartBytes is the length below which a key is not searched for
	// within longer texts.
	minKeyBytes     = 4
	minKeyPartBytes = 8
)

// hasKnownKey reports whether one of the texts is the key of any team.
func hasKnownKey(v *view.View, texts []string) bool {
	for _, t := range texts {
		if len(t) < minKeyBytes {
			continue
		}
		if _, ok := v.KeyByDigest(view.Digest(t)); ok {
			return true
		}
	}
	return false
}

// bearerKey returns the key that the caller presented, or "".
func bearerKey(r *Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return ""
	}
	return key
}
