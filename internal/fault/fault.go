// Package fault provides the generic error type from which each package declares its own.
//
// A package declares its kinds and an alias:
//
//	type Kind string
//	type Error = fault.Error[Kind]
package fault

import (
	"errors"

	"github.com/rotisserie/eris"
)

// Error holds the operation that failed, the kind of failure and its cause.
type Error[K ~string] struct {
	Op   string
	Kind K
	Err  error
}

// Error returns the operation followed by the cause.
func (e *Error[K]) Error() string {
	if e.Err == nil {
		return e.Op + ": " + string(e.Kind)
	}
	return e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error[K]) Unwrap() error {
	return e.Err
}

// New returns an error of the given kind with a formatted message.
func New[K ~string](op string, kind K, format string, args ...any) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, Err: eris.Errorf(format, args...)}
}

// Wrap returns an error of the given kind around err. It returns nil for a nil err.
func Wrap[K ~string](err error, op string, kind K, message string) error {
	if err == nil {
		return nil
	}
	return &Error[K]{Op: op, Kind: kind, Err: eris.Wrap(err, message)}
}

// Is reports whether err, or an error it wraps, has the given kind.
func Is[K ~string](err error, kind K) bool {
	var e *Error[K]
	return errors.As(err, &e) && e.Kind == kind
}
