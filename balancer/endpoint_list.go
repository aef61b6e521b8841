package balancer

import (
	"slices"
	"time"
)

// slotIndex is the index of a listed endpoint. One that is removed leaves its slot to the next that is added.
type slotIndex int32

// listedEndpoint is an entry of the list. Weight, zone, cell and machine type are indices in the list's
// tables.
type listedEndpoint struct {
	id            string
	startedAt     time.Duration
	entersAt      float64 // see [subsetSizing.entersAt]
	weight        int32
	zone          int32
	cell          int32
	machineType   int32
	poolPositions [poolsPerEndpoint]int32 // in each of its pools of the reserve
	state         listedState
	inReserve     bool
	snapshotMark  bool // that of the list when it last named the endpoint
	tracked       bool // [endpointSet.trackedByID] has it
}

// listedState is an [EndpointState] in a byte. A free slot is [Removed].
type listedState int8

// valueTable numbers values that many endpoints share.
type valueTable[T comparable] struct {
	values  []T
	numbers map[T]int32
}

// number returns the number of a value, a new one for a new value. The number that an endpoint had before
// is a guess that saves a look-up.
func (t *valueTable[T]) number(value T, guess int32) int32 {
	if int(guess) < len(t.values) && t.values[guess] == value {
		return guess
	}
	number, known := t.numbers[value]
	if !known {
		if t.numbers == nil {
			t.numbers = map[T]int32{}
		}
		number = int32(len(t.values))
		t.numbers[value] = number
		t.values = append(t.values, value)
	}
	return number
}

// endpointList is the endpoint list as last received, held compactly: most of its endpoints are never sent
// to by this node.
type endpointList struct {
	entries       []listedEndpoint
	free          []slotIndex
	slotByID      map[string]slotIndex
	expectedSlot  slotIndex    // the slot behind the one found last
	activeWeights weightCounts // of the endpoints that accept requests
	weights       valueTable[float64]
	zones         valueTable[string]
	cells         valueTable[int]
	machineTypes  valueTable[string]
	reserve       reserve

	// subsetCandidates are the slots of endpoints that can enter this node's subset. Some may be free or
	// twice in it, up to maxSubsetCandidates in all.
	subsetCandidates    []slotIndex
	maxSubsetCandidates int

	snapshotMark    bool // changes with each snapshot
	namedInSnapshot int  // listed endpoints that the last snapshot and the changes since have named
	entryReads      int  // entries read out one by one
	lookups         int  // entries that were looked up by their id
}

const (
	// staleSlack is the number of values or slots left behind by endpoints long gone that any list may hold.
	staleSlack = 1024
	// minSubsetCandidates is half the number of candidates that are kept before free slots are looked for.
	minSubsetCandidates = 64
)

func newEndpointList(size int) *endpointList {
	return &endpointList{
		entries:  make([]listedEndpoint, 0, size),
		slotByID: make(map[string]slotIndex, size),
	}
}

// length returns the number of listed endpoints.
func (l *endpointList) length() int { return len(l.slotByID) }

// slotOf returns the slot of an endpoint.
func (l *endpointList) slotOf(id string) (slot slotIndex, listed bool) {
	slot, listed = l.slotByID[id]
	return slot, listed
}

// isTracked reports whether this node tracks a listed endpoint.
func (l *endpointList) isTracked(slot slotIndex) bool { return l.entries[slot].tracked }

// setTracked notes whether this node tracks a listed endpoint.
func (l *endpointList) setTracked(slot slotIndex, tracked bool) { l.entries[slot].tracked = tracked }

// idOf returns the id of a listed endpoint.
func (l *endpointList) idOf(slot slotIndex) string { return l.entries[slot].id }

// entersAt returns the number of subsets for each endpoint from which on this one is in this node's subset.
func (l *endpointList) entersAt(slot slotIndex) float64 { return l.entries[slot].entersAt }

// find returns the slot of an endpoint. Lists mostly come in the same order: the next slot is tried first.
func (l *endpointList) find(id string) (slot slotIndex, listed bool) {
	slot = l.expectedSlot
	if int(slot) >= len(l.entries) || l.isFree(slot) || l.entries[slot].id != id {
		l.lookups++
		if slot, listed = l.slotByID[id]; !listed {
			return 0, false
		}
	}
	l.expectedSlot = slot + 1
	return slot, true
}

// add lists an endpoint, as yet without an entry: [endpointList.update] follows.
func (l *endpointList) add(id string) slotIndex {
	slot := l.newSlot()
	l.slotByID[id] = slot
	entry := &l.entries[slot]
	entry.id, entry.state, entry.snapshotMark = id, listedState(Removed), !l.snapshotMark
	return slot
}

// update changes the entry of an endpoint, which leaves the reserve.
func (l *endpointList) update(slot slotIndex, e Endpoint) {
	l.removeFromReserve(slot)
	l.countActive(slot, -1)
	entry := &l.entries[slot]
	entry.startedAt, entry.state = e.StartedAt, listedState(e.State)
	l.markNamedInSnapshot(slot)
	entry.weight = l.weights.number(weightOr1(e.Weight), entry.weight)
	entry.zone = l.zones.number(e.Zone, entry.zone)
	entry.cell = l.cells.number(e.Cell, entry.cell)
	entry.machineType = l.machineTypes.number(e.MachineType, entry.machineType)
	l.reserve.grow(len(l.zones.values), len(l.cells.values))
	l.countActive(slot, 1)
}

// confirm reports whether a snapshot's entry is the one that is listed, and notes that it was named.
func (l *endpointList) confirm(slot slotIndex, e *Endpoint) bool {
	if !l.hasSameEntry(slot, e) {
		return false
	}
	l.markNamedInSnapshot(slot)
	return true
}

// markNamedInSnapshot notes that the present snapshot names a listed endpoint.
func (l *endpointList) markNamedInSnapshot(slot slotIndex) {
	if entry := &l.entries[slot]; entry.snapshotMark != l.snapshotMark {
		entry.snapshotMark = l.snapshotMark
		l.namedInSnapshot++
	}
}

// hasSameEntry reports whether the entry is the one that is listed.
func (l *endpointList) hasSameEntry(slot slotIndex, e *Endpoint) bool {
	entry := &l.entries[slot]
	return entry.startedAt == e.StartedAt && entry.state == listedState(e.State) &&
		l.machineTypes.values[entry.machineType] == e.MachineType &&
		l.zones.values[entry.zone] == e.Zone && l.cells.values[entry.cell] == e.Cell &&
		l.weight(slot) == weightOr1(e.Weight)
}

// setEntersAt sets the number of subsets for each endpoint from which on this one is in this node's subset,
// see [subsetSizing.entersAt].
func (l *endpointList) setEntersAt(slot slotIndex, subsets float64) {
	l.entries[slot].entersAt = subsets
	if subsets == notRanked {
		return
	}
	if len(l.subsetCandidates) >= l.maxSubsetCandidates {
		l.compactSubsetCandidates()
	}
	l.subsetCandidates = append(l.subsetCandidates, slot)
}

// resetEntersAt sets that number anew for all endpoints.
func (l *endpointList) resetEntersAt(subsets func(id string) float64) {
	l.subsetCandidates = l.subsetCandidates[:0]
	for i := range l.entries {
		if slot := slotIndex(i); !l.isFree(slot) {
			l.setEntersAt(slot, subsets(l.entries[slot].id))
		}
	}
}

// compactSubsetCandidates drops the candidates that are gone or present twice. It lets as many again be added
// before the next time, so that the cost of an addition stays constant on average.
func (l *endpointList) compactSubsetCandidates() {
	slices.Sort(l.subsetCandidates)
	l.subsetCandidates = slices.Compact(l.subsetCandidates)
	l.subsetCandidates = slices.DeleteFunc(l.subsetCandidates,
		func(slot slotIndex) bool { return l.entries[slot].entersAt == notRanked })
	l.maxSubsetCandidates = 2 * max(len(l.subsetCandidates), minSubsetCandidates)
}

func (l *endpointList) newSlot() slotIndex {
	if last := len(l.free) - 1; last >= 0 {
		slot := l.free[last]
		l.free = l.free[:last]
		return slot
	}
	l.entries = append(l.entries, listedEndpoint{})
	return slotIndex(len(l.entries) - 1)
}

// isFree reports whether no endpoint is listed at a slot.
func (l *endpointList) isFree(slot slotIndex) bool {
	return EndpointState(l.entries[slot].state) == Removed
}

// remove takes an endpoint off the list.
func (l *endpointList) remove(slot slotIndex) {
	l.removeFromReserve(slot)
	l.countActive(slot, -1)
	delete(l.slotByID, l.entries[slot].id)
	if l.entries[slot].snapshotMark == l.snapshotMark {
		l.namedInSnapshot--
	}
	l.entries[slot] = listedEndpoint{state: listedState(Removed), entersAt: notRanked}
	l.free = append(l.free, slot)
}

// beginSnapshot begins a snapshot: what it doesn't name until [endpointList.endSnapshot] is no longer listed.
func (l *endpointList) beginSnapshot() {
	l.snapshotMark, l.namedInSnapshot, l.expectedSlot = !l.snapshotMark, 0, 0
}

// endSnapshot removes what the snapshot has not named. After one that named all endpoints, as most do,
// there is nothing to look for.
func (l *endpointList) endSnapshot() {
	if l.namedInSnapshot == l.length() {
		return
	}
	for i := range l.entries {
		slot := slotIndex(i)
		if !l.isFree(slot) && l.entries[slot].snapshotMark != l.snapshotMark {
			l.remove(slot)
		}
	}
}

// stale reports whether most of the list's slots or values are of endpoints long gone.
func (l *endpointList) stale() bool {
	values := len(l.weights.values) + len(l.zones.values) + len(l.cells.values) + len(l.machineTypes.values)
	return max(values, len(l.entries)) > 4*(l.length()+staleSlack)
}

// countActive changes the count of the weight of an endpoint that accepts requests.
func (l *endpointList) countActive(slot slotIndex, change int) {
	if EndpointState(l.entries[slot].state) == Up {
		l.activeWeights.add(l.weight(slot), change)
	}
}

// endpointAt returns an entry in the form in which it was received.
func (l *endpointList) endpointAt(slot slotIndex) Endpoint {
	l.entryReads++
	entry := &l.entries[slot]
	return Endpoint{
		ID:          entry.id,
		State:       EndpointState(entry.state),
		Weight:      l.weight(slot),
		MachineType: l.machineTypes.values[entry.machineType],
		Zone:        l.zones.values[entry.zone],
		Cell:        l.cells.values[entry.cell],
		StartedAt:   entry.startedAt,
	}
}

// weight returns an endpoint's weight, 1 where none is given.
func (l *endpointList) weight(slot slotIndex) float64 {
	return l.weights.values[l.entries[slot].weight]
}
