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

// Timeouts and intervals of a run. The timeouts are long enough for a busy machine. On a healthy machine they
// do not affect the result.
const (
	readyTimeout        = 60 * time.Second        // time limit for a node to become ready
	stopTimeout         = 15 * time.Second        // time limit for a process to end before it is killed
	oldAgentCloseDelay  = 1500 * time.Millisecond // time from a node's move to the close of its old agent
	listDeliveryTimeout = 10 * time.Second        // time limit for all nodes to receive the final list
	lagInterval         = 10 * time.Millisecond   // interval of the measurements of the testbed's own lag
)

// environment is the state of one run: its clock, the emulated parties and the edge nodes.
type environment struct {
	scenario      *Scenario
	schedule      *Schedule
	seed          uint64
	dir           string
	nodeBinary    string
	serviceBinary string   // path of the opalhook binary, which runs the list service and its agents
	nodeEnv       []string // added to the nodes' environment
	log           *slog.Logger

	origin      time.Time               // creation of the environment, with a monotonic clock reading
	startOffset atomic.Int64            // nanoseconds from origin to the start of the run; 0: not started
	done        chan struct{}           // closed when the run ends
	cancel      context.CancelCauseFunc // cancels ctx; the cause is an error of the testbed
	ctx         context.Context
	goroutines  sync.WaitGroup // the run's goroutines

	checker   *checker
	list      *list
	udp       *udpRelay
	starter   *starter
	addresses *addressBlock
	servers   []*appServer
	nodes     []*edgeNode
	relays    map[route]*tcpRelay // by source and destination; empty if links are direct
	generator *loadGenerator

	ids *lockedRand // source of instance ids and of the nodes' seeds

	// Counters of connections to app servers, calls of discovery, and app servers overloaded to failure.
	connections, listCalls, overloadFailures atomic.Int64
	crashes                                  atomic.Int64  // edge node processes that crashed
	commandedFaults                          []FaultMark   // faults injected by command
	peakMemoryMB                             []float64     // peak resident memory of a node by second, in MB
	resultMu                                 sync.Mutex    // guards the two fields above and the two below
	lag                                      time.Duration // longest recent pause of the testbed itself
	maxSlack                                 time.Duration // largest slack of the run so far
}

// lockedRand is a random source that is safe for concurrent use. Its numbers are not part of the schedule.
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
	env := &environment{
		scenario: s, schedule: Draw(s, o.Seed), seed: o.Seed, dir: o.Dir, nodeBinary: o.Binary, serviceBinary: o.Service, nodeEnv: o.Env, log: o.Log, origin: time.Now(), done: make(chan struct{}),
		ctx: ctx, cancel: cancel, relays: map[route]*tcpRelay{},
		ids: &lockedRand{rng: random(o.Seed, streamServers)},
	}
	env.list = newList(env)
	env.checker = newChecker(s, env.schedule)
	env.checker.slack = env.slack
	return env
}

// now returns the time since the start of the run. Before startClock, it returns the time since the creation
// of the environment.
func (env *environment) now() time.Duration {
	return time.Since(env.origin) - time.Duration(env.startOffset.Load())
}

// wallTime converts a time of the run to a [time.Time].
func (env *environment) wallTime(at time.Duration) time.Time {
	return env.origin.Add(time.Duration(env.startOffset.Load()) + at)
}

// fail aborts the run because of an error of the testbed itself.
func (env *environment) fail(err error) { env.cancel(err) }

// sleep waits for d. It returns false if the run ends first.
func (env *environment) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-env.done:
		return false
	}
}

// spawn runs f in a goroutine. The run's end waits for f to return.
func (env *environment) spawn(f func()) { env.goroutines.Go(f) }

// after runs f after the delay d, unless the run ends first. Without a delay, it runs f before it returns.
func (env *environment) after(d time.Duration, f func()) {
	if d <= 0 {
		f()
		return
	}
	time.AfterFunc(d, func() {
		select {
		case <-env.done:
		default:
			f()
		}
	})
}

// build starts the emulated environment: everything that the nodes communicate with.
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
	if env.scenario.needsRelays() {
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
		addrs = append(addrs, n.clientAddr)
	}
	env.generator = newLoadGenerator(env, addrs)
	env.list.listAtRunStart, _ = env.list.changesSince(0, true)
	return nil
}

// buildServers starts the app servers. If the scenario uses the project's list service, it starts that first
// and waits until the service has accepted the servers.
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
		return errors.New("the list service did not accept the initial app servers")
	}
	return nil
}

// buildServerRelays starts a relay between each node and each app server.
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

// buildNode starts the environment of one node: its discovery agent and, if the scenario needs relays, its
// links to the agent and to the clients.
func (env *environment) buildNode(number int) (n *edgeNode, err error) {
	n = &edgeNode{
		number: number, name: fmt.Sprintf("n%d", number), listen: env.addresses.hostPort(1, number), peer: env.addresses.peerHostPort(1, number),
	}
	if n.agent, err = startAgent(env.list, number, env.addresses.addr(3, number%250)+":0"); err != nil {
		return nil, err
	}
	env.nodes = append(env.nodes, n)
	n.clientAddr, n.discovery = n.listen, n.agent.addr
	if !env.scenario.needsRelays() {
		return n, nil
	}
	clients, node, agent := allClients, nodeParty(number), party{partyAgent, number}
	if err := errors.Join(
		env.startRelay(clients, node, env.addresses.addr(8, number), n.listen),
		env.startRelay(node, agent, env.addresses.addr(9, number), n.agent.addr),
	); err != nil {
		return nil, err
	}
	n.clientAddr, n.discovery = env.relays[route{clients, node}].addr, env.relays[route{node, agent}].addr
	return n, nil
}

// startRelay starts a relay between two parties.
func (env *environment) startRelay(from, to party, addr, target string) error {
	r, err := startTCPRelay(env, env.seed, addr+":0", target, len(env.relays))
	if err != nil {
		return err
	}
	env.relays[route{from, to}] = r
	return nil
}

// needsRelays reports whether the links of nodes to clients, app servers and agents go through relays. This
// is so if a fault or the delay between zones needs them.
func (s *Scenario) needsRelays() bool {
	for _, ft := range s.Faults {
		if faultKinds[ft.Kind].needsRelays {
			return true
		}
	}
	return s.Fleet.CrossDelay > 0
}

// estimatedDescriptors estimates the number of file descriptors that a run needs in the testbed's process:
// for listeners, for the requests in flight if responses take as long as the latency objective, and for the
// connections of nodes to app servers.
func (s *Scenario) estimatedDescriptors() int {
	f := &s.Fleet
	maxBurst := 1.0
	for _, b := range s.Load.Bursts {
		maxBurst = max(maxBurst, b.Factor)
	}
	n := 200 + f.Nodes*4 + f.Servers*2 + int(2*maxBurst*s.Load.Rate*s.Load.LatencyObjective.s()) + f.Nodes*min(f.Servers, 60)
	if s.needsRelays() {
		n += f.Nodes*f.Servers + 2*f.Nodes*min(f.Servers, 60)
	}
	return n
}

// withNodeAddresses returns the message with the addresses at which the node reaches the servers: those of
// the node's relays, if there are any.
func (env *environment) withNodeAddresses(node int, m listMessage) listMessage {
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

// recordDelivered records that a message of the list was delivered to a node now.
func (env *environment) recordDelivered(node int, m listMessage) {
	env.recordDeliveredAt(node, m, env.now())
}

// recordDeliveredAt records that a message of the list counts as delivered to a node from the given time on.
func (env *environment) recordDeliveredAt(node int, m listMessage, at time.Duration) {
	listed := map[string]bool{}
	for _, e := range m.Instances {
		listed[e.InstanceID] = true
		env.checker.entryDelivered(node, e.InstanceID, e.Lifecycle, at, e.StartedAtMs > 0)
	}
	if m.Reset {
		env.checker.snapshotDelivered(node, listed, at)
	}
}

// stop ends the run. It first stops the nodes' processes and the load generator, then the other emulated
// parties and the list service. When it returns, no process, socket or goroutine of the run is left.
func (env *environment) stop() {
	select {
	case <-env.done:
		return
	default:
	}
	close(env.done)
	var stops sync.WaitGroup
	for _, n := range env.nodes {
		if p := n.process(); p != nil {
			stops.Go(func() { p.stop(stopTimeout) })
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
	env.goroutines.Wait()
	if env.starter != nil {
		env.starter.stop()
	}
	if env.addresses != nil {
		env.addresses.release()
	}
	env.cancel(nil)
}
