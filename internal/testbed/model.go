package testbed

import (
	"container/heap"
	"math"
	"time"
)

// model simulates the execution of requests on one app server: a processor-sharing machine with cores, slots
// and a queue. It is a state machine that works with real or simulated time. The caller passes the current
// time, which must not decrease. With real time, it calls advance again after the time that next returns.
//
// All requests in slots progress at the same rate. One number therefore determines the order in which they
// end: the work that a request in a slot since the start would have received (progress). A request that gets
// a slot when progress is v ends when progress is v plus the request's work.
type model struct {
	cfg           *Fleet
	meanWork      float64         // mean work of a request, in core seconds
	now           time.Duration   // time to which the model has advanced
	startedAt     time.Duration   // start of the slow start; negative: warm from the beginning
	slowdown      float64         // factor by which a fault slows the server down; 1: no fault
	progress      float64         // work done for a request in a slot since the start, in core seconds
	running       jobs            // requests in slots
	queue         []*job          // requests that wait for a slot, oldest first
	handshakeDebt float64         // pending work of handshakes, in core seconds; done before all other work
	failed        bool            // overloaded to failure; the server rejects everything
	recent        []recentArrival // requests that arrived within OverloadWindow, including rejected ones
	recentWork    float64         // total work of recent, in core seconds
}

// job is a request at an app server.
type job struct {
	work        float64 // core seconds
	endProgress float64 // value of model.progress at which the job ends
	onComplete  func()  // called when the job ends
}

// recentArrival is the arrival of a request with the given work, in core seconds.
type recentArrival struct {
	at   time.Duration
	work float64
}

// newModel returns a model at time now. A server with a startedAt that is not negative is in slow start from
// then on; otherwise it is warm. meanWork is the mean work of a request, in core seconds.
func newModel(cfg *Fleet, meanWork float64, now, startedAt time.Duration) *model {
	return &model{cfg: cfg, meanWork: meanWork, now: now, startedAt: startedAt, slowdown: 1}
}

// warmUpFraction returns the fraction of its full capacity that the server has at the given time.
func (m *model) warmUpFraction(at time.Duration) float64 {
	age := at - m.startedAt
	if m.startedAt < 0 || age >= time.Duration(m.cfg.SlowStartDuration) {
		return 1
	}
	return m.cfg.SlowStartInitialFraction + (1-m.cfg.SlowStartInitialFraction)*age.Seconds()/m.cfg.SlowStartDuration.s()
}

// inFlight returns the number of requests in slots and in the queue.
func (m *model) inFlight() int { return len(m.running) + len(m.queue) }

// rate returns the progress of each request in a slot, in core seconds per second. Requests beyond
// ContentionFrom per core reduce the efficiency.
func (m *model) rate() float64 {
	n := float64(len(m.running))
	if n == 0 {
		return 0
	}
	cores := float64(m.cfg.Cores)
	excess := float64(m.inFlight())/cores - m.cfg.ContentionFrom
	efficiency := 1 / (1 + m.cfg.ContentionLoss*math.Max(excess, 0))
	return math.Min(1, cores/n) * m.warmUpFraction(m.now) * efficiency / m.slowdown
}

// advance advances the model to the given time. It calls onComplete of the jobs that end until then, in the
// order in which they end.
func (m *model) advance(to time.Duration) {
	for m.now < to {
		step := to - m.now
		if m.startedAt >= 0 && m.warmUpFraction(m.now) < 1 {
			step = min(step, 50*time.Millisecond) // the rate changes during slow start
		}
		r := m.rate()
		if m.handshakeDebt > 0 {
			cores := float64(m.cfg.Cores) / m.slowdown
			if needed := time.Duration(m.handshakeDebt / cores * float64(time.Second)); needed < step {
				step, m.handshakeDebt = max(needed, 1), 0
			} else {
				m.handshakeDebt -= step.Seconds() * cores
			}
			m.now += step
			continue
		}
		if r > 0 {
			if remaining := time.Duration(math.Ceil((m.running[0].endProgress - m.progress) / r * 1e9)); remaining <= step {
				step = max(remaining, 1)
				m.now += step
				m.progress = math.Max(m.progress+r*step.Seconds(), m.running[0].endProgress)
				j := heap.Pop(&m.running).(*job)
				m.startQueued()
				j.onComplete()
				continue
			}
		}
		m.now += step
		m.progress += r * step.Seconds()
	}
}

// startQueued moves queued requests into free slots.
func (m *model) startQueued() {
	for len(m.queue) > 0 && len(m.running) < m.cfg.Cores*m.cfg.SlotsPerCore {
		j := m.queue[0]
		m.queue = m.queue[1:]
		m.start(j)
	}
}

// start puts a request into a slot.
func (m *model) start(j *job) {
	j.endProgress = m.progress + j.work
	heap.Push(&m.running, j)
}

// arrive accepts a request at time now. It returns false if the server rejects the request without running
// it, because the queue is full or the server was overloaded to failure.
func (m *model) arrive(now time.Duration, j *job) bool {
	m.advance(now)
	m.trackOverload(j.work)
	if m.failed {
		return false
	}
	if len(m.running) < m.cfg.Cores*m.cfg.SlotsPerCore {
		m.start(j)
		return true
	}
	if len(m.queue) >= m.cfg.Cores*m.cfg.QueuePerCore {
		return false
	}
	m.queue = append(m.queue, j)
	return true
}

// trackOverload records the work of an arriving request, including a request that is rejected. A server in
// slow start fails permanently if the work within OverloadWindow exceeds that of N + 3 sqrt(N) + 3 mean
// requests. N is OverloadFactor times the number of mean requests that the server can process within the
// window. The other terms are the platform's allowance for random variation.
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
	// Capacity of a whole window at the current warm-up fraction. A short burst may use it up at once.
	capacity := float64(m.cfg.Cores) * m.warmUpFraction(m.now) * window.Seconds()
	n := m.cfg.OverloadFactor * capacity / m.meanWork
	if m.recentWork/m.meanWork > n+3*math.Sqrt(n)+3 {
		m.failed = true
	}
}

// handshake adds the work of the handshake of a new connection.
func (m *model) handshake(now time.Duration) {
	m.advance(now)
	m.handshakeDebt += m.cfg.HandshakeWork.s()
}

// next returns the time from m.now until the next running request ends, at the current rate. During slow
// start the rate rises, so the request may end earlier. next returns false if no request is running.
func (m *model) next() (time.Duration, bool) {
	if len(m.running) == 0 {
		return 0, false
	}
	wait := m.handshakeDebt * m.slowdown / float64(m.cfg.Cores)
	if r := m.rate(); r > 0 {
		wait += (m.running[0].endProgress - m.progress) / r
	}
	return time.Duration(wait*1e9) + 1, true
}

// jobs is a heap of jobs, ordered by endProgress.
type jobs []*job

func (h jobs) Len() int           { return len(h) }
func (h jobs) Less(a, b int) bool { return h[a].endProgress < h[b].endProgress }
func (h jobs) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *jobs) Push(x any)        { *h = append(*h, x.(*job)) }
func (h *jobs) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}
