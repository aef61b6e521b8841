package endpointlist

import (
	"net/netip"
	"slices"
	"time"

	"opalhook/balancer"
)

// AddressIndex knows which app server listens at which address. A process that starts at the address of one that has
// gone may be listed before the other one is removed. Requests for the old one would then reach the new one, which is
// cold and may not get as many. The zero value is an index of an empty list.
type AddressIndex struct {
	latest map[netip.AddrPort]process // by address: the process that started last
	addrs  map[string]netip.AddrPort  // by id, of the processes in latest
}

// process is an app server as the index knows it.
type process struct {
	id        string
	startedAt time.Duration
}

// Resolve returns a list in which endpoints are removed if another one has started later at their address. complete
// says that other endpoints than the listed ones have been removed.
func (x *AddressIndex) Resolve(endpoints []Endpoint, complete bool) []Endpoint {
	if complete || x.latest == nil {
		x.latest = make(map[netip.AddrPort]process, len(endpoints))
		x.addrs = make(map[string]netip.AddrPort, len(endpoints))
	}
	var resolved []Endpoint
	for _, e := range endpoints {
		if replaced := x.add(e); replaced != "" && !complete {
			resolved = append(resolved, removed(replaced))
		}
	}
	if len(resolved) == 0 && !slices.ContainsFunc(endpoints, x.isReplaced) {
		return endpoints
	}
	for _, e := range endpoints {
		if x.isReplaced(e) {
			e = removed(e.ID)
		}
		resolved = append(resolved, e)
	}
	return resolved
}

// add enters an endpoint. It returns the id of the endpoint that has been replaced by it, "" if there is none.
func (x *AddressIndex) add(e Endpoint) (replaced string) {
	if addr, known := x.addrs[e.ID]; known && (e.State == balancer.Removed || addr != e.Addr) {
		delete(x.addrs, e.ID)
		delete(x.latest, addr)
	}
	if e.State == balancer.Removed || !e.Addr.IsValid() {
		return ""
	}
	old, occupied := x.latest[e.Addr]
	if occupied && old.id != e.ID {
		if e.StartedAt <= old.startedAt {
			return ""
		}
		delete(x.addrs, old.id)
		replaced = old.id
	}
	x.latest[e.Addr], x.addrs[e.ID] = process{id: e.ID, startedAt: e.StartedAt}, e.Addr
	return replaced
}

// isReplaced reports whether another process has started later at the address of an endpoint.
func (x *AddressIndex) isReplaced(e Endpoint) bool {
	latest, occupied := x.latest[e.Addr]
	return occupied && e.State != balancer.Removed && latest.id != e.ID && latest.startedAt > e.StartedAt
}

// removed returns an endpoint as a list reports that it was removed.
func removed(id string) Endpoint {
	return Endpoint{Endpoint: balancer.Endpoint{ID: id, State: balancer.Removed}}
}
