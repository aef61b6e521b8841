package testbed

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"syscall"
	"time"
)

// Options are the parameters of a run in addition to its scenario.
type Options struct {
	Seed       uint64         // seed of all random choices
	Binary     string         // path of the edge node's binary
	Service    string         // path of the opalhook binary, for scenarios with a list service
	Env        []string       // additional environment variables of the nodes, as KEY=VALUE
	Dir        string         // directory for configurations, logs and the result; created if it does not exist
	Control    string         // address that serves metrics and accepts faults; "": none
	Log        *slog.Logger   // logger for faults and problems of the testbed
	OnProgress func(Progress) // called about once per second; may be nil
}

// Progress is the state of a run in progress.
type Progress struct {
	At, Total  time.Duration // time since the start of the run, and its whole duration
	Requests   int           // requests due in the last second
	Served     int           // requests served in the last second
	Rejected   int           // rejected, unserved requests whose first response came in the last second
	Failed     int           // other unserved requests whose first response came in the last second
	P50, P99   time.Duration // latencies of the requests served in the last second
	NodesUp    int           // nodes that accept requests
	Violations int           // rule violations since the start of the run
}

// Run executes a scenario and writes its result to the directory of the options. The error reports failures
// of the testbed itself. Violations by the nodes are part of the result. In all cases, the processes and
// goroutines of the run have ended when Run returns.
func Run(ctx context.Context, s *Scenario, o Options) (res *Result, err error) {
	if err := ensureDescriptorLimit(s.estimatedDescriptors()); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, fmt.Errorf("directory of the run: %w", err)
	}
	env := newEnvironment(ctx, s, o)
	defer env.stop()
	if err := env.build(); err != nil {
		return nil, err
	}
	if err := env.startNodes(); err != nil {
		return nil, err
	}
	if o.Control != "" {
		if err := env.serveControl(o.Control); err != nil {
			return nil, err
		}
	}
	env.startClock()
	env.goroutines.Go(env.monitorLag)
	env.goroutines.Go(func() { env.monitorNodes(o.OnProgress) })
	env.goroutines.Go(env.injectFaults)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		env.generator.run()
	}()
	select {
	case <-finished:
	case <-env.ctx.Done():
		cause := context.Cause(env.ctx)
		env.stop()
		<-finished
		if !errors.Is(cause, context.Canceled) {
			return nil, cause
		}
		return nil, ctx.Err()
	}
	env.sampleUsage()
	readyNodes := env.awaitRecovery()
	env.stop()
	res = env.result(readyNodes)
	return res, res.write(o.Dir)
}

// startClock sets the run's clock to zero and resets the times recorded while the nodes started. No request
// has been sent at that time.
func (env *environment) startClock() {
	env.startOffset.Store(int64(time.Since(env.origin)))
	for _, s := range env.servers {
		s.mu.Lock()
		s.model.now = 0
		s.loads = nil
		s.mu.Unlock()
	}
	env.udp.mu.Lock()
	clear(env.udp.inboxUpdatedAt)
	env.udp.mu.Unlock()
	env.checker.mu.Lock()
	for _, m := range env.checker.delivered {
		for id, entry := range m {
			entry.at = 0
			m[id] = entry
		}
	}
	env.checker.mu.Unlock()
}

// ensureDescriptorLimit raises the soft limit on open files to n. It returns an error that names n if the
// hard limit is lower.
func ensureDescriptorLimit(n int) error {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return fmt.Errorf("limit on open files: %w", err)
	}
	if l.Cur >= uint64(n) {
		return nil
	}
	if l.Max < uint64(n) {
		return fmt.Errorf("the run needs about %d descriptors, but the limit is %d: raise it with `ulimit -n %d`, or use a smaller fleet", n, l.Max, n)
	}
	l.Cur = uint64(n)
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return fmt.Errorf("raising the limit on open files to %d: %w", n, err)
	}
	return nil
}

// awaitRecovery waits for all nodes to accept requests again, and then to have received the final list. It
// does not wait for nodes that a fault has killed without a restart. Both waits have a time limit. The result
// is the number of nodes that accept requests.
func (env *environment) awaitRecovery() (up int) {
	killed := map[int]bool{}
	for _, e := range env.schedule.Faults {
		if env.scenario.Faults[e.Fault].Kind == FaultKill {
			killed[e.Target] = !e.End
		}
	}
	want := len(env.nodes)
	for _, isKilled := range killed {
		if isKilled {
			want--
		}
	}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); {
		if up = env.nodesUp(); up >= want || !env.sleep(readinessInterval) {
			break
		}
	}
	for end := time.Now().Add(listDeliveryTimeout); time.Now().Before(end) && env.list.upToDateNodes() < want; {
		if env.list.isDown() || !env.sleep(readinessInterval) {
			break
		}
	}
	return up
}

// nodesUp returns the number of nodes that accept requests, as the load generator sees them.
func (env *environment) nodesUp() (up int) {
	for _, n := range env.generator.nodes {
		n.mu.Lock()
		if n.up {
			up++
		}
		n.mu.Unlock()
	}
	return up
}

// monitorNodes samples the nodes every 500 ms and calls onProgress, if it is not nil, at every second sample,
// until the run ends.
func (env *environment) monitorNodes(onProgress func(Progress)) {
	for tick := 0; env.sleep(500 * time.Millisecond); tick++ {
		env.sampleUsage()
		if onProgress != nil && tick%2 == 1 {
			onProgress(env.progress())
		}
	}
}

// progress returns the state of the run, with counts over the last second.
func (env *environment) progress() Progress {
	now := env.now()
	p := Progress{At: now, Total: time.Duration(env.scenario.Duration), NodesUp: env.nodesUp()}
	h := newHistogram()
	env.checker.mu.Lock()
	for i := range env.checker.records {
		r := &env.checker.records[i]
		if r.Due > now {
			break
		}
		if r.Due > now-time.Second {
			p.Requests++
		}
		if r.Done > now-time.Second {
			switch {
			case r.Served:
				p.Served++
				recordDuration(h, r.Done-r.Due)
			case r.Rejected > 0:
				p.Rejected++
			default:
				p.Failed++
			}
		}
	}
	for _, n := range env.checker.violationCount {
		p.Violations += n
	}
	env.checker.mu.Unlock()
	p.P50, p.P99 = quantile(h, 50), quantile(h, 99)
	return p
}
