package discovery

import (
	"errors"
	"fmt"
)

// FieldError means that a field of a message is missing or malformed.
type FieldError struct {
	Field string // path in the message, such as "generation" or "instances[3].weight"
	Err   error
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.Err }

// MoreFieldErrors stands for the errors of further fields of a message.
type MoreFieldErrors struct{ Count int }

// Error implements error.
func (e *MoreFieldErrors) Error() string { return fmt.Sprintf("%d more fields", e.Count) }

// CountFieldErrors returns the number of malformed fields in the result of [ParseLenient].
func CountFieldErrors(fieldErrors []error) int {
	count := len(fieldErrors)
	var more *MoreFieldErrors
	if count > 0 && errors.As(fieldErrors[count-1], &more) {
		count += more.Count - 1
	}
	return count
}

// entryField returns the path of a field of the entry at an index.
func entryField(index int, name string) string { return fmt.Sprintf("instances[%d].%s", index, name) }

var (
	errMissing = errors.New("is missing")
	errEmpty   = errors.New("is empty")
	errNotList = errors.New("is not a list")
)
