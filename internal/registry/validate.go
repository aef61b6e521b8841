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

// maxQuotedLength limits, in bytes, how much of a client's input an error message repeats.
const maxQuotedLength = 40

// FieldError reports an invalid field of a registration.
type FieldError struct {
	Field  string // JSON key
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

func fieldError(field, format string, args ...any) *FieldError {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// ValidateRegistration checks a Register command. Its error contains a [FieldError] for each invalid name. If
// all names are valid, it contains one for the first other invalid field.
func ValidateRegistration(c Command) error {
	err := errors.Join(
		validateID(c.Entry.ID),
		validateName("zone", c.Entry.Zone, maxNameLength),
		validateName("machineType", c.Entry.MachineType, maxNameLength),
	)
	if err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(c.Entry.Addr); err != nil {
		return fieldError("hostPort", "%q is no address with a port, such as 127.0.0.1:8080", truncate(c.Entry.Addr))
	}
	return validateNumbers(c)
}

func validateID(id string) error {
	if id == "" {
		return fieldError("instanceId", "must not be empty")
	}
	return validateName("instanceId", id, maxIDLength)
}

// validateName accepts printable ASCII without spaces and without the characters that need escaping in JSON
// or in the path of a URL.
func validateName(field, name string, maxLength int) error {
	if len(name) > maxLength {
		return fieldError(field, "got %d bytes, must be at most %d", len(name), maxLength)
	}
	for _, b := range []byte(name) {
		if b <= ' ' || b > '~' || strings.IndexByte(`"\/?#%`, b) >= 0 {
			return fieldError(field, `contains the byte %q, must be printable ASCII without spaces and "\/?#%%`, b)
		}
	}
	return nil
}

func validateNumbers(c Command) error {
	e := c.Entry
	switch {
	case e.Lifecycle != Up:
		return fieldError("lifecycle", "got %q, must be up", truncate(e.Lifecycle))
	case !(e.Weight >= 0 && e.Weight <= maxWeight): // also rejects NaN
		return fieldError("weight", "got %v, must be from 0 to %v", e.Weight, maxWeight)
	case e.Cell < 0 || e.Cell > maxCell:
		return fieldError("cell", "got %d, must be from 0 to %d", e.Cell, maxCell)
	case e.StartedAtMs < 0 || e.StartedAtMs > maxStartedAtMs:
		return fieldError("startedAtMs", "got %d, must be a Unix time in milliseconds", e.StartedAtMs)
	case c.Incarnation == 0 || c.Incarnation > math.MaxInt64:
		return fieldError("incarnation", "got %d, must be from 1 to 2^63-1 and grow with each start", c.Incarnation)
	case c.Lease != 0 && (c.Lease < MinLease || c.Lease > MaxLease):
		return fieldError("leaseMs", "got %v, must be 0 or from %v to %v", c.Lease, MinLease, MaxLease)
	}
	return nil
}

// truncate shortens input that an error message repeats.
func truncate(s string) string {
	if len(s) > maxQuotedLength {
		return s[:maxQuotedLength] + "…"
	}
	return s
}
