package balancer

import (
	"slices"
	"time"
)

// slotIndex is the number of a listed server. One that is removed leaves its slot to the next that comes.
type slotIndex int32

// listedEndpoint is an entry of the list. Weight, zone, cell and kind are numbers in the list's tables.
type listedEndpoint struct {
	id            string
	startedAt     time.Duration
	entersAt      float64 // see [Gateway.entersAt]
	weight        int32
	zone          int32
	cell          int32
	machineType   int32
	poolPositions [poolsPerEndpoint]int32 // in each of its pools
	state         listedState
	inReserve     bool
	snapshotMark  bool // that of the list when it was last told
	tracked       bool // more is kept of it, in [Gateway.byID]
}

// listedState is a [ServerState] in a byte.
type listedState int8

// pool is a set of slots from which one can be drawn. Order has no meaning.
type pool []slotIndex

// poolsPerEndpoint is the number of pools that a server is in: of all, of its zone and of its cell.
const poolsPerEndpoint = 3

// valueTable numbers values that many servers share.
type valueTable[T comparable] struct {
	values  []T
	numbers map[T]int32
}

// number returns the number of a value; the number that a server had before is a guess that saves a look-up.
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

// endpointList is the list as it was last told, with the reserve: pools of the servers that may be sent to
// although nothing is known of them but what the list says.
type endpointList struct {
	entries       []listedEndpoint
	free          []slotIndex
	slotByID      map[string]slotIndex
	expectedSlot  slotIndex    // that of the entry behind the one found last
	activeWeights weightCounts // of the servers that take work
	weights       valueTable[float64]
	zones         valueTable[string]
	cells         valueTable[int]
	machineTypes  valueTable[string]
	reserve       pool
	reserveByZone []pool // by the zone's number
	reserveByCell []pool // by the cell's
	warmUps       warmUpQueue
	// of the servers that can enter this gateway's subset; may hold free slots, or one twice
	subsetCandidates    []slotIndex
	maxSubsetCandidates int  // slots in near from which on these are dropped
	snapshotMark        bool // changes with each whole list
	namedInSnapshot     int  // listed servers that the last whole list and changes since have named
	entryReads          int  // entries read out one by one
	lookups             int  // entries that were looked up by their id
}

func newEndpointList(size int) *endpointList {
	return &endpointList{
		entries:  make([]listedEndpoint, 0, size),
		slotByID: make(map[string]slotIndex, size),
	}
}

// find returns the slot of a server. Lists come in one order as a rule: the next entry is looked at first.
func (l *endpointList) find(id string) (at slotIndex, listed bool) {
	at = l.expectedSlot
	if int(at) >= len(l.entries) || l.isFree(at) || l.entries[at].id != id {
		l.lookups++
		if at, listed = l.slotByID[id]; !listed {
			return 0, false
		}
	}
	l.expectedSlot = at + 1
	return at, true
}

// add enters a server of which nothing is told yet.
func (l *endpointList) add(id string) (at slotIndex) {
	at = l.newSlot()
	l.slotByID[id] = at
	l.entries[at].id, l.entries[at].state, l.entries[at].snapshotMark = id, listedState(Removed),
		!l.snapshotMark
	return at
}

// update changes what is told of a server, and takes it out of the reserve.
func (l *endpointList) update(at slotIndex, e Endpoint) {
	l.removeFromReserve(at)
	l.countActive(at, -1)
	s := &l.entries[at]
	s.startedAt, s.state = e.StartedAt, listedState(e.State)
	l.markNamedInSnapshot(at)
	s.weight = l.weights.number(weightOr1(e.Weight), s.weight)
	s.zone = l.zones.number(e.Zone, s.zone)
	s.cell = l.cells.number(e.Cell, s.cell)
	s.machineType = l.machineTypes.number(e.MachineType, s.machineType)
	l.reserveByZone = grown(l.reserveByZone, len(l.zones.values))
	l.reserveByCell = grown(l.reserveByCell, len(l.cells.values))
	l.countActive(at, 1)
}

// confirm notes that a whole list names a server as it is listed already, and tells whether it does.
func (l *endpointList) confirm(at slotIndex, e *Endpoint) bool {
	if !l.hasSameEntry(at, e) {
		return false
	}
	l.markNamedInSnapshot(at)
	return true
}

// markNamedInSnapshot notes that a listed server is named by the list as it is told now.
func (l *endpointList) markNamedInSnapshot(at slotIndex) {
	if s := &l.entries[at]; s.snapshotMark != l.snapshotMark {
		s.snapshotMark = l.snapshotMark
		l.namedInSnapshot++
	}
}

// hasSameEntry tells whether a listed server's entry is the one given.
func (l *endpointList) hasSameEntry(at slotIndex, e *Endpoint) bool {
	s := &l.entries[at]
	return s.startedAt == e.StartedAt && s.state == listedState(e.State) &&
		l.machineTypes.values[s.machineType] == e.MachineType &&
		l.zones.values[s.zone] == e.Zone && l.cells.values[s.cell] == e.Cell &&
		l.weight(at) == weightOr1(e.Weight)
}

// grown returns a slice of at least a length.
func grown[T any](s []T, length int) []T {
	for len(s) < length {
		var none T
		s = append(s, none)
	}
	return s
}

// setEntersAt sets the number of subsets for each server from which on one is in this gateway's, see
// [Gateway.entersAt].
func (l *endpointList) setEntersAt(at slotIndex, subsets float64) {
	l.entries[at].entersAt = subsets
	if subsets == never {
		return
	}
	if len(l.subsetCandidates) >= l.maxSubsetCandidates {
		l.compactSubsetCandidates()
	}
	l.subsetCandidates = append(l.subsetCandidates, at)
}

// resetEntersAt sets that number anew for all servers.
func (l *endpointList) resetEntersAt(subsets func(id string) float64) {
	l.subsetCandidates = l.subsetCandidates[:0]
	for at := range l.entries {
		if !l.isFree(slotIndex(at)) {
			l.setEntersAt(slotIndex(at), subsets(l.entries[at].id))
		}
	}
}

// compactSubsetCandidates drops from near what is gone or stands there twice, and lets as many slots come
// again before the
// next time.
func (l *endpointList) compactSubsetCandidates() {
	slices.Sort(l.subsetCandidates)
	l.subsetCandidates = slices.Compact(l.subsetCandidates)
	l.subsetCandidates = slices.DeleteFunc(l.subsetCandidates,
		func(at slotIndex) bool { return l.entries[at].entersAt == never })
	l.maxSubsetCandidates = 2 * max(len(l.subsetCandidates), minSubsetCandidates)
}

// minSubsetCandidates is half of the slots that near has room for, however few servers can enter the subset.
const minSubsetCandidates = 64

func (l *endpointList) newSlot() slotIndex {
	if last := len(l.free) - 1; last >= 0 {
		at := l.free[last]
		l.free = l.free[:last]
		return at
	}
	l.entries = append(l.entries, listedEndpoint{})
	return slotIndex(len(l.entries) - 1)
}

// isFree tells whether no server is listed at a slot.
func (l *endpointList) isFree(at slotIndex) bool {
	return EndpointState(l.entries[at].state) == Removed
}

// remove takes a server off the list.
func (l *endpointList) remove(at slotIndex) {
	l.removeFromReserve(at)
	l.countActive(at, -1)
	delete(l.slotByID, l.entries[at].id)
	if l.entries[at].snapshotMark == l.snapshotMark {
		l.namedInSnapshot--
	}
	l.entries[at] = listedEndpoint{state: listedState(Removed), entersAt: never}
	l.free = append(l.free, at)
}

// beginSnapshot starts a whole list: what is not put until end is no longer listed.
func (l *endpointList) beginSnapshot() {
	l.snapshotMark, l.namedInSnapshot, l.expectedSlot = !l.snapshotMark, 0, 0
}

// endSnapshot removes what a whole list has not named. A list that names all servers as before leaves nothing
// to look
// for.
func (l *endpointList) endSnapshot() {
	if l.namedInSnapshot == len(l.slotByID) {
		return
	}
	for at := range l.entries {
		if !l.isFree(slotIndex(at)) && l.entries[at].snapshotMark != l.snapshotMark {
			l.remove(slotIndex(at))
		}
	}
}

// stale tells whether most of what the list holds room for is of servers long gone.
func (l *endpointList) stale() bool {
	values := len(l.weights.values) + len(l.zones.values) + len(l.cells.values) + len(l.machineTypes.values)
	return max(values, len(l.entries)) > 4*(len(l.slotByID)+staleSlack)
}

// staleSlack is what a list may hold for servers long gone, however short it is.
const staleSlack = 1024

// countActive keeps the number and the weights of the servers that take work.
func (l *endpointList) countActive(at slotIndex, by int) {
	if EndpointState(l.entries[at].state) == Up {
		l.activeWeights.add(l.weight(at), by)
	}
}

// endpointAt returns the entry in the form in which it was told.
func (l *endpointList) endpointAt(at slotIndex) Endpoint {
	l.entryReads++
	s := &l.entries[at]
	return Endpoint{ID: s.id, State: EndpointState(s.state), Weight: l.weight(at),
		MachineType: l.machineTypes.values[s.machineType],
		Zone:        l.zones.values[s.zone], Cell: l.cells.values[s.cell], StartedAt: s.startedAt}
}

// weight returns a server's weight, 1 where none was told.
func (l *endpointList) weight(at slotIndex) float64 {
	return l.weights.values[l.entries[at].weight]
}

func weightOr1(weight float64) float64 {
	if weight > 0 {
		return weight
	}
	return 1
}
