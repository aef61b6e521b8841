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

// Options are what a run needs beside its scenario.
type Options struct {
	Seed    uint64
	Binary  string         // of the edge node
	Service string         // binary of the operators' command, for scenarios with a list service
	Env     []string       // added to the nodes' environment
	Dir     string         // takes configurations, logs and the result; made if it is not there
	Control string         // address at which Prometheus finds the run and faults are taken; "": nowhere
	Log     *slog.Logger   // faults and what the testbed meets
	Live    func(Progress) // called about once a second; may be nil
}

// Progress is the state of a run while it goes.
type Progress struct {
	At, Of     time.Duration
	Requests   int // first attempts due in the last second
	Served     int // of those that ended in it
	Rejected   int
	Failed     int
	P50, P99   time.Duration
	NodesUp    int
	Violations int
}

// Run plays a scenario and leaves its result in the folder. The error is of the testbed itself:
// what the nodes did wrong is in the result. Whatever ends the run, nothing of it is left
// running when Run returns.
func Run(ctx context.Context, s *Scenario, o Options) (res *Result, err error) {
	if err := ensureDescriptorLimit(s.descriptors()); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, fmt.Errorf("folder of the run: %w", err)
	}
	w := newEnvironment(ctx, s, o)
	defer w.end()
	if err := w.build(); err != nil {
		return nil, err
	}
	if err := w.startNodes(); err != nil {
		return nil, err
	}
	if o.Control != "" {
		if err := w.serveControl(o.Control); err != nil {
			return nil, err
		}
	}
	w.startClock()
	w.work.Go(w.monitorLag)
	w.work.Go(func() { w.monitorNodes(o.Live) })
	w.work.Go(w.injectFaults)
	played := make(chan struct{})
	go func() {
		defer close(played)
		w.generator.run()
	}()
	select {
	case <-played:
	case <-w.ctx.Done():
		cause := context.Cause(w.ctx)
		w.end()
		<-played
		if !errors.Is(cause, context.Canceled) {
			return nil, cause
		}
		return nil, ctx.Err()
	}
	w.sample()
	up := w.awaitRecovery()
	w.end()
	res = w.result(up)
	return res, res.write(o.Dir)
}

// startClock sets the clock to zero, and with it what was booked while the nodes started. No
// request has come yet.
func (env *environment) startClock() {
	env.begun.Store(int64(time.Since(env.origin)))
	for _, s := range env.servers {
		s.mu.Lock()
		s.model.now = 0
		s.loads = nil
		s.mu.Unlock()
	}
	env.udp.mu.Lock()
	clear(env.udp.inAt)
	env.udp.mu.Unlock()
	env.checker.mu.Lock()
	for _, m := range env.checker.delivered {
		for id, k := range m {
			k.at = 0
			m[id] = k
		}
	}
	env.checker.mu.Unlock()
}

// ensureDescriptorLimit raises the limit on open files as far as allowed, and tells if that is not
// enough.
func ensureDescriptorLimit(n int) error {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return fmt.Errorf("limit on open files: %w", err)
	}
	if l.Cur >= uint64(n) {
		return nil
	}
	if l.Max < uint64(n) {
		return fmt.Errorf("the run needs about %d descriptors and the limit is %d: raise it with `ulimit -n %d`, or make the fleet smaller", n, l.Max, n)
	}
	l.Cur = uint64(n)
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return fmt.Errorf("raising the limit on open files to %d: %w", n, err)
	}
	return nil
}

// awaitRecovery waits until every node that no fault has ended for good takes requests again, for as
// long as a start may take, and counts those that do.
func (env *environment) awaitRecovery() (up int) {
	gone := map[int]bool{}
	for _, e := range env.schedule.Faults {
		if env.scenario.Faults[e.Fault].Kind == FaultKill {
			gone[e.Target] = !e.End
		}
	}
	want := len(env.nodes)
	for _, dead := range gone {
		if dead {
			want--
		}
	}
	for end := time.Now().Add(readyWithin); time.Now().Before(end); {
		if up = env.nodesUp(); up >= want || !env.sleep(readinessInterval) {
			break
		}
	}
	for end := time.Now().Add(listsWithin); time.Now().Before(end) && env.list.upToDate() < want; {
		if env.list.isDown() || !env.sleep(readinessInterval) {
			break
		}
	}
	return up
}

// nodesUp counts the nodes that take requests.
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

// monitorNodes samples the nodes and tells of the progress until the run ends.
func (env *environment) monitorNodes(live func(Progress)) {
	for tick := 0; env.sleep(500 * time.Millisecond); tick++ {
		env.sample()
		if live != nil && tick%2 == 1 {
			live(env.progress())
		}
	}
}

// progress is about the last second.
func (env *environment) progress() Progress {
	now := env.now()
	p := Progress{At: now, Of: time.Duration(env.scenario.Duration), NodesUp: env.nodesUp()}
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
				record(h, r.Done-r.Due)
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
