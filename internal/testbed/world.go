package testbed

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
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

// world is one run: everything that plays in it and the clock.
type world struct {
	s       *Scenario
	d       *Schedule
	seed    uint64
	dir     string
	binary  string
	program string // of the operators' command
	env     []string
	log     *slog.Logger

	origin time.Time     // of the monotonic clock
	begun  atomic.Int64  // nanoseconds from the origin to the start of the schedule, once it has begun
	over   chan struct{} // closed when the run ends
	cancel context.CancelCauseFunc
	ctx    context.Context
	work   sync.WaitGroup

	ref     *referee
	list    *list
	udp     *udpRelay
	starter *starter
	block   *block
	servers []*appServer
	nodes   []*nodeState
	relays  map[[2]party]*tcpRelay // from one party to another; empty where links are direct
	front   *front

	ids *lockedRand

	connections, listCalls, serversFell atomic.Int64
	crashes                             atomic.Int64
	commanded                           []Mark    // faults by command; under lagMu
	memory                              []float64 // by the second: the largest of a node, in MB; under lagMu
	lagMu                               sync.Mutex
	lag                                 time.Duration // longest that the lab itself stood still, of late
	withheld                            time.Duration // the most that slack has been
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

// nodeState is an edge node and its process, if one runs.
type nodeState struct {
	number       int
	name         string
	listen, peer string
	clients      string // where clients connect: listen, or a relay to it

	config    sync.Mutex    // a restart and a move may write the node's configuration at once
	discovery string        // where the node finds its agent; under config
	agent     *agent        // the same
	movedAt   time.Duration // when it was told of another agent last; the same; 0: never

	mu       sync.Mutex
	proc     *process
	killedAt time.Duration // last SIGKILL or crash; 0: none
	dying    bool          // from SIGKILL until the process has ended
	stopped  bool          // by SIGSTOP
	wentOn   time.Duration // last SIGCONT; 0: none
	cpu      time.Duration // of processes that have ended
	last     usage
	peak     int64
	starved  time.Duration // within the last while, see sample
	marks    []usage
}

func newWorld(ctx context.Context, s *Scenario, o Options) *world {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &world{
		s: s, d: Draw(s, o.Seed), seed: o.Seed, dir: o.Dir, binary: o.Binary, program: o.Service, env: o.Env, log: o.Log, origin: time.Now(), over: make(chan struct{}),
		ctx: ctx, cancel: cancel, relays: map[[2]party]*tcpRelay{},
		ids: &lockedRand{rng: random(o.Seed, streamServers)},
	}
	w.list = newList(w)
	w.ref = newReferee(s, w.d)
	w.ref.slack = w.slack
	return w
}

// now is the time since the start of the schedule.
func (w *world) now() time.Duration { return time.Since(w.origin) - time.Duration(w.begun.Load()) }

// wall is the clock's reading at a time of the run.
func (w *world) wall(at time.Duration) time.Time {
	return w.origin.Add(time.Duration(w.begun.Load()) + at)
}

// fail ends the run: the lab itself can't go on.
func (w *world) fail(err error) { w.cancel(err) }

// sleep waits; it is false where the run ends first.
func (w *world) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-w.over:
		return false
	}
}

// spawn runs f beside the run, which waits for its end.
func (w *world) spawn(f func()) { w.work.Go(f) }

// after runs f later, unless the run ends first.
func (w *world) after(d time.Duration, f func()) {
	if d <= 0 {
		f()
		return
	}
	time.AfterFunc(d, func() {
		select {
		case <-w.over:
		default:
			f()
		}
	})
}

// build opens everything that the nodes will meet.
func (w *world) build() (err error) {
	f := &w.s.Fleet
	if w.block, err = claimBlock(); err != nil {
		return err
	}
	if w.udp, err = startUDPRelay(w, w.block.addr(4, 0)); err != nil {
		return err
	}
	w.starter = newStarter()
	if f.ListReplicas > 0 {
		if w.list.service, err = startService(w, w.program); err != nil {
			return err
		}
	}
	for i := range f.Servers {
		s, err := startServer(w, i, w.block.hostPort(2, i))
		if err != nil {
			return err
		}
		w.servers = append(w.servers, s)
		w.list.put(s.entry())
	}
	if w.list.service != nil && !w.list.service.written() {
		return errors.New("the list service does not take the first app servers")
	}
	if w.s.relayed() {
		for n := range f.Nodes {
			for i, s := range w.servers {
				if err := w.relay(party{"node", n}, party{"server", i}, w.block.addr(5+n/250, n%250), s.addr); err != nil {
					return err
				}
				if f.CrossDelay > 0 && f.zoneOf(n) != f.zoneOf(i) {
					r := w.relays[[2]party{{"node", n}, {"server", i}}]
					r.out.Delay, r.back.Delay = time.Duration(f.CrossDelay), time.Duration(f.CrossDelay)
				}
			}
		}
	}
	var addrs []string
	for i := range f.Nodes {
		n := &nodeState{number: i, name: fmt.Sprintf("n%d", i), listen: w.block.hostPort(1, i), peer: w.block.peerPort(1, i)}
		if n.agent, err = startAgent(w.list, i, w.block.addr(3, i%250)+":0"); err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
		n.clients, n.discovery = n.listen, n.agent.addr
		if w.s.relayed() {
			clients, node, agent := party{"clients", 0}, party{"node", i}, party{"agent", i}
			if err := errors.Join(w.relay(clients, node, w.block.addr(8, i), n.listen), w.relay(node, agent, w.block.addr(9, i), n.agent.addr)); err != nil {
				return err
			}
			n.clients, n.discovery = w.relays[[2]party{clients, node}].addr, w.relays[[2]party{node, agent}].addr
		}
		addrs = append(addrs, n.clients)
	}
	w.front = newFront(w, addrs)
	w.list.first, _ = w.list.since(0, true)
	return nil
}

// relay puts a relay between two parties.
func (w *world) relay(from, to party, addr, target string) error {
	r, err := startTCPRelay(w, w.seed, addr+":0", target, len(w.relays))
	if err != nil {
		return err
	}
	w.relays[[2]party{from, to}] = r
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

// descriptors is about how many a run needs in the lab's process: listeners, a connection for
// each request that is open when answers take as long as they are wanted within, and what
// nodes keep to servers.
func (s *Scenario) descriptors() int {
	f := &s.Fleet
	most := 1.0
	for _, b := range s.Load.Bursts {
		most = max(most, b.Times)
	}
	n := 200 + f.Nodes*4 + f.Servers*2 + int(2*most*s.Load.Rate*s.Load.Aim.s()) + f.Nodes*min(f.Servers, 60)
	if s.relayed() {
		n += f.Nodes*f.Servers + 2*f.Nodes*min(f.Servers, 60)
	}
	return n
}

// startNode starts a node's process and waits until it is ready. One that ends before is
// an error that shows its log.
func (w *world) startNode(n *nodeState) error {
	path, err := w.writeConfig(n)
	if err != nil {
		return err
	}
	p, err := startProcess(w.starter, w.dir, n.name, w.binary, givesWay, append([]string{"PROXY_CONFIG=" + path}, w.env...))
	if err != nil {
		return err
	}
	peer, err := netip.ParseAddrPort(n.peer)
	if err != nil {
		return fmt.Errorf("%s: %w", n.name, err)
	}
	w.udp.join(n.number, peer)
	n.mu.Lock()
	n.proc, n.last, n.marks = p, usage{}, nil
	n.mu.Unlock()
	w.work.Go(func() {
		select {
		case <-w.over:
			return
		case <-p.ended:
		}
		n.mu.Lock()
		n.cpu += n.last.cpu
		n.last = usage{}
		n.mu.Unlock()
		if p.crashed() {
			w.crashes.Add(1)
			n.mu.Lock()
			n.killedAt = w.now()
			n.mu.Unlock()
			w.log.Error("a node crashed", "node", n.name, "how", p.err, "log", tail(filepath.Join(w.dir, n.name+".log")))
		}
	})
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for began := time.Now(); ; {
		resp, err := client.Get("http://" + n.listen + "/health/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-p.ended:
			if p.wasKilled() {
				return nil
			}
			return fmt.Errorf("%s ended before it was ready: %w\n%s", n.name, cmp.Or(p.err, errExitedWithoutError), tail(filepath.Join(w.dir, n.name+".log")))
		case <-w.over:
			return nil
		case <-time.After(10 * time.Millisecond):
		}
		if time.Since(began) > readyWithin {
			return fmt.Errorf("%s is not ready after %v\n%s", n.name, readyWithin, tail(filepath.Join(w.dir, n.name+".log")))
		}
	}
}

// startNodes starts all nodes, a few at a time.
func (w *world) startNodes() error {
	errs := make([]error, len(w.nodes))
	var all sync.WaitGroup
	turn := make(chan struct{}, 8)
	for i, n := range w.nodes {
		all.Go(func() {
			turn <- struct{}{}
			defer func() { <-turn }()
			errs[i] = w.startNode(n)
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

// process is the node's process, nil before the first.
func (n *nodeState) process() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.proc
}

// answerable tells whether the node could answer all the time since then: it lived, nobody had
// stopped it, and its link to the clients was sound.
func (w *world) answerable(node int, since time.Duration) bool {
	if r := w.relays[[2]party{{"clients", 0}, {"node", node}}]; r != nil && !r.healthySince(since) {
		return false
	}
	n := w.nodes[node]
	n.mu.Lock()
	defer n.mu.Unlock()
	return (n.killedAt == 0 || n.killedAt < since) && !n.dying && !n.stopped && (n.wentOn == 0 || n.wentOn < since)
}

// stall stops a node's process, or lets it go on.
func (w *world) stall(n *nodeState, stop bool) error {
	n.mu.Lock()
	p := n.proc
	if n.stopped = stop; !stop {
		n.wentOn = w.now()
	}
	n.mu.Unlock()
	if stop {
		return p.signal(syscall.SIGSTOP)
	}
	return p.signal(syscall.SIGCONT)
}

// kill ends a node's process with no chance to finish.
func (w *world) kill(n *nodeState) error {
	n.mu.Lock()
	p := n.proc
	n.dying = true // what is sent from now on may meet a node that still takes it in
	n.mu.Unlock()
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.ended
	n.mu.Lock()
	n.killedAt, n.dying = w.now(), false
	n.mu.Unlock()
	return nil
}

// restart is a planned restart: SIGTERM, and a new process once the old one has ended. One
// that ignores the signal is killed in the end.
func (w *world) restart(n *nodeState) error {
	p := n.process()
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	w.after(termNotice, func() {
		f := w.front.nodes[n.number]
		f.mu.Lock()
		f.up = false
		f.mu.Unlock()
	})
	select {
	case <-p.ended:
	case <-w.over:
		return nil
	case <-time.After(time.Duration(w.s.Load.Deadline) + stopWithin):
		w.log.Warn("a node ignores SIGTERM and is killed", "node", n.name)
		if err := w.kill(n); err != nil {
			return err
		}
	}
	return w.startNode(n)
}

// move gives a node another discovery agent and SIGHUP; the old agent takes no new watch and
// ends the open ones a little later.
func (w *world) move(n *nodeState) error {
	a, err := startAgent(w.list, n.number, w.block.addr(3, n.number%250)+":0")
	if err != nil {
		return err
	}
	n.config.Lock()
	old := n.agent
	n.agent, n.discovery, n.movedAt = a, a.addr, w.now()
	n.config.Unlock()
	if _, err := w.writeConfig(n); err != nil {
		return err
	}
	w.after(oldAgentFor, old.close)
	return n.process().signal(syscall.SIGHUP)
}

// seenFrom gives a message of the list the addresses at which the node reaches the servers.
func (w *world) seenFrom(node int, m listMessage) listMessage {
	if len(w.relays) == 0 {
		return m
	}
	list := append([]Entry(nil), m.Instances...)
	for i := range list {
		list[i].HostPort = w.relays[[2]party{{"node", node}, {"server", list[i].number}}].addr
	}
	m.Instances = list
	return m
}

// told books what a node was told.
func (w *world) told(node int, m listMessage) { w.toldFrom(node, m, w.now()) }

// toldFrom books what counts as told to a node from a time on.
func (w *world) toldFrom(node int, m listMessage, now time.Duration) {
	listed := map[string]bool{}
	for _, e := range m.Instances {
		listed[e.InstanceID] = true
		w.ref.tell(node, e.InstanceID, e.Lifecycle, now, e.StartedAtMs > 0)
	}
	if m.Reset {
		w.ref.tellMissing(node, listed, now)
	}
}

// slack is what the machine did not give: how long the lab stood still and a node had no
// core, of late. Time limits are widened by it, so that a verdict does not depend on what
// else the machine does.
func (w *world) slack(node int) time.Duration {
	w.lagMu.Lock()
	lag := w.lag
	w.lagMu.Unlock()
	if node < 0 || node >= len(w.nodes) {
		return lag
	}
	n := w.nodes[node]
	n.mu.Lock()
	starved := n.starved
	n.mu.Unlock()
	return lag + starved
}

// mostSlack is the most that slack has been in the run.
func (w *world) mostSlack() time.Duration {
	w.lagMu.Lock()
	defer w.lagMu.Unlock()
	return w.withheld
}

// watchLag measures how long the lab stands still. A lag counts for some seconds.
func (w *world) watchLag() {
	for w.sleepLag() {
	}
}

func (w *world) sleepLag() bool {
	began := time.Now()
	if !w.sleep(lagTick) {
		return false
	}
	late := time.Since(began) - lagTick
	w.lagMu.Lock()
	defer w.lagMu.Unlock()
	w.lag -= w.lag / 500 // falls to a third in five seconds
	w.lag = max(w.lag, late)
	return true
}

// sample reads what the nodes use. What a node was starved of counts for some seconds.
func (w *world) sample() {
	const kept = 10
	most := int64(0)
	defer func() {
		w.lagMu.Lock()
		defer w.lagMu.Unlock()
		for sec := int(w.now() / time.Second); len(w.memory) <= sec; {
			w.memory = append(w.memory, 0)
		}
		last := &w.memory[len(w.memory)-1]
		*last = max(*last, float64(most)/(1<<20))
	}()
	for _, n := range w.nodes {
		p := n.process()
		if p == nil {
			continue
		}
		u := p.usage()
		if u.memory == 0 {
			continue
		}
		n.mu.Lock()
		n.last = u
		n.peak = max(n.peak, u.memory)
		most = max(most, u.memory)
		n.marks = append(n.marks, u)
		if len(n.marks) > kept {
			n.marks = n.marks[1:]
		}
		n.starved = u.starved - n.marks[0].starved
		n.mu.Unlock()
		slack := w.slack(n.number)
		w.lagMu.Lock()
		w.withheld = max(w.withheld, slack)
		w.lagMu.Unlock()
	}
}

// end stops everything: the run's processes first, then its sockets. It returns when nothing
// of the run is left.
func (w *world) end() {
	select {
	case <-w.over:
		return
	default:
	}
	close(w.over)
	var stops sync.WaitGroup
	for _, n := range w.nodes {
		if p := n.process(); p != nil {
			stops.Go(func() { p.stop(stopWithin) })
		}
	}
	if w.front != nil {
		w.front.close()
	}
	stops.Wait()
	w.list.close()
	for _, s := range w.servers {
		s.shut()
	}
	for _, r := range w.relays {
		r.close()
	}
	if w.udp != nil {
		w.udp.close()
	}
	if w.list.service != nil {
		w.list.service.stop()
	}
	w.work.Wait()
	if w.starter != nil {
		w.starter.stop()
	}
	if w.block != nil {
		w.block.release()
	}
	w.cancel(nil)
}
