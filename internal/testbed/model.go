package testbed

import (
	"container/heap"
	"math"
	"time"
)

// model is what one app server can do: a processor-sharing machine with cores, slots and a
// waiting room. It is a state machine in drawn or real time: every method first brings it
// to the time given, which never goes back, and next tells when it changes by itself.
//
// All requests in slots progress at one rate, so that one number, the work that a request
// in a slot has had since the start, orders their ends: a request that enters when that
// number is v ends when it is v plus its work.
type model struct {
	cfg           *Fleet
	mean          float64 // work of a request on average, core seconds
	now           time.Duration
	startedAt     time.Duration // of a cold start; below 0: warm from the start
	slow          float64       // times slower
	progress      float64       // work that a request in a slot has had since the start
	running       jobs
	queue         []*job
	handshakeDebt float64 // core seconds owed to handshakes: they come before all else
	failed        bool
	recent        []recentArrival // work that has come within the window of the overload rule
	recentWork    float64         // of it
}

// job is a request at an app server.
type job struct {
	work  float64 // core seconds
	end   float64 // reading of model.progress at which it ends
	ended func()  // called when it has run
}

type recentArrival struct {
	at   time.Duration
	work float64
}

func newModel(cfg *Fleet, mean float64, now, boot time.Duration) *model {
	return &model{cfg: cfg, mean: mean, now: now, startedAt: boot, slow: 1}
}

// warmUpFraction is the share of its capacity that the server has at a time.
func (m *model) warmUpFraction(at time.Duration) float64 {
	age := at - m.startedAt
	if m.startedAt < 0 || age >= time.Duration(m.cfg.SlowStartDuration) {
		return 1
	}
	return m.cfg.SlowStartInitialFraction + (1-m.cfg.SlowStartInitialFraction)*age.Seconds()/m.cfg.SlowStartDuration.s()
}

// inFlight is the number of requests in slots and waiting.
func (m *model) inFlight() int { return len(m.running) + len(m.queue) }

// rate is the progress of one request in a slot, in core seconds a second.
func (m *model) rate() float64 {
	n := float64(len(m.running))
	if n == 0 {
		return 0
	}
	cores := float64(m.cfg.Cores)
	crowd := float64(m.inFlight())/cores - m.cfg.ContentionFrom
	eff := 1 / (1 + m.cfg.ContentionLoss*math.Max(crowd, 0))
	return math.Min(1, cores/n) * m.warmUpFraction(m.now) * eff / m.slow
}

// advance brings the model to a time. Jobs that end on the way are told in order.
func (m *model) advance(to time.Duration) {
	for m.now < to {
		step := to - m.now
		if m.startedAt >= 0 && m.warmUpFraction(m.now) < 1 {
			step = min(step, 50*time.Millisecond) // the rate changes while it warms
		}
		r := m.rate()
		if m.handshakeDebt > 0 {
			cores := float64(m.cfg.Cores) / m.slow
			if paid := time.Duration(m.handshakeDebt / cores * float64(time.Second)); paid < step {
				step, m.handshakeDebt = max(paid, 1), 0
			} else {
				m.handshakeDebt -= step.Seconds() * cores
			}
			m.now += step
			continue
		}
		if r > 0 {
			if left := time.Duration(math.Ceil((m.running[0].end - m.progress) / r * 1e9)); left <= step {
				step = max(left, 1)
				m.now += step
				m.progress = math.Max(m.progress+r*step.Seconds(), m.running[0].end)
				j := heap.Pop(&m.running).(*job)
				m.startQueued()
				j.ended()
				continue
			}
		}
		m.now += step
		m.progress += r * step.Seconds()
	}
}

// startQueued moves waiting requests into free slots.
func (m *model) startQueued() {
	for len(m.queue) > 0 && len(m.running) < m.cfg.Cores*m.cfg.SlotsPerCore {
		j := m.queue[0]
		m.queue = m.queue[1:]
		m.enter(j)
	}
}

func (m *model) enter(j *job) {
	j.end = m.progress + j.work
	heap.Push(&m.running, j)
}

// arrive takes in a request. It is false for one that is rejected unseen, and for all
// at a server that has fallen over.
func (m *model) arrive(now time.Duration, j *job) bool {
	m.advance(now)
	m.trackOverload(j.work)
	if m.failed {
		return false
	}
	if len(m.running) < m.cfg.Cores*m.cfg.SlotsPerCore {
		m.enter(j)
		return true
	}
	if len(m.queue) >= m.cfg.Cores*m.cfg.QueuePerCore {
		return false
	}
	m.queue = append(m.queue, j)
	return true
}

// trackOverload counts all work that comes to a server in slow start, also what it rejects. It fails and stays
// down when that is more than N + 3 sqrt(N) + 3 requests of mean work within the window, N being the stated
// multiple of what it can do in it: the platform's slack for chance.
func (m *model) trackOverload(work float64) {
	m.recent, m.recentWork = append(m.recent, recentArrival{m.now, work}), m.recentWork+work
	window := time.Duration(m.cfg.OverloadWindow)
	for len(m.recent) > 0 && m.recent[0].at < m.now-window {
		m.recentWork -= m.recent[0].work
		m.recent = m.recent[1:]
	}
	if m.startedAt < 0 || m.warmUpFraction(m.now) >= 1 {
		return
	}
	// Capacity over the window that begins now: a budget that a short burst can spend at once.
	can := float64(m.cfg.Cores) * m.warmUpFraction(m.now) * window.Seconds()
	n := m.cfg.OverloadFactor * can / m.mean
	if m.recentWork/m.mean > n+3*math.Sqrt(n)+3 {
		m.failed = true
	}
}

// handshake charges the work of a new connection.
func (m *model) handshake(now time.Duration) {
	m.advance(now)
	m.handshakeDebt += m.cfg.HandshakeWork.s()
}

// next is the time from now to the next end of a request; ok is false if none runs.
func (m *model) next() (time.Duration, bool) {
	if len(m.running) == 0 {
		return 0, false
	}
	wait := m.handshakeDebt * m.slow / float64(m.cfg.Cores)
	if r := m.rate(); r > 0 {
		wait += (m.running[0].end - m.progress) / r
	}
	return time.Duration(wait*1e9) + 1, true
}

// jobs is a heap by end.
type jobs []*job

func (h jobs) Len() int           { return len(h) }
func (h jobs) Less(a, b int) bool { return h[a].end < h[b].end }
func (h jobs) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *jobs) Push(x any)        { *h = append(*h, x.(*job)) }
func (h *jobs) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}
