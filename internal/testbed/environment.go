package testbed

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds on what a run waits for. None is a verdict on a healthy machine.
const (
	readyWithin = 60 * time.Second // a node is ready, also on a busy machine
	stopWithin  = 15 * time.Second // a node ends after SIGTERM; then it is killed
	oldAgentFor = 1500 * time.Millisecond
	listsWithin = 10 * time.Second // all nodes are told of the last changes
	lagTick     = 10 * time.Millisecond
)

// environment is one run: everything that plays in it and the clock.
type environment struct {
	scenario      *Scenario
	schedule      *Schedule
	seed          uint64
	dir           string
	nodeBinary    string
	serviceBinary string // of the operators' command
	nodeEnv       []string
	log           *slog.Logger

	origin time.Time     // of the monotonic clock
	begun  atomic.Int64  // nanoseconds from the origin to the start of the schedule, once it has begun
	over   chan struct{} // closed when the run ends
	cancel context.CancelCauseFunc
	ctx    context.Context
	work   sync.WaitGroup

	checker   *checker
	list      *list
	udp       *udpRelay
	starter   *starter
	addresses *addressBlock
	servers   []*appServer
	nodes     []*edgeNode
	relays    map[route]*tcpRelay // from one party to another; empty where links are direct
	generator *loadGenerator

	ids *lockedRand

	connections, listCalls, overloadFailures atomic.Int64
	crashes                                  atomic.Int64
	commandedFaults                          []FaultMark // faults by command; under lagMu
	memory                                   []float64   // by the second: the largest of a node, in MB; under lagMu
	lagMu                                    sync.Mutex
	lag                                      time.Duration // longest that the testbed itself stood still, of late
	withheld                                 time.Duration // the most that slack has been
}

// lockedRand draws numbers for many goroutines. What it draws is not part of the schedule.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (l *lockedRand) Uint32() uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Uint32()
}

func (l *lockedRand) Uint64() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Uint64()
}

func newEnvironment(ctx context.Context, s *Scenario, o Options) *environment {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &environment{
		scenario: s, schedule: Draw(s, o.Seed), seed: o.Seed, dir: o.Dir, nodeBinary: o.Binary, serviceBinary: o.Service, nodeEnv: o.Env, log: o.Log, origin: time.Now(), over: make(chan struct{}),
		ctx: ctx, cancel: cancel, relays: map[route]*tcpRelay{},
		ids: &lockedRand{rng: random(o.Seed, streamServers)},
	}
	w.list = newList(w)
	w.checker = newChecker(s, w.schedule)
	w.checker.slack = w.slack
	return w
}

// now is the time since the start of the schedule.
func (env *environment) now() time.Duration {
	return time.Since(env.origin) - time.Duration(env.begun.Load())
}

// wall is the clock's reading at a time of the run.
func (env *environment) wall(at time.Duration) time.Time {
	return env.origin.Add(time.Duration(env.begun.Load()) + at)
}

// fail ends the run: the testbed itself can't go on.
func (env *environment) fail(err error) { env.cancel(err) }

// sleep waits; it is false where the run ends first.
func (env *environment) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-env.over:
		return false
	}
}

// spawn runs f beside the run, which waits for its end.
func (env *environment) spawn(f func()) { env.work.Go(f) }

// after runs f later, unless the run ends first.
func (env *environment) after(d time.Duration, f func()) {
	if d <= 0 {
		f()
		return
	}
	time.AfterFunc(d, func() {
		select {
		case <-env.over:
		default:
			f()
		}
	})
}

// build opens everything that the nodes will meet.
func (env *environment) build() (err error) {
	if env.addresses, err = claimAddressBlock(); err != nil {
		return err
	}
	if env.udp, err = startUDPRelay(env, env.addresses.addr(4, 0)); err != nil {
		return err
	}
	env.starter = newStarter()
	if err := env.buildServers(); err != nil {
		return err
	}
	if env.scenario.relayed() {
		if err := env.buildServerRelays(); err != nil {
			return err
		}
	}
	var addrs []string
	for i := range env.scenario.Fleet.Nodes {
		n, err := env.buildNode(i)
		if err != nil {
			return err
		}
		addrs = append(addrs, n.clients)
	}
	env.generator = newLoadGenerator(env, addrs)
	env.list.atStart, _ = env.list.since(0, true)
	return nil
}

// buildServers opens the app servers, and before them the list service if one is to hold their list.
func (env *environment) buildServers() (err error) {
	f := &env.scenario.Fleet
	if f.ListReplicas > 0 {
		if env.list.service, err = startListService(env, env.serviceBinary); err != nil {
			return err
		}
	}
	for i := range f.Servers {
		s, err := startServer(env, i, env.addresses.hostPort(2, i))
		if err != nil {
			return err
		}
		env.servers = append(env.servers, s)
		env.list.publish(s.entry())
	}
	if env.list.service != nil && !env.list.service.awaitWritten() {
		return errors.New("the list service does not take the first app servers")
	}
	return nil
}

// buildServerRelays opens a relay between each node and each app server.
func (env *environment) buildServerRelays() error {
	f := &env.scenario.Fleet
	for n := range f.Nodes {
		for i, s := range env.servers {
			node, server := nodeParty(n), serverParty(i)
			if err := env.startRelay(node, server, env.addresses.addr(5+n/250, n%250), s.addr); err != nil {
				return err
			}
			if f.CrossDelay > 0 && f.zoneOf(n) != f.zoneOf(i) {
				r := env.relays[route{node, server}]
				r.out.Delay, r.back.Delay = time.Duration(f.CrossDelay), time.Duration(f.CrossDelay)
			}
		}
	}
	return nil
}

// buildNode opens what stands around one node: its agent, and its links to that and to the clients.
func (env *environment) buildNode(number int) (n *edgeNode, err error) {
	n = &edgeNode{
		number: number, name: fmt.Sprintf("n%d", number), listen: env.addresses.hostPort(1, number), peer: env.addresses.peerPort(1, number),
	}
	if n.agent, err = startAgent(env.list, number, env.addresses.addr(3, number%250)+":0"); err != nil {
		return nil, err
	}
	env.nodes = append(env.nodes, n)
	n.clients, n.discovery = n.listen, n.agent.addr
	if !env.scenario.relayed() {
		return n, nil
	}
	clients, node, agent := allClients, nodeParty(number), party{partyAgent, number}
	if err := errors.Join(
		env.startRelay(clients, node, env.addresses.addr(8, number), n.listen),
		env.startRelay(node, agent, env.addresses.addr(9, number), n.agent.addr),
	); err != nil {
		return nil, err
	}
	n.clients, n.discovery = env.relays[route{clients, node}].addr, env.relays[route{node, agent}].addr
	return n, nil
}

// startRelay puts a relay between two parties.
func (env *environment) startRelay(from, to party, addr, target string) error {
	r, err := startTCPRelay(env, env.seed, addr+":0", target, len(env.relays))
	if err != nil {
		return err
	}
	env.relays[route{from, to}] = r
	return nil
}

// relayed tells whether the links between nodes and servers go through relays.
func (s *Scenario) relayed() bool {
	for _, ft := range s.Faults {
		if faultKinds[ft.Kind].relays {
			return true
		}
	}
	return s.Fleet.CrossDelay > 0
}

// descriptors is about how many a run needs in the testbed's process: listeners, a connection for
// each request that is open when answers take as long as they are wanted within, and what
// nodes keep to servers.
func (s *Scenario) descriptors() int {
	f := &s.Fleet
	most := 1.0
	for _, b := range s.Load.Bursts {
		most = max(most, b.Times)
	}
	n := 200 + f.Nodes*4 + f.Servers*2 + int(2*most*s.Load.Rate*s.Load.LatencyObjective.s()) + f.Nodes*min(f.Servers, 60)
	if s.relayed() {
		n += f.Nodes*f.Servers + 2*f.Nodes*min(f.Servers, 60)
	}
	return n
}

// addressedFor gives a message of the list the addresses at which the node reaches the servers.
func (env *environment) addressedFor(node int, m listMessage) listMessage {
	if len(env.relays) == 0 {
		return m
	}
	list := append([]Entry(nil), m.Instances...)
	for i := range list {
		list[i].HostPort = env.relays[route{nodeParty(node), serverParty(list[i].number)}].addr
	}
	m.Instances = list
	return m
}

// recordDelivered books what a node was told.
func (env *environment) recordDelivered(node int, m listMessage) {
	env.recordDeliveredAt(node, m, env.now())
}

// recordDeliveredAt books what counts as told to a node from a time on.
func (env *environment) recordDeliveredAt(node int, m listMessage, now time.Duration) {
	listed := map[string]bool{}
	for _, e := range m.Instances {
		listed[e.InstanceID] = true
		env.checker.entryDelivered(node, e.InstanceID, e.Lifecycle, now, e.StartedAtMs > 0)
	}
	if m.Reset {
		env.checker.snapshotDelivered(node, listed, now)
	}
}

// end stops everything: the run's processes first, then its sockets. It returns when nothing
// of the run is left.
func (env *environment) end() {
	select {
	case <-env.over:
		return
	default:
	}
	close(env.over)
	var stops sync.WaitGroup
	for _, n := range env.nodes {
		if p := n.process(); p != nil {
			stops.Go(func() { p.stop(stopWithin) })
		}
	}
	if env.generator != nil {
		env.generator.close()
	}
	stops.Wait()
	env.list.close()
	for _, s := range env.servers {
		s.close()
	}
	for _, r := range env.relays {
		r.close()
	}
	if env.udp != nil {
		env.udp.close()
	}
	if env.list.service != nil {
		env.list.service.stop()
	}
	env.work.Wait()
	if env.starter != nil {
		env.starter.stop()
	}
	if env.addresses != nil {
		env.addresses.release()
	}
	env.cancel(nil)
}
