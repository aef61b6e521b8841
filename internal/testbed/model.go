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
	cfg   *Fleet
	mean  float64 // work of a request on average, core seconds
	now   time.Duration
	boot  time.Duration // of a cold start; below 0: warm from the start
	slow  float64       // times slower
	done  float64       // work that a request in a slot has had since the start
	run   jobs
	wait  []*job
	tax   float64 // core seconds owed to handshakes: they come before all else
	fell  bool
	sent  []arrived // work that has come within the window of the fall-over rule
	total float64   // of it
}

// job is a request at an app server.
type job struct {
	work  float64 // core seconds
	end   float64 // reading of model.done at which it ends
	ended func()  // called when it has run
}

type arrived struct {
	at   time.Duration
	work float64
}

func newModel(cfg *Fleet, mean float64, now, boot time.Duration) *model {
	return &model{cfg: cfg, mean: mean, now: now, boot: boot, slow: 1}
}

// warmth is the share of its capacity that the server has at a time.
func (m *model) warmth(at time.Duration) float64 {
	age := at - m.boot
	if m.boot < 0 || age >= time.Duration(m.cfg.Ramp) {
		return 1
	}
	return m.cfg.ColdFrom + (1-m.cfg.ColdFrom)*age.Seconds()/m.cfg.Ramp.s()
}

// held is the number of requests in slots and waiting.
func (m *model) held() int { return len(m.run) + len(m.wait) }

// rate is the progress of one request in a slot, in core seconds a second.
func (m *model) rate() float64 {
	n := float64(len(m.run))
	if n == 0 {
		return 0
	}
	cores := float64(m.cfg.Cores)
	crowd := float64(m.held())/cores - m.cfg.ThrashAt
	eff := 1 / (1 + m.cfg.Thrash*math.Max(crowd, 0))
	return math.Min(1, cores/n) * m.warmth(m.now) * eff / m.slow
}

// advance brings the model to a time. Jobs that end on the way are told in order.
func (m *model) advance(to time.Duration) {
	for m.now < to {
		step := to - m.now
		if m.boot >= 0 && m.warmth(m.now) < 1 {
			step = min(step, 50*time.Millisecond) // the rate changes while it warms
		}
		r := m.rate()
		if m.tax > 0 {
			cores := float64(m.cfg.Cores) / m.slow
			if paid := time.Duration(m.tax / cores * float64(time.Second)); paid < step {
				step, m.tax = max(paid, 1), 0
			} else {
				m.tax -= step.Seconds() * cores
			}
			m.now += step
			continue
		}
		if r > 0 {
			if left := time.Duration(math.Ceil((m.run[0].end - m.done) / r * 1e9)); left <= step {
				step = max(left, 1)
				m.now += step
				m.done = math.Max(m.done+r*step.Seconds(), m.run[0].end)
				j := heap.Pop(&m.run).(*job)
				m.fill()
				j.ended()
				continue
			}
		}
		m.now += step
		m.done += r * step.Seconds()
	}
}

// fill moves waiting requests into free slots.
func (m *model) fill() {
	for len(m.wait) > 0 && len(m.run) < m.cfg.Cores*m.cfg.SlotsPerCore {
		j := m.wait[0]
		m.wait = m.wait[1:]
		m.enter(j)
	}
}

func (m *model) enter(j *job) {
	j.end = m.done + j.work
	heap.Push(&m.run, j)
}

// arrive takes in a request. It is false for one that is turned away unseen, and for all
// at a server that has fallen over.
func (m *model) arrive(now time.Duration, j *job) bool {
	m.advance(now)
	m.watchFall(j.work)
	if m.fell {
		return false
	}
	if len(m.run) < m.cfg.Cores*m.cfg.SlotsPerCore {
		m.enter(j)
		return true
	}
	if len(m.wait) >= m.cfg.Cores*m.cfg.QueuePerCore {
		return false
	}
	m.wait = append(m.wait, j)
	return true
}

// watchFall counts all work that comes to a cold server, also what it turns away. It falls over and stays
// down when that is more than N + 3 sqrt(N) + 3 requests of mean work within the window, N being the stated
// multiple of what it can do in it: the platform's slack for chance.
func (m *model) watchFall(work float64) {
	m.sent, m.total = append(m.sent, arrived{m.now, work}), m.total+work
	window := time.Duration(m.cfg.FallFor)
	for len(m.sent) > 0 && m.sent[0].at < m.now-window {
		m.total -= m.sent[0].work
		m.sent = m.sent[1:]
	}
	if m.boot < 0 || m.warmth(m.now) >= 1 {
		return
	}
	// Capacity over the window that begins now: a budget that a short burst can spend at once.
	can := float64(m.cfg.Cores) * m.warmth(m.now) * window.Seconds()
	n := m.cfg.FallMultiple * can / m.mean
	if m.total/m.mean > n+3*math.Sqrt(n)+3 {
		m.fell = true
	}
}

// handshake charges the work of a new connection.
func (m *model) handshake(now time.Duration) {
	m.advance(now)
	m.tax += m.cfg.HandshakeWork.s()
}

// next is the time from now to the next end of a request; ok is false if none runs.
func (m *model) next() (time.Duration, bool) {
	if len(m.run) == 0 {
		return 0, false
	}
	wait := m.tax * m.slow / float64(m.cfg.Cores)
	if r := m.rate(); r > 0 {
		wait += (m.run[0].end - m.done) / r
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
