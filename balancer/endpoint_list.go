package balancer

import (
	"slices"
	"time"
)

// slotIndex is the index of a listed endpoint in [endpointList.entries]. The slot of a removed endpoint is
// reused for the next one added.
type slotIndex int32

// listedEndpoint is an entry of the list. Weight, zone, cell and machine type are indexes into the list's
// intern tables.
type listedEndpoint struct {
	id                  string
	startedAt           time.Duration
	membershipThreshold float64 // see [subsetSizing.membershipThreshold]
	weight              int32
	zone                int32
	cell                int32
	machineType         int32
	poolPositions       [poolsPerEndpoint]int32 // position in each of its pools of the reserve
	state               listedState
	inReserve           bool
	snapshotMark        bool // equals [endpointList.snapshotMark] if in the last snapshot or updated since
	tracked             bool // contained in [endpointSet.trackedByID]
}

// listedState is an [EndpointState] stored in one byte. A free slot has the state [Removed].
type listedState int8

// internTable interns values that many endpoints share: it assigns an index to each distinct value.
type internTable[T comparable] struct {
	values  []T
	indexes map[T]int32 // index of each value in values
}

// intern returns the index of a value, and adds the value if it is new. The hint is the index of the
// endpoint's previous value: if the value is the same, the map lookup is skipped.
func (t *internTable[T]) intern(value T, hint int32) int32 {
	if int(hint) < len(t.values) && t.values[hint] == value {
		return hint
	}
	index, known := t.indexes[value]
	if !known {
		if t.indexes == nil {
			t.indexes = map[T]int32{}
		}
		index = int32(len(t.values))
		t.indexes[value] = index
		t.values = append(t.values, value)
	}
	return index
}

// endpointList is the endpoint list as last received. It is stored compactly, because this node never sends
// requests to most of the endpoints.
type endpointList struct {
	entries       []listedEndpoint
	free          []slotIndex
	slotByID      map[string]slotIndex
	expectedSlot  slotIndex    // slot after the one that find returned last
	activeWeights weightCounts // weights of the endpoints that accept requests
	weights       internTable[float64]
	zones         internTable[string]
	cells         internTable[int]
	machineTypes  internTable[string]
	reserve       reserve

	// subsetCandidates contains the slots of all endpoints that can be in this node's subset. It may also
	// contain free slots and duplicates, which are removed when it reaches maxSubsetCandidates.
	subsetCandidates    []slotIndex
	maxSubsetCandidates int

	snapshotMark     bool // flipped by each snapshot
	markedInSnapshot int  // number of listed endpoints whose mark equals snapshotMark
	entryReads       int  // number of calls of endpointAt; read by tests
	lookups          int  // number of map lookups in find; read by tests
}

const (
	// oversizeAllowance is added to the number of listed endpoints before the list counts as oversized, so
	// that short lists are not rebuilt repeatedly.
	oversizeAllowance = 1024
	// minSubsetCandidates is half the minimum number of candidates at which they are compacted.
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

// slotOf returns the slot of an endpoint, if it is listed.
func (l *endpointList) slotOf(id string) (slot slotIndex, listed bool) {
	slot, listed = l.slotByID[id]
	return slot, listed
}

// isTracked reports whether this node tracks a listed endpoint.
func (l *endpointList) isTracked(slot slotIndex) bool { return l.entries[slot].tracked }

// setTracked sets whether this node tracks a listed endpoint.
func (l *endpointList) setTracked(slot slotIndex, tracked bool) { l.entries[slot].tracked = tracked }

// idOf returns the id of a listed endpoint.
func (l *endpointList) idOf(slot slotIndex) string { return l.entries[slot].id }

// membershipThreshold returns the smallest number of subsets per endpoint at which the endpoint belongs to
// this node's subset.
func (l *endpointList) membershipThreshold(slot slotIndex) float64 {
	return l.entries[slot].membershipThreshold
}

// find returns the slot of an endpoint, if it is listed. Snapshots mostly keep their order, so the slot
// after the previous result is tried before the map.
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

// add assigns a slot to a new endpoint. The caller then fills the entry with [endpointList.update].
func (l *endpointList) add(id string) slotIndex {
	slot := l.newSlot()
	l.slotByID[id] = slot
	entry := &l.entries[slot]
	entry.id, entry.state, entry.snapshotMark = id, listedState(Removed), !l.snapshotMark
	return slot
}

// update replaces the entry of an endpoint and removes the endpoint from the reserve. The caller restores
// its membership with [endpointList.updateReserve].
func (l *endpointList) update(slot slotIndex, e Endpoint) {
	l.removeFromReserve(slot)
	l.countActive(slot, -1)
	entry := &l.entries[slot]
	entry.startedAt, entry.state = e.StartedAt, listedState(e.State)
	l.markInSnapshot(slot)
	entry.weight = l.weights.intern(weightOr1(e.Weight), entry.weight)
	entry.zone = l.zones.intern(e.Zone, entry.zone)
	entry.cell = l.cells.intern(e.Cell, entry.cell)
	entry.machineType = l.machineTypes.intern(e.MachineType, entry.machineType)
	l.reserve.grow(len(l.zones.values), len(l.cells.values))
	l.countActive(slot, 1)
}

// confirmUnchanged reports whether a received entry equals the listed one. If so, it marks the endpoint as
// part of the last snapshot.
func (l *endpointList) confirmUnchanged(slot slotIndex, e *Endpoint) bool {
	if !l.hasSameEntry(slot, e) {
		return false
	}
	l.markInSnapshot(slot)
	return true
}

// markInSnapshot marks a listed endpoint as part of the last snapshot or as updated since.
func (l *endpointList) markInSnapshot(slot slotIndex) {
	if entry := &l.entries[slot]; entry.snapshotMark != l.snapshotMark {
		entry.snapshotMark = l.snapshotMark
		l.markedInSnapshot++
	}
}

// hasSameEntry reports whether a received entry equals the listed one.
func (l *endpointList) hasSameEntry(slot slotIndex, e *Endpoint) bool {
	entry := &l.entries[slot]
	return entry.startedAt == e.StartedAt && entry.state == listedState(e.State) &&
		l.machineTypes.values[entry.machineType] == e.MachineType &&
		l.zones.values[entry.zone] == e.Zone && l.cells.values[entry.cell] == e.Cell &&
		l.weight(slot) == weightOr1(e.Weight)
}

// setMembershipThreshold sets the membership threshold of an endpoint, see
// [subsetSizing.membershipThreshold]. An endpoint with a finite threshold becomes a subset candidate.
func (l *endpointList) setMembershipThreshold(slot slotIndex, threshold float64) {
	l.entries[slot].membershipThreshold = threshold
	if threshold == notRanked {
		return
	}
	if len(l.subsetCandidates) >= l.maxSubsetCandidates {
		l.compactSubsetCandidates()
	}
	l.subsetCandidates = append(l.subsetCandidates, slot)
}

// recomputeMembershipThresholds recomputes the membership thresholds of all listed endpoints and the subset
// candidates.
func (l *endpointList) recomputeMembershipThresholds(thresholdOf func(id string) float64) {
	l.subsetCandidates = l.subsetCandidates[:0]
	for i := range l.entries {
		if slot := slotIndex(i); !l.isFree(slot) {
			l.setMembershipThreshold(slot, thresholdOf(l.entries[slot].id))
		}
	}
}

// compactSubsetCandidates removes duplicates and slots that no longer hold a candidate. The next compaction
// happens at twice the remaining number, so that an addition takes amortized constant time.
func (l *endpointList) compactSubsetCandidates() {
	slices.Sort(l.subsetCandidates)
	l.subsetCandidates = slices.Compact(l.subsetCandidates)
	l.subsetCandidates = slices.DeleteFunc(l.subsetCandidates,
		func(slot slotIndex) bool { return l.entries[slot].membershipThreshold == notRanked })
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

// isFree reports whether a slot holds no endpoint.
func (l *endpointList) isFree(slot slotIndex) bool {
	return EndpointState(l.entries[slot].state) == Removed
}

// remove removes an endpoint from the list and frees its slot.
func (l *endpointList) remove(slot slotIndex) {
	l.removeFromReserve(slot)
	l.countActive(slot, -1)
	delete(l.slotByID, l.entries[slot].id)
	if l.entries[slot].snapshotMark == l.snapshotMark {
		l.markedInSnapshot--
	}
	l.entries[slot] = listedEndpoint{state: listedState(Removed), membershipThreshold: notRanked}
	l.free = append(l.free, slot)
}

// beginSnapshot starts a snapshot. Endpoints that are not marked by the time of [endpointList.endSnapshot]
// are removed then.
func (l *endpointList) beginSnapshot() {
	l.snapshotMark, l.markedInSnapshot, l.expectedSlot = !l.snapshotMark, 0, 0
}

// endSnapshot removes the endpoints that the snapshot does not contain. It scans the entries only if some
// endpoint is missing, which is rare.
func (l *endpointList) endSnapshot() {
	if l.markedInSnapshot == l.length() {
		return
	}
	for i := range l.entries {
		slot := slotIndex(i)
		if !l.isFree(slot) && l.entries[slot].snapshotMark != l.snapshotMark {
			l.remove(slot)
		}
	}
}

// oversized reports whether most of the slots or of the interned values belong to removed endpoints.
// Interned values are never released, so only a new list frees them.
func (l *endpointList) oversized() bool {
	values := len(l.weights.values) + len(l.zones.values) + len(l.cells.values) + len(l.machineTypes.values)
	return max(values, len(l.entries)) > 4*(l.length()+oversizeAllowance)
}

// countActive changes the count of the endpoint's weight in activeWeights, if the endpoint accepts requests.
func (l *endpointList) countActive(slot slotIndex, change int) {
	if EndpointState(l.entries[slot].state) == Up {
		l.activeWeights.add(l.weight(slot), change)
	}
}

// endpointAt returns the entry of a slot as an [Endpoint]. An unknown weight is returned as 1.
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

// weight returns the weight of a listed endpoint, 1 if the list gives none.
func (l *endpointList) weight(slot slotIndex) float64 {
	return l.weights.values[l.entries[slot].weight]
}
