package testbed

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// serverFleet is app servers with round figures: 2 cores, 4 slots, 2 places to wait.
func serverFleet() *Fleet {
	s := defaults()
	f := s.Fleet
	f.Cores, f.SlotsPerCore, f.QueuePerCore, f.ContentionLoss, f.HandshakeWork = 2, 2, 1, 0, 0
	return &f
}

// A machine shares its cores among what it holds, keeps the rest waiting and turns away what
// has no place.
func TestModelSharesItsCores(t *testing.T) {
	m := newModel(serverFleet(), 0.1, 0, -1)
	ended := map[int]time.Duration{}
	arrive := func(n int, at time.Duration, work float64) bool {
		return m.arrive(at, &job{work: work, ended: func() { ended[n] = m.now }})
	}
	for n := range 6 { // four in slots on two cores, two waiting
		if !arrive(n, 0, 0.1) {
			t.Fatalf("request %d of 6 turned away", n)
		}
	}
	if arrive(6, 0, 0.1) {
		t.Error("a seventh found a place")
	}
	if d, ok := m.next(); !ok || d < 200*ms || d > 201*ms {
		t.Errorf("next end in %v", d)
	}
	m.advance(time.Second)
	for n, want := range []time.Duration{200 * ms, 200 * ms, 200 * ms, 200 * ms, 300 * ms, 300 * ms} {
		if d := (ended[n] - want).Abs(); d > ms {
			t.Errorf("request %d ended at %v, want %v", n, ended[n], want)
		}
	}
}

// The order of calls between two events must not matter: work done is a matter of time.
func TestModelDoesNotDependOnQueries(t *testing.T) {
	run := func(step time.Duration) (ends []time.Duration) {
		f := serverFleet()
		f.ContentionLoss, f.ContentionFrom = 0.3, 1
		m := newModel(f, 0.05, 0, 0) // cold
		for n := range 5 {
			m.arrive(time.Duration(n)*30*ms, &job{work: 0.05, ended: func() { ends = append(ends, m.now) }})
		}
		for at := 120 * ms; at < 5*time.Second; at += step {
			m.advance(at)
		}
		return ends
	}
	a, b := run(500*ms), run(7*ms)
	if len(a) != 5 || len(b) != 5 {
		t.Fatalf("%d and %d of 5 ended", len(a), len(b))
	}
	for i := range a {
		if d := (a[i] - b[i]).Abs(); d > 5*ms {
			t.Errorf("end %d: %v and %v", i, a[i], b[i])
		}
	}
}

// A server in slow start is overloaded to failure when sent more than the multiple of what it can do, for the window;
// a warm one, or one sent less, does not.
func TestModelOverloadedDuringSlowStart(t *testing.T) {
	for _, c := range []struct {
		name  string
		boot  time.Duration
		times float64 // of what it can do cold
		fell  bool
	}{{"flooded", 0, 4, true}, {"fed", 0, 1.5, false}, {"warm", -1, 20, false}} {
		f := serverFleet()
		f.SlowStartDuration = Duration(time.Hour)
		m := newModel(f, 0.01, 0, c.boot)
		can := float64(f.Cores) * f.SlowStartInitialFraction
		for at := time.Duration(0); at < 10*time.Second; at += 10 * ms {
			m.arrive(at, &job{work: can * c.times * 0.01, ended: func() {}})
		}
		if m.failed != c.fell {
			t.Errorf("%s: fell over: %v, want %v", c.name, m.failed, c.fell)
		}
	}
}
