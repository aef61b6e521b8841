package balancer

import (
	"container/heap"
	"math"
	"slices"
	"time"
)

// What the list says of all servers, in few bytes each. Only the servers of the subset, and those that are
// sent to meanwhile, have a [server] with all that is learned of them (subset.go).

// slot is the number of a listed server. One that is removed leaves its slot to the next that comes.
type slot int32

// listedServer is an entry of the list. Weight, zone, cell and kind are numbers in the list's tables.
type listedServer struct {
	id        string
	boot      time.Duration
	entersAt  float64 // see [Gateway.entersAt]
	weight    int32
	zone      int32
	cell      int32
	kind      int32
	positions [poolsOfServer]int32 // in each of its pools
	state     listedState
	pooled    bool
	round     bool // that of the list when it was last told
	known     bool // more is kept of it, in [Gateway.byID]
}

// listedState is a [ServerState] in a byte.
type listedState int8

// pool is a set of slots from which one can be drawn. Order has no meaning.
type pool []slot

// poolsOfServer is the number of pools that a server is in: of all, of its zone and of its cell.
const poolsOfServer = 3

// table numbers values that many servers share.
type table[T comparable] struct {
	values  []T
	numbers map[T]int32
}

// number returns the number of a value; the number that a server had before is a guess that saves a look-up.
func (t *table[T]) number(value T, guess int32) int32 {
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

// serverList is the list as it was last told, with the reserve: pools of the servers that may be sent to
// although nothing is known of them but what the list says.
type serverList struct {
	servers []listedServer
	free    []slot
	slots   map[string]slot
	next    slot         // that of the entry behind the one found last
	up      weightCounts // of the servers that take work
	weights table[float64]
	zones   table[string]
	cells   table[int]
	kinds   table[string]
	all     pool
	byZone  []pool // by the zone's number
	byCell  []pool // by the cell's
	warming warmQueue
	near    []slot // of the servers that can enter this gateway's subset; may hold free slots, or one twice
	nearFor int    // slots in near from which on these are dropped
	round   bool   // changes with each whole list
	named   int    // listed servers that the last whole list and changes since have named
	reads   int    // entries read out one by one
	lookups int    // entries that were looked up by their id
}

func newServerList(size int) *serverList {
	return &serverList{
		servers: make([]listedServer, 0, size),
		slots:   make(map[string]slot, size),
	}
}

// find returns the slot of a server. Lists come in one order as a rule: the next entry is looked at first.
func (l *serverList) find(id string) (at slot, listed bool) {
	at = l.next
	if int(at) >= len(l.servers) || l.isFree(at) || l.servers[at].id != id {
		l.lookups++
		if at, listed = l.slots[id]; !listed {
			return 0, false
		}
	}
	l.next = at + 1
	return at, true
}

// add enters a server of which nothing is told yet.
func (l *serverList) add(id string) (at slot) {
	at = l.newSlot()
	l.slots[id] = at
	l.servers[at].id, l.servers[at].state, l.servers[at].round = id, listedState(Removed), !l.round
	return at
}

// put changes what is told of a server, and takes it out of the reserve.
func (l *serverList) put(at slot, e Server) {
	l.takeOut(at)
	l.countUp(at, -1)
	s := &l.servers[at]
	s.boot, s.state = e.Boot, listedState(e.State)
	l.markNamed(at)
	s.weight = l.weights.number(weightOr1(e.Weight), s.weight)
	s.zone = l.zones.number(e.Zone, s.zone)
	s.cell = l.cells.number(e.Cell, s.cell)
	s.kind = l.kinds.number(e.Kind, s.kind)
	l.byZone = grown(l.byZone, len(l.zones.values))
	l.byCell = grown(l.byCell, len(l.cells.values))
	l.countUp(at, 1)
}

// confirm notes that a whole list names a server as it is listed already, and tells whether it does.
func (l *serverList) confirm(at slot, e *Server) bool {
	if !l.holds(at, e) {
		return false
	}
	l.markNamed(at)
	return true
}

// markNamed notes that a listed server is named by the list as it is told now.
func (l *serverList) markNamed(at slot) {
	if s := &l.servers[at]; s.round != l.round {
		s.round = l.round
		l.named++
	}
}

// holds tells whether a listed server's entry is the one given.
func (l *serverList) holds(at slot, e *Server) bool {
	s := &l.servers[at]
	return s.boot == e.Boot && s.state == listedState(e.State) && l.kinds.values[s.kind] == e.Kind &&
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
func (l *serverList) setEntersAt(at slot, subsets float64) {
	l.servers[at].entersAt = subsets
	if subsets == never {
		return
	}
	if len(l.near) >= l.nearFor {
		l.cleanNear()
	}
	l.near = append(l.near, at)
}

// resetEntersAt sets that number anew for all servers.
func (l *serverList) resetEntersAt(subsets func(id string) float64) {
	l.near = l.near[:0]
	for at := range l.servers {
		if !l.isFree(slot(at)) {
			l.setEntersAt(slot(at), subsets(l.servers[at].id))
		}
	}
}

// cleanNear drops from near what is gone or stands there twice, and lets as many slots come again before the
// next time.
func (l *serverList) cleanNear() {
	slices.Sort(l.near)
	l.near = slices.Compact(l.near)
	l.near = slices.DeleteFunc(l.near, func(at slot) bool { return l.servers[at].entersAt == never })
	l.nearFor = 2 * max(len(l.near), nearRoom)
}

// nearRoom is half of the slots that near has room for, however few servers can enter the subset.
const nearRoom = 64

func (l *serverList) newSlot() slot {
	if last := len(l.free) - 1; last >= 0 {
		at := l.free[last]
		l.free = l.free[:last]
		return at
	}
	l.servers = append(l.servers, listedServer{})
	return slot(len(l.servers) - 1)
}

// isFree tells whether no server is listed at a slot.
func (l *serverList) isFree(at slot) bool { return ServerState(l.servers[at].state) == Removed }

// remove takes a server off the list.
func (l *serverList) remove(at slot) {
	l.takeOut(at)
	l.countUp(at, -1)
	delete(l.slots, l.servers[at].id)
	if l.servers[at].round == l.round {
		l.named--
	}
	l.servers[at] = listedServer{state: listedState(Removed), entersAt: never}
	l.free = append(l.free, at)
}

// begin starts a whole list: what is not put until end is no longer listed.
func (l *serverList) begin() { l.round, l.named, l.next = !l.round, 0, 0 }

// end removes what a whole list has not named. A list that names all servers as before leaves nothing to look
// for.
func (l *serverList) end() {
	if l.named == len(l.slots) {
		return
	}
	for at := range l.servers {
		if !l.isFree(slot(at)) && l.servers[at].round != l.round {
			l.remove(slot(at))
		}
	}
}

// stale tells whether most of what the list holds room for is of servers long gone.
func (l *serverList) stale() bool {
	values := len(l.weights.values) + len(l.zones.values) + len(l.cells.values) + len(l.kinds.values)
	return max(values, len(l.servers)) > 4*(len(l.slots)+staleRoom)
}

// staleRoom is what a list may hold for servers long gone, however short it is.
const staleRoom = 1024

// countUp keeps the number and the weights of the servers that take work.
func (l *serverList) countUp(at slot, by int) {
	if ServerState(l.servers[at].state) == Up {
		l.up.add(l.weight(at), by)
	}
}

// server returns the entry in the form in which it was told.
func (l *serverList) server(at slot) Server {
	l.reads++
	s := &l.servers[at]
	return Server{ID: s.id, State: ServerState(s.state), Weight: l.weight(at), Kind: l.kinds.values[s.kind],
		Zone: l.zones.values[s.zone], Cell: l.cells.values[s.cell], Boot: s.boot}
}

// weight returns a server's weight, 1 where none was told.
func (l *serverList) weight(at slot) float64 {
	return l.weights.values[l.servers[at].weight]
}

// pools returns the pools that a server belongs to.
func (l *serverList) pools(at slot) [poolsOfServer]*pool {
	s := &l.servers[at]
	return [poolsOfServer]*pool{&l.all, &l.byZone[s.zone], &l.byCell[s.cell]}
}

// putIn enters a server into the reserve.
func (l *serverList) putIn(at slot) {
	s := &l.servers[at]
	if s.pooled {
		return
	}
	for n, p := range l.pools(at) {
		s.positions[n] = int32(len(*p))
		*p = append(*p, at)
	}
	s.pooled = true
}

// takeOut takes a server out of the reserve.
func (l *serverList) takeOut(at slot) {
	s := &l.servers[at]
	if !s.pooled {
		return
	}
	for n, p := range l.pools(at) {
		end := len(*p) - 1
		last := (*p)[end]
		(*p)[s.positions[n]] = last
		l.servers[last].positions[n] = s.positions[n]
		*p = (*p)[:end]
	}
	s.pooled = false
}

// inZone returns the reserve in a zone.
func (l *serverList) inZone(name string) pool {
	if number, known := l.zones.numbers[name]; known {
		return l.byZone[number]
	}
	return nil
}

// inCell returns the reserve in a cell.
func (l *serverList) inCell(cell int) pool {
	if number, known := l.cells.numbers[cell]; known {
		return l.byCell[number]
	}
	return nil
}

// warmAt is when a server that has started is warm.
type warmAt struct {
	at     time.Duration
	server slot
}

// warmQueue orders cold servers by when they are warm. A slot may stand in it more than once, or have gone.
type warmQueue []warmAt

func (q warmQueue) Len() int           { return len(q) }
func (q warmQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q warmQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *warmQueue) Push(x any)        { *q = append(*q, x.(warmAt)) }

func (q *warmQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// queueWarm notes when a server will be warm.
func (l *serverList) queueWarm(at slot, when time.Duration) {
	heap.Push(&l.warming, warmAt{when, at})
}

// nextWarm returns a slot whose server may be warm by now; ok is false where there is none.
func (l *serverList) nextWarm(now time.Duration) (at slot, ok bool) {
	if len(l.warming) == 0 || l.warming[0].at > now {
		return 0, false
	}
	return heap.Pop(&l.warming).(warmAt).server, true
}

// Rendezvous hashing: each server ranks all gateways by a hash of both.

// rank is the place of a gateway in a server's order, as a number; the lowest is first. No two are the same.
func rank(key uint64, node int) uint64 {
	x := (key + uint64(node+1)*0x9e3779b97f4a7c15) * 0xd6e8feb86659fd93
	return (x ^ x>>32) * 0xd6e8feb86659fd93
}

// position counts the gateways before one in a server's order, up to a most. It looks at all only where few
// are:
// of n gateways at some most x (1 + ln(n / most)), on average.
func position(key uint64, node, nodes, most int) (before int) {
	mine := rank(key, node)
	for other := 0; other < nodes && before < most; other++ {
		if rank(key, other) < mine {
			before++
		}
	}
	return before
}

// lastRank returns the rank of the last of the first gateways in a server's order.
func lastRank(key uint64, nodes, first int) uint64 {
	if first >= nodes {
		return math.MaxUint64
	}
	lowest := make([]uint64, 0, first+1)
	for node := range nodes {
		mine := rank(key, node)
		if len(lowest) == first && mine >= lowest[first-1] {
			continue
		}
		at, _ := slices.BinarySearch(lowest, mine)
		lowest = slices.Insert(lowest, at, mine)
		lowest = lowest[:min(len(lowest), first)]
	}
	return lowest[first-1]
}

// fraction is a number of a server's own from 0 to below 1.
func fraction(key uint64) float64 {
	return float64(rank(key, -1)>>11) / (1 << 53)
}

func weightOr1(weight float64) float64 {
	if weight > 0 {
		return weight
	}
	return 1
}

// never is the number of nodes from which a server that is not among the nearest enters a subset.
var never = math.Inf(1)
