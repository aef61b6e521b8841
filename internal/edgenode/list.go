package edgenode

import (
	"net/netip"

	"opalhook/balancer"
	"opalhook/internal/discovery"
)

// List is one message of discovery.
type List struct {
	Generation uint64
	Full       bool // the complete list: a server missing from it is gone
	Servers    []Instance
}

// Instance is one app server and where it listens.
type Instance struct {
	balancer.Endpoint
	Addr netip.AddrPort // invalid for one that is not up and whose address can't be read
}

// parseList parses one message of discovery by the rules of [discovery.ParseLenient].
func parseList(text []byte) (l List, faults []error, err error) {
	m, faults, err := discovery.ParseLenient(text)
	if err != nil {
		return List{}, nil, err
	}
	return List{Generation: m.Generation, Full: m.Snapshot, Servers: instances(m.Entries)}, faults, nil
}

// instances returns the balancer's endpoints that entries of discovery describe.
func instances(entries []discovery.ParsedEntry) []Instance {
	if len(entries) == 0 {
		return nil
	}
	all := make([]Instance, len(entries))
	for i, e := range entries {
		all[i] = Instance{Addr: e.Addr, Endpoint: balancer.Endpoint{ID: e.ID, Zone: e.Zone, MachineType: e.MachineType,
			Cell: e.Cell, Weight: e.Weight, State: endpointState(e.Lifecycle), StartedAt: e.StartedAt}}
	}
	return all
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
