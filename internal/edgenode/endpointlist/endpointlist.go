// Package endpointlist parses the list of app servers that an edge node receives from discovery.
package endpointlist

import (
	"net/netip"

	"opalhook/balancer"
	"opalhook/internal/discovery"
)

// List is one message of discovery: the complete list of app servers, or changes to it.
type List struct {
	Generation uint64
	Snapshot   bool // the complete list: other endpoints have been removed
	Endpoints  []Endpoint
}

// Endpoint is one app server with the address at which it listens.
type Endpoint struct {
	balancer.Endpoint
	Addr netip.AddrPort // may be invalid, but only if the endpoint is not up
}

// Parse parses one message of discovery by the rules of [discovery.ParseLenient]. fieldErrors has one error
// for each malformed field of an otherwise usable message. A non-nil err means that no part of the text can
// be used.
func Parse(text []byte) (l List, fieldErrors []error, err error) {
	m, fieldErrors, err := discovery.ParseLenient(text)
	if err != nil {
		return List{}, nil, err
	}
	return List{
		Generation: m.Generation,
		Snapshot:   m.Snapshot,
		Endpoints:  fromEntries(m.Entries),
	}, fieldErrors, nil
}

// ParsePartial returns the endpoints that an incomplete or malformed message reports as draining or removed.
// See [discovery.ParsePartial].
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

// endpointState converts a lifecycle of discovery to the balancer's state. An unknown lifecycle counts as
// draining.
func endpointState(lifecycle string) balancer.EndpointState {
	switch lifecycle {
	case discovery.Up:
		return balancer.Up
	case discovery.Removed:
		return balancer.Removed
	}
	return balancer.Draining
}
