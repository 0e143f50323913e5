// Package label defines labels, which are names with values attached to objects,
// and selectors, which select objects by their labels.
//
// Selectors have the syntax of Kubernetes label selectors:
// "zone=a,tier!=cheap,role in (prefill,decode),!draining".
package label

import (
	"encoding/json"
	"fmt"

	"k8s.io/apimachinery/pkg/labels"
)

// Set contains the labels of one object. A nil Set is empty.
type Set map[string]string

// Selector selects objects by their labels. The zero Selector selects all
// objects.
type Selector struct {
	sel labels.Selector
}

// Parse parses a selector. An empty string selects all objects.
func Parse(text string) (Selector, error) {
	sel, err := labels.Parse(text)
	if err != nil {
		return Selector{}, fmt.Errorf("parse selector %q: %w", text, err)
	}
	return Selector{sel: sel}, nil
}

// MustParse is like Parse, but panics if the selector is invalid. It is intended
// for constants.
func MustParse(text string) Selector {
	s, err := Parse(text)
	if err != nil {
		panic(err)
	}
	return s
}

// Matches reports whether the labels satisfy all requirements of s.
func (s Selector) Matches(set Set) bool {
	if s.sel == nil {
		return true
	}
	return s.sel.Matches(labels.Set(set))
}

// String returns the selector in the syntax of Parse.
func (s Selector) String() string {
	if s.sel == nil {
		return ""
	}
	return s.sel.String()
}

// MarshalJSON encodes the selector as a string.
func (s Selector) MarshalJSON() ([]byte, error) {
	return json.Marshal(s.String())
}

// UnmarshalJSON decodes a selector from a string.
func (s *Selector) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("selector must be a string: %w", err)
	}
	parsed, err := Parse(text)
	if err != nil {
		return err
	}
	*s = parsed
	return nil
}
