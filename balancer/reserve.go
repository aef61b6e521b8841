package balancer

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// maxReserveSamples is the number of samples until an endpoint is taken whatever its weight.
const maxReserveSamples = 4

// pool is a set of slots from which one can be sampled. Its order has no meaning.
type pool []slotIndex

// poolsPerEndpoint is the number of pools that an endpoint of the reserve is in: of all, of its zone and of
// its cell.
const poolsPerEndpoint = 3

// reserve holds the listed endpoints that may be sent to although this node doesn't track them: they are up
// and warm. They serve where the subset can't. The zero value is empty.
type reserve struct {
	all     pool
	byZone  []pool // by the zone's number in the list
	byCell  []pool // by the cell's
	warmUps warmUpQueue
}

// grow makes pools for a number of zones and cells.
func (r *reserve) grow(zones, cells int) {
	for len(r.byZone) < zones {
		r.byZone = append(r.byZone, nil)
	}
	for len(r.byCell) < cells {
		r.byCell = append(r.byCell, nil)
	}
}

// poolsOf returns the pools that an endpoint belongs to.
func (r *reserve) poolsOf(entry *listedEndpoint) [poolsPerEndpoint]*pool {
	return [poolsPerEndpoint]*pool{&r.all, &r.byZone[entry.zone], &r.byCell[entry.cell]}
}

// addToReserve adds an endpoint to the reserve.
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

// removeFromReserve takes an endpoint out of the reserve. The last of each pool moves to its position.
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

// updateReserve adds an endpoint to the reserve or takes it out, after its entry has changed or it is
// tracked or no longer. A cold one is added once it is warm.
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

// moveWarmedUpToReserve adds the endpoints to the reserve that have become warm.
func (l *endpointList) moveWarmedUpToReserve(now, warmUp time.Duration) {
	for {
		slot, ok := l.reserve.warmUps.next(now)
		if !ok {
			return
		}
		l.updateReserve(slot, now, warmUp)
	}
}

// reserveInZone returns the reserve in a zone.
func (l *endpointList) reserveInZone(zone string) pool {
	if number, known := l.zones.numbers[zone]; known {
		return l.reserve.byZone[number]
	}
	return nil
}

// reserveInCell returns the reserve in a cell.
func (l *endpointList) reserveInCell(cell int) pool {
	if number, known := l.cells.numbers[cell]; known {
		return l.reserve.byCell[number]
	}
	return nil
}

// sampleByWeight samples an endpoint from a part of the reserve that isn't empty, by weight as far as a few
// samples can.
func (l *endpointList) sampleByWeight(candidates pool, rng *rand.Rand) slotIndex {
	slot := candidates[rng.IntN(len(candidates))]
	for n := 1; n < maxReserveSamples && rng.Float64()*l.activeWeights.largest > l.weight(slot); n++ {
		slot = candidates[rng.IntN(len(candidates))]
	}
	return slot
}

// warmUpEnd is when a started endpoint is warm.
type warmUpEnd struct {
	at   time.Duration
	slot slotIndex
}

// warmUpQueue is a heap of cold endpoints by when they are warm. An endpoint may be in it more than once,
// or have left the list: what comes out of it is checked again.
type warmUpQueue []warmUpEnd

// next removes and returns a slot whose endpoint may be warm by now; ok is false where there is none.
func (q *warmUpQueue) next(now time.Duration) (slot slotIndex, ok bool) {
	if len(*q) == 0 || (*q)[0].at > now {
		return 0, false
	}
	return heap.Pop(q).(warmUpEnd).slot, true
}

// Len is part of [heap.Interface].
func (q warmUpQueue) Len() int { return len(q) }

// Less is part of [heap.Interface].
func (q warmUpQueue) Less(i, j int) bool { return q[i].at < q[j].at }

// Swap is part of [heap.Interface].
func (q warmUpQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is part of [heap.Interface].
func (q *warmUpQueue) Push(x any) { *q = append(*q, x.(warmUpEnd)) }

// Pop is part of [heap.Interface].
func (q *warmUpQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}
