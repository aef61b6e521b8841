package testbed

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// edgeNode is an edge node and its process, if one runs.
type edgeNode struct {
	number       int
	name         string
	listen, peer string
	clients      string // where clients connect: listen, or a relay to it

	config    sync.Mutex    // a restart and a move may write the node's configuration at once
	discovery string        // where the node finds its agent; under config
	agent     *agent        // the same
	movedAt   time.Duration // when it was told of another agent last; the same; 0: never

	mu           sync.Mutex
	proc         *process
	killedAt     time.Duration // last SIGKILL or crash; 0: none
	dying        bool          // from SIGKILL until the process has ended
	stopped      bool          // by SIGSTOP
	resumedAt    time.Duration // last SIGCONT; 0: none
	endedCPU     time.Duration // of processes that have ended
	lastUsage    usage
	peakMemory   int64
	starved      time.Duration // within the last while, see sample
	usageSamples []usage
}

// startNode starts a node's process and waits until it is ready. One that ends before is
// an error that shows its log.
func (env *environment) startNode(n *edgeNode) error {
	path, err := env.writeConfig(n)
	if err != nil {
		return err
	}
	p, err := startProcess(env.starter, env.dir, n.name, env.nodeBinary, nodeNiceness, append([]string{"PROXY_CONFIG=" + path}, env.nodeEnv...))
	if err != nil {
		return err
	}
	peer, err := netip.ParseAddrPort(n.peer)
	if err != nil {
		return fmt.Errorf("%s: %w", n.name, err)
	}
	env.udp.join(n.number, peer)
	n.mu.Lock()
	n.proc, n.lastUsage, n.usageSamples = p, usage{}, nil
	n.mu.Unlock()
	env.work.Go(func() { env.awaitExit(n, p) })
	return env.awaitReady(n, p)
}

// awaitExit books the end of a node's process, and whether it crashed.
func (env *environment) awaitExit(n *edgeNode, p *process) {
	select {
	case <-env.over:
		return
	case <-p.ended:
	}
	n.mu.Lock()
	n.endedCPU += n.lastUsage.cpu
	n.lastUsage = usage{}
	n.mu.Unlock()
	if !p.crashed() {
		return
	}
	env.crashes.Add(1)
	n.mu.Lock()
	n.killedAt = env.now()
	n.mu.Unlock()
	env.log.Error("node crashed", "node", n.name, "err", p.err, "log", tail(env.logPath(n)))
}

// readyPause is the time between two looks at a node that starts.
const readyPause = 10 * time.Millisecond

// awaitReady waits until a node answers that it is ready. It is no error where a fault or the run's end ended it.
func (env *environment) awaitReady(n *edgeNode, p *process) error {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for began := time.Now(); ; {
		if isReady(client, n.listen) {
			return nil
		}
		select {
		case <-p.ended:
			if p.wasKilled() {
				return nil
			}
			return fmt.Errorf("%s ended before it was ready: %w\n%s", n.name, cmp.Or(p.err, errExitedWithoutError), tail(env.logPath(n)))
		case <-env.over:
			return nil
		case <-time.After(readyPause):
		}
		if time.Since(began) > readyWithin {
			return fmt.Errorf("%s is not ready after %v\n%s", n.name, readyWithin, tail(env.logPath(n)))
		}
	}
}

// isReady tells whether a node answers that it takes requests.
func isReady(client *http.Client, addr string) bool {
	resp, err := client.Get("http://" + addr + "/health/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// logPath is the file that takes what a node's processes write.
func (env *environment) logPath(n *edgeNode) string { return filepath.Join(env.dir, n.name+".log") }

// startNodes starts all nodes, a few at a time.
func (env *environment) startNodes() error {
	errs := make([]error, len(env.nodes))
	var all sync.WaitGroup
	turn := make(chan struct{}, 8)
	for i, n := range env.nodes {
		all.Go(func() {
			turn <- struct{}{}
			defer func() { <-turn }()
			errs[i] = env.startNode(n)
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

// process is the node's process, nil before the first.
func (n *edgeNode) process() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.proc
}

// answerable tells whether the node could answer all the time since then: it lived, nobody had
// stopped it, and its link to the clients was sound.
func (env *environment) answerable(node int, since time.Duration) bool {
	if r := env.relays[route{allClients, nodeParty(node)}]; r != nil && !r.healthySince(since) {
		return false
	}
	n := env.nodes[node]
	n.mu.Lock()
	defer n.mu.Unlock()
	return (n.killedAt == 0 || n.killedAt < since) && !n.dying && !n.stopped && (n.resumedAt == 0 || n.resumedAt < since)
}

// stall stops a node's process, or lets it go on.
func (env *environment) stall(n *edgeNode, stop bool) error {
	n.mu.Lock()
	p := n.proc
	if n.stopped = stop; !stop {
		n.resumedAt = env.now()
	}
	n.mu.Unlock()
	if stop {
		return p.signal(syscall.SIGSTOP)
	}
	return p.signal(syscall.SIGCONT)
}

// kill ends a node's process with no chance to finish.
func (env *environment) kill(n *edgeNode) error {
	n.mu.Lock()
	p := n.proc
	n.dying = true // what is sent from now on may meet a node that still takes it in
	n.mu.Unlock()
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.ended
	n.mu.Lock()
	n.killedAt, n.dying = env.now(), false
	n.mu.Unlock()
	return nil
}

// restart is a planned restart: SIGTERM, and a new process once the old one has ended. One
// that ignores the signal is killed in the end.
func (env *environment) restart(n *edgeNode) error {
	p := n.process()
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	env.after(sigtermNotice, func() {
		f := env.generator.nodes[n.number]
		f.mu.Lock()
		f.up = false
		f.mu.Unlock()
	})
	select {
	case <-p.ended:
	case <-env.over:
		return nil
	case <-time.After(time.Duration(env.scenario.Load.Deadline) + stopWithin):
		env.log.Warn("node ignores SIGTERM, killing it", "node", n.name)
		if err := env.kill(n); err != nil {
			return err
		}
	}
	return env.startNode(n)
}

// moveDiscovery gives a node another discovery agent and SIGHUP; the old agent takes no new watch and
// ends the open ones a little later.
func (env *environment) moveDiscovery(n *edgeNode) error {
	a, err := startAgent(env.list, n.number, env.addresses.addr(3, n.number%250)+":0")
	if err != nil {
		return err
	}
	n.config.Lock()
	old := n.agent
	n.agent, n.discovery, n.movedAt = a, a.addr, env.now()
	n.config.Unlock()
	if _, err := env.writeConfig(n); err != nil {
		return err
	}
	env.after(oldAgentFor, old.close)
	return n.process().signal(syscall.SIGHUP)
}
