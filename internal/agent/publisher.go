package agent

import (
	"time"

	"opalhook/internal/discovery"
)

// publisher decides when the list that is held is sent to the nodes, and whether as a snapshot or as changes.
type publisher struct {
	removalDelay time.Duration

	published view
	removedAt map[string]time.Duration // by instance id: endpoints that are up for the nodes and no longer in the list
}

func newPublisher(rules Rules) publisher {
	return publisher{removalDelay: rules.RemovalDelay, removedAt: map[string]time.Duration{}}
}

// trackRemovals records which of the published endpoints are missing from a list, and since when.
func (p *publisher) trackRemovals(now time.Duration, held view) {
	for id, e := range p.published.entries {
		_, listed := held.entries[id]
		_, tracked := p.removedAt[id]
		switch {
		case listed || e.Lifecycle != discovery.Up:
			delete(p.removedAt, id)
		case !tracked:
			p.removedAt[id] = now
		}
	}
}

// due returns when the removals may be published: once none is new, or the oldest has waited for twice the delay. It
// reports whether there are any.
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

// next returns the message for the nodes that makes held the published list. It reports whether there is one now.
func (p *publisher) next(now time.Duration, held view) (m discovery.Message, ok bool) {
	if held.generation == p.published.generation {
		return discovery.Message{}, false
	}
	snapshot := p.needsSnapshot(held)
	if at, delayed := p.due(); delayed && now < at && !snapshot {
		return discovery.Message{}, false
	}
	if snapshot {
		m = held.snapshot()
	} else {
		m = held.deltaFrom(p.published)
	}
	clear(p.removedAt)
	if len(m.Instances) == 0 && !snapshot { // a flap after which everything is as it was
		return discovery.Message{}, false
	}
	p.published = held
	return m, true
}

// needsSnapshot reports whether nodes can't get to a list by changes.
func (p *publisher) needsSnapshot(held view) bool {
	return p.published.generation == 0 ||
		discovery.Epoch(held.generation) != discovery.Epoch(p.published.generation) ||
		held.generation < p.published.generation
}
