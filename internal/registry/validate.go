package registry

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"
)

// Bounds of a registration's fields.
const (
	MaxLease = 24 * time.Hour
	MinLease = time.Second

	maxIDLength    = 128 // bytes
	maxNameLength  = 64  // bytes
	maxWeight      = 1e6
	maxCell        = 1 << 30
	maxStartedAtMs = 1 << 52
)

// maxQuotedLength bounds, in bytes, how much of a client's input an error message repeats.
const maxQuotedLength = 40

// FieldError reports the field of a registration that is invalid.
type FieldError struct {
	Field  string // its JSON key
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

func fieldError(field, format string, args ...any) *FieldError {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// ValidateRegistration returns an error that holds a [FieldError] for each invalid name of a Register command, or for
// the first other field that is invalid.
func ValidateRegistration(c Command) error {
	err := errors.Join(
		validateID(c.Entry.InstanceID),
		validateName("zone", c.Entry.Zone, maxNameLength),
		validateName("machineType", c.Entry.MachineType, maxNameLength),
	)
	if err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(c.Entry.HostPort); err != nil {
		return fieldError("hostPort", "%q is no address with a port, such as 127.0.0.1:8080", truncate(c.Entry.HostPort))
	}
	return validateNumbers(c)
}

func validateID(id string) error {
	if id == "" {
		return fieldError("instanceId", "is empty")
	}
	return validateName("instanceId", id, maxIDLength)
}

// validateName accepts printable ASCII without the characters that would need escaping in JSON or in a URL's path.
func validateName(field, name string, maxLength int) error {
	if len(name) > maxLength {
		return fieldError(field, "%d bytes, %d are the most", len(name), maxLength)
	}
	for _, b := range []byte(name) {
		if b <= ' ' || b > '~' || strings.IndexByte(`"\/?#%`, b) >= 0 {
			return fieldError(field, "holds the byte %q; letters, digits and plain signs are wanted", b)
		}
	}
	return nil
}

func validateNumbers(c Command) error {
	e := c.Entry
	switch {
	case e.Lifecycle != Up:
		return fieldError("lifecycle", "%q; an instance registers as up", truncate(e.Lifecycle))
	case !(e.Weight >= 0 && e.Weight <= maxWeight): // also true of NaN
		return fieldError("weight", "%v is not from 0 to %v", e.Weight, maxWeight)
	case e.Cell < 0 || e.Cell > maxCell:
		return fieldError("cell", "%d is not from 0 to %d", e.Cell, maxCell)
	case e.StartedAtMs < 0 || e.StartedAtMs > maxStartedAtMs:
		return fieldError("startedAtMs", "%d is no Unix time in milliseconds", e.StartedAtMs)
	case c.Incarnation == 0 || c.Incarnation > math.MaxInt64:
		return fieldError("incarnation", "%d; a number from 1 that grows with each start is wanted", c.Incarnation)
	case c.Lease != 0 && (c.Lease < MinLease || c.Lease > MaxLease):
		return fieldError("leaseMs", "%v is neither 0 nor from %v to %v", c.Lease, MinLease, MaxLease)
	}
	return nil
}

// truncate bounds input that an error message repeats.
func truncate(s string) string {
	if len(s) > maxQuotedLength {
		return s[:maxQuotedLength] + "…"
	}
	return s
}
