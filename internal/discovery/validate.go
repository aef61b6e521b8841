package discovery

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
)

var errZero = errors.New("is 0")

// Validate returns a [*FieldError] for the first field of a message that no list service writes. It is stricter than
// [ParseLenient]: a client that has other replicas to turn to rejects the whole message.
func (m Message) Validate() error {
	if m.Generation == 0 {
		return &FieldError{"generation", errZero}
	}
	for i, e := range m.Instances {
		if name, err := e.validate(m.Reset); err != nil {
			return &FieldError{entryField(i, name), err}
		}
	}
	return nil
}

// validate returns the name of the first malformed field and what is wrong with it. Only a message of changes may
// contain removed entries.
func (e Entry) validate(snapshot bool) (field string, err error) {
	switch {
	case e.InstanceID == "":
		return "instanceId", errEmpty
	case e.Lifecycle != Up && e.Lifecycle != Draining && (e.Lifecycle != Removed || snapshot):
		return "lifecycle", fmt.Errorf("%q is not expected here", e.Lifecycle)
	case !(e.Weight >= 0) || math.IsInf(e.Weight, 0):
		return "weight", fmt.Errorf("%v is no weight", e.Weight)
	}
	if _, err := netip.ParseAddrPort(e.HostPort); err != nil && e.Lifecycle != Removed {
		return "hostPort", err
	}
	return "", nil
}
