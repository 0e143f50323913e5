package attempt

import (
	"errors"
	"net/url"
	"strings"
)

// Errors of CheckTarget.
var (
	ErrTargetNotAbsolute = errors.New("attempt: the path does not begin with a slash")
	ErrTargetCharacter   = errors.New("attempt: the path contains a character that a request line cannot contain")
	ErrTargetEscape      = errors.New("attempt: the path contains an invalid escape sequence")
)

// CheckTarget returns an error unless text, a path with an optional query, can be the
// target in a request line.
func CheckTarget(text string) error {
	if !strings.HasPrefix(text, "/") {
		return ErrTargetNotAbsolute
	}
	if strings.ContainsFunc(text, cannotBeSent) {
		return ErrTargetCharacter
	}
	u, err := url.ParseRequestURI(text)
	if err != nil {
		return ErrTargetEscape
	}
	// A path that begins with two slashes can be sent only in its usual escaping, as
	// it would be read as an address otherwise.
	if strings.HasPrefix(text, "//") && u.RequestURI() != text {
		return ErrTargetCharacter
	}
	return nil
}

// cannotBeSent reports whether a request line cannot contain a character: controls,
// white space and characters outside ASCII, and the start of a fragment.
func cannotBeSent(r rune) bool { return r <= ' ' || r >= 0x7f || r == '#' }

// targetURL returns the URL of a request whose request line has exactly the given
// target. A target that is not valid according to CheckTarget is sent in the usual
// escaping, so that it never becomes more than a path and a query.
func targetURL(addr, target string) *url.URL {
	path, query, hasQuery := strings.Cut(target, "?")
	u := &url.URL{Scheme: "http", Host: addr, RawQuery: strings.ReplaceAll(query, " ", "%20"), ForceQuery: hasQuery && query == ""}
	unescaped, err := url.PathUnescape(path)
	if err != nil {
		u.Path = path
		return u
	}
	u.Path, u.RawPath = unescaped, path
	if u.EscapedPath() != path && CheckTarget(target) == nil {
		u.Opaque = path
	}
	return u
}
