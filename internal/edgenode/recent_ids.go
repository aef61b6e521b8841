package edgenode

import "time"

// minIDWindow is the shortest time for which the id of a request is remembered after its end.
const minIDWindow = 10 * time.Second

// recentIDs remembers the ids of requests that have ended, may have run and must not be repeated. A request with such
// an id is not forwarded: clients use a new id for each request, so it is one that came again, after its client had left
// for instance. recentIDs is not safe for concurrent use.
type recentIDs struct {
	window time.Duration // for which an id is remembered
	limit  int           // largest number of ids; beyond it the oldest are forgotten
	ids    map[string]struct{}
	queue  []recentID // in the order in which they expire
}

// recentID is an id that is remembered.
type recentID struct {
	id      string
	expires time.Duration
}

// newRecentIDs returns a memory of at most limit ids.
func newRecentIDs(window time.Duration, limit int) recentIDs {
	return recentIDs{window: window, limit: limit, ids: map[string]struct{}{}}
}

// add remembers an id from now on.
func (r *recentIDs) add(now time.Duration, id string) {
	r.expire(now)
	if _, known := r.ids[id]; known {
		return
	}
	if len(r.queue) >= r.limit {
		r.forgetOldest()
	}
	r.ids[id] = struct{}{}
	r.queue = append(r.queue, recentID{id: id, expires: now + r.window})
}

// contains reports whether an id is remembered.
func (r *recentIDs) contains(now time.Duration, id string) bool {
	r.expire(now)
	_, known := r.ids[id]
	return known
}

// expire forgets the ids that have expired.
func (r *recentIDs) expire(now time.Duration) {
	for len(r.queue) > 0 && r.queue[0].expires <= now {
		r.forgetOldest()
	}
}

// forgetOldest forgets the id that was remembered first.
func (r *recentIDs) forgetOldest() {
	delete(r.ids, r.queue[0].id)
	r.queue[0].id = ""
	r.queue = r.queue[1:]
}
