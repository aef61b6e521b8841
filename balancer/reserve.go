package balancer

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// maxReserveSamples is the maximum number of endpoints sampled; the last one is taken whatever its weight.
const maxReserveSamples = 4

// pool is an unordered set of slots to sample from.
type pool []slotIndex

// poolsPerEndpoint is the number of pools that contain an endpoint of the reserve: the pool of all
// endpoints, of its zone and of its cell.
const poolsPerEndpoint = 3

// reserve holds the listed endpoints that are up, warm and not tracked. They serve requests that the subset
// cannot serve. The zero value is empty.
type reserve struct {
	all     pool
	byZone  []pool      // indexed like the zones of the list
	byCell  []pool      // indexed like the cells of the list
	warmUps warmUpQueue // cold endpoints that join the reserve once they are warm
}

// grow adds empty pools until there is one for each zone and cell.
func (r *reserve) grow(zones, cells int) {
	for len(r.byZone) < zones {
		r.byZone = append(r.byZone, nil)
	}
	for len(r.byCell) < cells {
		r.byCell = append(r.byCell, nil)
	}
}

// poolsOf returns the pools that contain an endpoint while it is in the reserve.
func (r *reserve) poolsOf(entry *listedEndpoint) [poolsPerEndpoint]*pool {
	return [poolsPerEndpoint]*pool{&r.all, &r.byZone[entry.zone], &r.byCell[entry.cell]}
}

// addToReserve adds an endpoint to the reserve, unless it is there already.
func (l *endpointList) addToReserve(slot slotIndex) {
	entry := &l.entries[slot]
	if entry.inReserve {
		return
	}
	for i, p := range l.reserve.poolsOf(entry) {
		entry.poolPositions[i] = int32(len(*p))
		*p = append(*p, slot)
	}
	entry.inReserve = true
}

// removeFromReserve removes an endpoint from the reserve, if it is there. In each pool the last endpoint
// takes its position.
func (l *endpointList) removeFromReserve(slot slotIndex) {
	entry := &l.entries[slot]
	if !entry.inReserve {
		return
	}
	for i, p := range l.reserve.poolsOf(entry) {
		end := len(*p) - 1
		last := (*p)[end]
		(*p)[entry.poolPositions[i]] = last
		l.entries[last].poolPositions[i] = entry.poolPositions[i]
		*p = (*p)[:end]
	}
	entry.inReserve = false
}

// updateReserve adds an endpoint to the reserve or removes it. It must be called when the entry changes and
// when tracking of the endpoint starts or stops. A cold endpoint is queued and added once it is warm.
func (l *endpointList) updateReserve(slot slotIndex, now, warmUp time.Duration) {
	entry := &l.entries[slot]
	warmAt := entry.startedAt + warmUp
	switch {
	case EndpointState(entry.state) != Up || entry.tracked:
		l.removeFromReserve(slot)
	case entry.startedAt != 0 && warmAt > now:
		l.removeFromReserve(slot)
		heap.Push(&l.reserve.warmUps, warmUpEnd{warmAt, slot})
	default:
		l.addToReserve(slot)
	}
}

// addWarmToReserve adds the endpoints that have become warm to the reserve.
func (l *endpointList) addWarmToReserve(now, warmUp time.Duration) {
	for {
		slot, ok := l.reserve.warmUps.next(now)
		if !ok {
			return
		}
		l.updateReserve(slot, now, warmUp)
	}
}

// reserveInZone returns the endpoints of the reserve in a zone.
func (l *endpointList) reserveInZone(zone string) pool {
	if index, known := l.zones.indexes[zone]; known {
		return l.reserve.byZone[index]
	}
	return nil
}

// reserveInCell returns the endpoints of the reserve in a cell.
func (l *endpointList) reserveInCell(cell int) pool {
	if index, known := l.cells.indexes[cell]; known {
		return l.reserve.byCell[index]
	}
	return nil
}

// sampleByWeight returns a random candidate, approximately with a probability proportional to its weight.
// The candidates must not be empty.
func (l *endpointList) sampleByWeight(candidates pool, rng *rand.Rand) slotIndex {
	slot := candidates[rng.IntN(len(candidates))]
	for n := 1; n < maxReserveSamples && rng.Float64()*l.activeWeights.largest > l.weight(slot); n++ {
		slot = candidates[rng.IntN(len(candidates))]
	}
	return slot
}

// warmUpEnd is the time at which the warm-up of an endpoint ends.
type warmUpEnd struct {
	at   time.Duration
	slot slotIndex
}

// warmUpQueue is a heap of cold endpoints, ordered by the end of their warm-up. It may contain an endpoint
// more than once, or a slot whose endpoint has left the list or was restarted. The caller checks each slot
// again.
type warmUpQueue []warmUpEnd

// next removes and returns a slot whose endpoint may be warm by now; ok is false if there is none.
func (q *warmUpQueue) next(now time.Duration) (slot slotIndex, ok bool) {
	if len(*q) == 0 || (*q)[0].at > now {
		return 0, false
	}
	return heap.Pop(q).(warmUpEnd).slot, true
}

// Len implements [heap.Interface].
func (q warmUpQueue) Len() int { return len(q) }

// Less implements [heap.Interface].
func (q warmUpQueue) Less(i, j int) bool { return q[i].at < q[j].at }

// Swap implements [heap.Interface].
func (q warmUpQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements [heap.Interface].
func (q *warmUpQueue) Push(x any) { *q = append(*q, x.(warmUpEnd)) }

// Pop implements [heap.Interface].
func (q *warmUpQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}
