package discovery

import (
	"errors"
	"fmt"
)

// FieldError is a field of a message that is not what the protocol says.
type FieldError struct {
	Field string // as in "generation" or "instances[3].weight"
	Err   error
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.Err }

// entryField names a field of the entry at an index.
func entryField(index int, name string) string { return fmt.Sprintf("instances[%d].%s", index, name) }

var (
	errMissing = errors.New("is missing")
	errEmpty   = errors.New("is empty")
)
