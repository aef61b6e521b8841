package testbed

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// serverFleet returns a fleet whose app servers have 2 cores, 4 slots and a queue of 2, and neither
// contention losses nor handshake work.
func serverFleet() *Fleet {
	s := defaults()
	f := s.Fleet
	f.Cores, f.SlotsPerCore, f.QueuePerCore, f.ContentionLoss, f.HandshakeWork = 2, 2, 1, 0, 0
	return &f
}

// The requests in slots share the cores, the next requests wait in the queue, and all others are rejected.
func TestModelSharesCoresAndQueues(t *testing.T) {
	m := newModel(serverFleet(), 0.1, 0, -1)
	ended := map[int]time.Duration{}
	arrive := func(n int, at time.Duration, work float64) bool {
		return m.arrive(at, &job{work: work, onComplete: func() { ended[n] = m.now }})
	}
	for n := range 6 { // four in slots on two cores, two waiting
		if !arrive(n, 0, 0.1) {
			t.Fatalf("request %d of 6 was rejected", n)
		}
	}
	if arrive(6, 0, 0.1) {
		t.Error("the seventh request was accepted, want a rejection")
	}
	if d, ok := m.next(); !ok || d < 200*ms || d > 201*ms {
		t.Errorf("next end in %v, want 200ms to 201ms", d)
	}
	m.advance(time.Second)
	for n, want := range []time.Duration{200 * ms, 200 * ms, 200 * ms, 200 * ms, 300 * ms, 300 * ms} {
		if d := (ended[n] - want).Abs(); d > ms {
			t.Errorf("request %d ended at %v, want %v", n, ended[n], want)
		}
	}
}

// The times at which requests end do not depend on how often the model is advanced in between.
func TestModelDoesNotDependOnAdvanceSteps(t *testing.T) {
	run := func(step time.Duration) (ends []time.Duration) {
		f := serverFleet()
		f.ContentionLoss, f.ContentionFrom = 0.3, 1
		m := newModel(f, 0.05, 0, 0) // in slow start
		for n := range 5 {
			m.arrive(time.Duration(n)*30*ms, &job{work: 0.05, onComplete: func() { ends = append(ends, m.now) }})
		}
		for at := 120 * ms; at < 5*time.Second; at += step {
			m.advance(at)
		}
		return ends
	}
	a, b := run(500*ms), run(7*ms)
	if len(a) != 5 || len(b) != 5 {
		t.Fatalf("%d and %d of 5 requests ended", len(a), len(b))
	}
	for i := range a {
		if d := (a[i] - b[i]).Abs(); d > 5*ms {
			t.Errorf("end %d: at %v with long steps and %v with short ones", i, a[i], b[i])
		}
	}
}

// A server in slow start fails if it gets more than OverloadFactor times the work that it can do within
// OverloadWindow. A warm server does not fail, and neither does one that gets less work.
func TestModelOverloadedDuringSlowStart(t *testing.T) {
	for _, c := range []struct {
		name      string
		startedAt time.Duration
		times     float64 // work sent, as a multiple of the capacity at the beginning of the slow start
		fails     bool
	}{{"overloaded", 0, 4, true}, {"moderate load", 0, 1.5, false}, {"warm", -1, 20, false}} {
		f := serverFleet()
		f.SlowStartDuration = Duration(time.Hour)
		m := newModel(f, 0.01, 0, c.startedAt)
		capacity := float64(f.Cores) * f.SlowStartInitialFraction
		for at := time.Duration(0); at < 10*time.Second; at += 10 * ms {
			m.arrive(at, &job{work: capacity * c.times * 0.01, onComplete: func() {}})
		}
		if m.failed != c.fails {
			t.Errorf("%s: failed is %v, want %v", c.name, m.failed, c.fails)
		}
	}
}
