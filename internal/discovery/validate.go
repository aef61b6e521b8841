package discovery

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
)

var errZero = errors.New("must be at least 1, got 0")

// Validate returns a [*FieldError] for the first field with a value that the list service never writes. It
// is stricter than [ParseLenient] because its callers can reject the whole message and change to another
// replica.
func (m Message) Validate() error {
	if m.Generation == 0 {
		return &FieldError{"generation", errZero}
	}
	for i, e := range m.Entries {
		if name, err := e.validate(m.Snapshot); err != nil {
			return &FieldError{entryField(i, name), err}
		}
	}
	return nil
}

// validate returns the name and the error of the first malformed field. Removed entries are valid only in a
// message of changes.
func (e Entry) validate(snapshot bool) (field string, err error) {
	switch {
	case e.ID == "":
		return "instanceId", errEmpty
	case e.Lifecycle != Up && e.Lifecycle != Draining && (e.Lifecycle != Removed || snapshot):
		return "lifecycle", fmt.Errorf("must be up, draining or (in changes) removed, got %q", e.Lifecycle)
	case !(e.Weight >= 0) || math.IsInf(e.Weight, 0):
		return "weight", fmt.Errorf("must be a finite number of at least 0, got %v", e.Weight)
	}
	if _, err := netip.ParseAddrPort(e.Addr); err != nil && e.Lifecycle != Removed {
		return "hostPort", err
	}
	return "", nil
}
