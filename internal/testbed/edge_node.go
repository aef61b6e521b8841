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

// edgeNode is an edge node and its current or last process.
type edgeNode struct {
	number       int
	name         string
	listen, peer string
	clientAddr   string // address to which clients connect: listen, or a relay to it

	configMu  sync.Mutex    // guards the configuration file and the next three fields; faults are concurrent
	discovery string        // address at which the node reaches its discovery agent
	agent     *agent        // current discovery agent
	movedAt   time.Duration // time of the last move to another agent; 0: never moved

	mu           sync.Mutex
	proc         *process
	killedAt     time.Duration // time of the last end by SIGKILL or a crash; 0: none
	killing      bool          // from just before SIGKILL until the process has ended
	stopped      bool          // stopped by SIGSTOP
	resumedAt    time.Duration // time of the last SIGCONT; 0: none
	endedCPU     time.Duration // CPU time of the node's processes that have ended
	lastUsage    usage         // latest usage of the current process
	peakMemory   int64         // largest resident memory of any of its processes, in bytes
	cpuWait      time.Duration // time without a core in the period of usageSamples, see environment.sampleUsage
	usageSamples []usage       // latest samples of the current process
}

// startNode starts a node's process and waits until it is ready. If the process ends before that, the error
// contains the end of its log.
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
	env.udp.setNodeAddr(n.number, peer)
	n.mu.Lock()
	n.proc, n.lastUsage, n.usageSamples = p, usage{}, nil
	n.mu.Unlock()
	env.goroutines.Go(func() { env.awaitExit(n, p) })
	return env.awaitReady(n, p)
}

// awaitExit waits for the end of a node's process and records whether it crashed.
func (env *environment) awaitExit(n *edgeNode, p *process) {
	select {
	case <-env.done:
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

// readyPollInterval is the time between two readiness checks of a starting node.
const readyPollInterval = 10 * time.Millisecond

// awaitReady waits until a node reports that it is ready. It returns nil if a fault killed the process or if
// the run ends first.
func (env *environment) awaitReady(n *edgeNode, p *process) error {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for start := time.Now(); ; {
		if isReady(client, n.listen) {
			return nil
		}
		select {
		case <-p.ended:
			if p.wasKilled() {
				return nil
			}
			return fmt.Errorf("%s ended before it was ready: %w\n%s", n.name, cmp.Or(p.err, errExitedWithoutError), tail(env.logPath(n)))
		case <-env.done:
			return nil
		case <-time.After(readyPollInterval):
		}
		if time.Since(start) > readyTimeout {
			return fmt.Errorf("%s is not ready after %v\n%s", n.name, readyTimeout, tail(env.logPath(n)))
		}
	}
}

// isReady reports whether a node's readiness check succeeds.
func isReady(client *http.Client, addr string) bool {
	resp, err := client.Get("http://" + addr + "/health/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// logPath returns the path of the file with the output of a node's processes.
func (env *environment) logPath(n *edgeNode) string { return filepath.Join(env.dir, n.name+".log") }

// startNodes starts all nodes, at most eight at a time.
func (env *environment) startNodes() error {
	errs := make([]error, len(env.nodes))
	var all sync.WaitGroup
	slots := make(chan struct{}, 8)
	for i, n := range env.nodes {
		all.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			errs[i] = env.startNode(n)
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

// process returns the node's current or last process, nil if none was started.
func (n *edgeNode) process() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.proc
}

// nodeAvailableSince reports whether the node was able to respond to clients at all times since the given
// time: its process was alive and not stopped, and its link to the clients had no fault.
func (env *environment) nodeAvailableSince(node int, since time.Duration) bool {
	if r := env.relays[route{allClients, nodeParty(node)}]; r != nil && !r.healthySince(since) {
		return false
	}
	n := env.nodes[node]
	n.mu.Lock()
	defer n.mu.Unlock()
	return (n.killedAt == 0 || n.killedAt < since) && !n.killing && !n.stopped && (n.resumedAt == 0 || n.resumedAt < since)
}

// stall stops a node's process with SIGSTOP, or resumes it with SIGCONT.
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

// kill ends a node's process with SIGKILL and waits for its end.
func (env *environment) kill(n *edgeNode) error {
	n.mu.Lock()
	p := n.proc
	n.killing = true // the process may still accept requests until it ends, but need not answer them
	n.mu.Unlock()
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.ended
	n.mu.Lock()
	n.killedAt, n.killing = env.now(), false
	n.mu.Unlock()
	return nil
}

// restart performs a planned restart: it sends SIGTERM and starts a new process once the old one has ended.
// A process that does not end within the client deadline plus stopTimeout is killed.
func (env *environment) restart(n *edgeNode) error {
	p := n.process()
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	env.after(sigtermNotice, func() {
		target := env.generator.nodes[n.number]
		target.mu.Lock()
		target.up = false
		target.mu.Unlock()
	})
	select {
	case <-p.ended:
	case <-env.done:
		return nil
	case <-time.After(time.Duration(env.scenario.Load.Deadline) + stopTimeout):
		env.log.Warn("node ignores SIGTERM, killing it", "node", n.name)
		if err := env.kill(n); err != nil {
			return err
		}
	}
	return env.startNode(n)
}

// moveDiscovery starts another discovery agent for a node, writes its address to the node's configuration
// and sends SIGHUP. The old agent is closed after oldAgentCloseDelay.
func (env *environment) moveDiscovery(n *edgeNode) error {
	a, err := startAgent(env.list, n.number, env.addresses.addr(3, n.number%250)+":0")
	if err != nil {
		return err
	}
	n.configMu.Lock()
	old := n.agent
	n.agent, n.discovery, n.movedAt = a, a.addr, env.now()
	n.configMu.Unlock()
	if _, err := env.writeConfig(n); err != nil {
		return err
	}
	env.after(oldAgentCloseDelay, old.close)
	return n.process().signal(syscall.SIGHUP)
}
