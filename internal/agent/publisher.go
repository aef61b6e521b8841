package agent

import (
	"time"

	"opalhook/internal/discovery"
)

// publisher decides when the accepted list is published to nodes, and whether as a snapshot or as changes.
type publisher struct {
	removalDelay time.Duration

	published view
	removedAt map[string]time.Duration // by instance ID: when an endpoint published as up left the list
}

func newPublisher(rules Rules) publisher {
	return publisher{removalDelay: rules.RemovalDelay, removedAt: map[string]time.Duration{}}
}

// trackRemovals records which endpoints that are published as up are missing from the accepted list, and
// since when. Endpoints that are published as draining are not tracked: their removal is not delayed.
func (p *publisher) trackRemovals(now time.Duration, accepted view) {
	for id, e := range p.published.entries {
		_, listed := accepted.entries[id]
		_, tracked := p.removedAt[id]
		switch {
		case listed || e.Lifecycle != discovery.Up:
			delete(p.removedAt, id)
		case !tracked:
			p.removedAt[id] = now
		}
	}
}

// due returns when the tracked removals may be published: the removal delay after the latest one, but at most
// twice the delay after the oldest one. It reports whether there are any.
func (p *publisher) due() (at time.Duration, ok bool) {
	var first, last time.Duration
	for _, t := range p.removedAt {
		if !ok || t < first {
			first = t
		}
		last = max(last, t)
		ok = true
	}
	return min(last+p.removalDelay, first+2*p.removalDelay), ok
}

// next returns the message that takes nodes from the published to the accepted list, and records that list as
// published. It reports whether a message is due.
func (p *publisher) next(now time.Duration, accepted view) (m discovery.Message, ok bool) {
	if accepted.generation == p.published.generation {
		return discovery.Message{}, false
	}
	snapshot := p.needsSnapshot(accepted)
	if at, delayed := p.due(); delayed && now < at && !snapshot {
		return discovery.Message{}, false
	}
	if snapshot {
		m = accepted.snapshot()
	} else {
		m = accepted.deltaFrom(p.published)
	}
	clear(p.removedAt)
	if len(m.Entries) == 0 && !snapshot { // no difference, as after a flap
		return discovery.Message{}, false
	}
	p.published = accepted
	return m, true
}

// needsSnapshot reports whether nodes need the complete list: as the first list, in a new epoch or after a
// rollback.
func (p *publisher) needsSnapshot(accepted view) bool {
	return p.published.generation == 0 ||
		discovery.Epoch(accepted.generation) != discovery.Epoch(p.published.generation) ||
		accepted.generation < p.published.generation
}
