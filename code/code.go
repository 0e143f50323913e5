// Package code defines the numbered result codes that callers, trainers and
// operators receive in bodies, headers, logs and metrics.
//
// A code specifies whether the request was not run, may have run, or ran, and
// whether and when a retry can succeed. docs/CODES.md is generated from the
// table in this package.
package code

import (
	"fmt"
	"time"
)

// Number is a result code. The meaning of a number never changes.
type Number int

// Effect specifies what a code implies about the execution of the request.
type Effect string

// The effects.
const (
	// NotRun means that no endpoint or store executed any part of the request.
	NotRun Effect = "not_run"
	// MaybeRun means that the request may have been executed, at most once.
	MaybeRun Effect = "maybe_run"
	// Ran means that the request was executed.
	Ran Effect = "ran"
)

// Info describes a code.
type Info struct {
	Number Number
	// Name is the code's name in metrics and logs.
	Name string
	// HTTPStatus is the status of a response with this code.
	HTTPStatus int
	Effect     Effect
	// RetryAfter is the time after which a retry can succeed. Zero means that
	// the same request will fail again until something is changed.
	RetryAfter time.Duration
	// Help describes what happened and what to do.
	Help string
}

// Error is an error that carries a code.
type Error struct {
	Number Number
	// Detail describes this occurrence. It must not contain a caller's key.
	Detail string
	// RetryAfter overrides the RetryAfter of the code if it is not zero.
	RetryAfter time.Duration
	// Effect overrides the Effect of the code if it is not empty.
	Effect Effect
	// Diff shows operators how the configuration differs, on a conflict.
	Diff []string
	// Cause is the underlying error, for logs.
	Cause error
}

// New returns an Error with a formatted detail.
func New(n Number, format string, args ...any) *Error {
	return &Error{Number: n, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error with a cause.
func Wrap(n Number, cause error, format string, args ...any) *Error {
	return &Error{Number: n, Cause: cause, Detail: fmt.Sprintf(format, args...)}
}

// Error returns the number, the name and the detail.
func (e *Error) Error() string {
	info := Lookup(e.Number)
	if e.Detail == "" {
		return fmt.Sprintf("%d %s", e.Number, info.Name)
	}
	return fmt.Sprintf("%d %s: %s", e.Number, info.Name, e.Detail)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Info returns the code's description with the overrides of e applied.
func (e *Error) Info() Info {
	info := Lookup(e.Number)
	if e.RetryAfter != 0 {
		info.RetryAfter = e.RetryAfter
	}
	if e.Effect != "" {
		info.Effect = e.Effect
	}
	return info
}

// Lookup returns the description of a code. For an unknown number it returns
// the description of Internal.
func Lookup(n Number) Info {
	if info, ok := byNumber[n]; ok {
		return info
	}
	return byNumber[Internal]
}

// All returns the descriptions of all codes, sorted by number.
func All() []Info {
	return append([]Info(nil), table...)
}

var byNumber = func() map[Number]Info {
	m := make(map[Number]Info, len(table))
	for _, info := range table {
		m[info.Number] = info
	}
	return m
}()
