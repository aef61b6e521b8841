package balancer

import (
	"container/heap"
	"time"
)

// pools returns the pools that a server belongs to.
func (l *endpointList) pools(at slotIndex) [poolsPerEndpoint]*pool {
	s := &l.entries[at]
	return [poolsPerEndpoint]*pool{&l.reserve, &l.reserveByZone[s.zone], &l.reserveByCell[s.cell]}
}

// addToReserve enters a server into the reserve.
func (l *endpointList) addToReserve(at slotIndex) {
	s := &l.entries[at]
	if s.inReserve {
		return
	}
	for n, p := range l.pools(at) {
		s.poolPositions[n] = int32(len(*p))
		*p = append(*p, at)
	}
	s.inReserve = true
}

// removeFromReserve takes a server out of the reserve.
func (l *endpointList) removeFromReserve(at slotIndex) {
	s := &l.entries[at]
	if !s.inReserve {
		return
	}
	for n, p := range l.pools(at) {
		end := len(*p) - 1
		last := (*p)[end]
		(*p)[s.poolPositions[n]] = last
		l.entries[last].poolPositions[n] = s.poolPositions[n]
		*p = (*p)[:end]
	}
	s.inReserve = false
}

// reserveInZone returns the reserve in a zone.
func (l *endpointList) reserveInZone(name string) pool {
	if number, known := l.zones.numbers[name]; known {
		return l.reserveByZone[number]
	}
	return nil
}

// reserveInCell returns the reserve in a cell.
func (l *endpointList) reserveInCell(cell int) pool {
	if number, known := l.cells.numbers[cell]; known {
		return l.reserveByCell[number]
	}
	return nil
}

// warmUp is when a server that has started is warm.
type warmUp struct {
	at   time.Duration
	slot slotIndex
}

// warmUpQueue orders cold servers by when they are warm. A slot may stand in it more than once, or have gone.
type warmUpQueue []warmUp

func (q warmUpQueue) Len() int { return len(q) }

func (q warmUpQueue) Less(i, j int) bool { return q[i].at < q[j].at }

func (q warmUpQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *warmUpQueue) Push(x any) { *q = append(*q, x.(warmUp)) }

func (q *warmUpQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// queueWarmUp notes when a server will be warm.
func (l *endpointList) queueWarmUp(at slotIndex, when time.Duration) {
	heap.Push(&l.warmUps, warmUp{when, at})
}

// nextWarmedUp returns a slot whose server may be warm by now; ok is false where there is none.
func (l *endpointList) nextWarmedUp(now time.Duration) (at slotIndex, ok bool) {
	if len(l.warmUps) == 0 || l.warmUps[0].at > now {
		return 0, false
	}
	return heap.Pop(&l.warmUps).(warmUp).slot, true
}
