// Package endpointlist is the list of app servers as an edge node has it from discovery.
package endpointlist

import (
	"net/netip"

	"opalhook/balancer"
	"opalhook/internal/discovery"
)

// List is one message of discovery.
type List struct {
	Generation uint64
	Snapshot   bool // the complete list: an endpoint missing from it is gone
	Endpoints  []Endpoint
}

// Endpoint is one app server and where it listens.
type Endpoint struct {
	balancer.Endpoint
	Addr netip.AddrPort // invalid for one that is not up and whose address can't be read
}

// Parse parses one message of discovery by the rules of [discovery.ParseLenient]: faults are the malformed fields; a
// non-nil err means that the text is no message at all.
func Parse(text []byte) (l List, faults []error, err error) {
	m, faults, err := discovery.ParseLenient(text)
	if err != nil {
		return List{}, nil, err
	}
	return List{Generation: m.Generation, Snapshot: m.Snapshot, Endpoints: fromEntries(m.Entries)}, faults, nil
}

// ParsePartial returns the endpoints that leave or are gone from a text that is no complete message; see
// [discovery.ParsePartial].
func ParsePartial(text []byte) []Endpoint { return fromEntries(discovery.ParsePartial(text)) }

func fromEntries(entries []discovery.ParsedEntry) []Endpoint {
	if len(entries) == 0 {
		return nil
	}
	endpoints := make([]Endpoint, len(entries))
	for i, e := range entries {
		endpoints[i] = Endpoint{Addr: e.Addr, Endpoint: balancer.Endpoint{
			ID:          e.ID,
			Zone:        e.Zone,
			MachineType: e.MachineType,
			Cell:        e.Cell,
			Weight:      e.Weight,
			State:       endpointState(e.Lifecycle),
			StartedAt:   e.StartedAt,
		}}
	}
	return endpoints
}

// endpointState returns the balancer's state for a lifecycle of discovery.
func endpointState(lifecycle string) balancer.EndpointState {
	switch lifecycle {
	case discovery.Up:
		return balancer.Up
	case discovery.Removed:
		return balancer.Removed
	}
	return balancer.Draining
}
