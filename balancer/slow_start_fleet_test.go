package balancer

import (
	"container/heap"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// coldStartFleet simulates a fleet of nodes whose endpoints start cold under load, on a simulated clock.
type coldStartFleet struct {
	settings   Settings
	rng        *rand.Rand
	now        time.Duration
	queue      eventQueue
	events     int
	nodes      []*Balancer
	inboxes    [][]time.Duration // times at which each node received its messages of the last second
	endpoints  map[string]*coldStartEndpoint
	attempts   map[string]int // number of attempts by request id
	offered    float64        // requests per second offered to the whole fleet
	sent       int            // attempts at cold endpoints
	worstRatio float64        // highest ratio of a cold endpoint's work in the overload window to its limit
	detail     string         // description of the attempt that caused worstRatio
}

// coldStartEndpoint is a simulated endpoint: some cores with a queue.
type coldStartEndpoint struct {
	Endpoint
	queue    []coldStartJob
	busy     int                // number of cores in use
	attempts []coldStartAttempt // attempts since its last start
}

type coldStartAttempt struct {
	at   time.Duration
	work float64
}

type coldStartJob struct {
	work   float64 // seconds on one core of a warm endpoint
	answer func(res Result, load *LoadReport)
}

// coldStartListDelay is the maximum time until a node receives a change of the list.
const coldStartListDelay = 1500 * ms

// Capacity of an endpoint.
const (
	coldStartCores    = 4
	coldStartQueue    = 40   // maximum number of queued requests
	coldStartMeanWork = 0.06 // mean work of a request, in seconds on one core
)

// The actual warm-up of an endpoint. It is faster than the settings say. An endpoint can therefore serve
// much more than the slow-start budget, and only the budget limits what the nodes send.
const (
	coldStartInitialFraction = 0.45 // fraction of the capacity at the start
	coldStartDuration        = 6 * time.Second
)

// coldStartHost connects a node to the simulated fleet.
type coldStartHost struct {
	fleet *coldStartFleet
	node  int
}

func newColdStartFleet(t *testing.T, nodes, endpoints int, seed uint64) *coldStartFleet {
	f := &coldStartFleet{
		now:       testStart,
		rng:       rand.New(rand.NewPCG(seed, 2)),
		endpoints: map[string]*coldStartEndpoint{},
		attempts:  map[string]int{},
		inboxes:   make([][]time.Duration, nodes),
	}
	f.settings = testSettings()
	f.settings.NodeCount, f.settings.PeerMessagesPerSecond = nodes, 40
	f.settings.LoadReports = LoadReportsInResponses
	f.settings.SlowStartInitialFraction, f.settings.SlowStartDuration = 0.16, 16*time.Second
	f.settings.OverloadWindow = 1500 * ms
	f.settings.Plans = []Plan{{Name: "wide", Rate: 1e6, Burst: 1e6, WeightFactor: 1}}
	var list []Endpoint
	for i := range endpoints {
		s := Endpoint{ID: fmt.Sprintf("s%d", i), MachineType: "k", Zone: "a", Weight: 4}
		f.endpoints[s.ID] = &coldStartEndpoint{Endpoint: s}
		list = append(list, s)
	}
	for index := range nodes {
		set := f.settings
		set.NodeIndex = index
		b, err := New(set, seed*1000+uint64(index))
		if err != nil {
			t.Fatal(err)
		}
		f.nodes = append(f.nodes, b)
		b.Start(testStart, coldStartHost{f, index})
		b.EndpointsUpdated(testStart, UpdateSnapshot, list, coldStartHost{f, index})
	}
	f.after(0, f.arrive)
	return f
}

func (f *coldStartFleet) after(d time.Duration, run func()) {
	f.events++
	heap.Push(&f.queue, scheduledEvent{f.now + max(d, 0), f.events, run})
}

// run advances the simulated clock by d and runs the events that are due.
func (f *coldStartFleet) run(d time.Duration) {
	for end := f.now + d; ; {
		if len(f.queue) == 0 || f.queue[0].at > end {
			f.now = end
			return
		}
		e := heap.Pop(&f.queue).(scheduledEvent)
		f.now = e.at
		e.run()
	}
}

// arrive sends a request to a random node and schedules the next one. Some nodes get several times the mean
// rate.
func (f *coldStartFleet) arrive() {
	if f.offered == 0 {
		f.after(ms, f.arrive)
		return
	}
	f.after(time.Duration(f.rng.ExpFloat64()/f.offered*float64(time.Second)), f.arrive)
	index := int(float64(len(f.nodes)) * math.Pow(f.rng.Float64(), 1.5))
	q := newRequest(f.events, []string{"safe", "unsafe"}[f.rng.IntN(2)], "wide", uint64(f.rng.IntN(500)))
	f.nodes[index].RequestArrived(f.now, q, coldStartHost{f, index})
}

// startEndpoints starts or restarts endpoints. Each node receives the change within coldStartListDelay.
func (f *coldStartFleet) startEndpoints(ids ...string) {
	var list []Endpoint
	for _, id := range ids {
		s := Endpoint{ID: id, MachineType: "k", Zone: "a", Weight: 4, StartedAt: f.now}
		f.endpoints[id] = &coldStartEndpoint{Endpoint: s}
		list = append(list, s)
	}
	for index, b := range f.nodes {
		f.after(time.Duration(f.rng.Int64N(int64(coldStartListDelay))), func() {
			b.EndpointsUpdated(f.now, UpdateDelta, list, coldStartHost{f, index})
		})
	}
}

// stopEndpoints removes endpoints. Each node receives the change within the given time.
func (f *coldStartFleet) stopEndpoints(within time.Duration, ids ...string) {
	var list []Endpoint
	for _, id := range ids {
		s := f.endpoints[id].Endpoint
		s.State = Removed
		list = append(list, s)
		delete(f.endpoints, id)
	}
	for index, b := range f.nodes {
		f.after(time.Duration(f.rng.Int64N(int64(within))), func() {
			b.EndpointsUpdated(f.now, UpdateDelta, list, coldStartHost{f, index})
		})
	}
}

// warmUpFraction returns the fraction of its capacity that an endpoint has now, if it starts with the
// initial fraction and is warm after the given duration.
func (f *coldStartFleet) warmUpFraction(
	s *coldStartEndpoint, initial float64, duration time.Duration,
) float64 {
	age := f.now - s.StartedAt
	if s.StartedAt == 0 || age >= duration {
		return 1
	}
	return initial + (1-initial)*age.Seconds()/duration.Seconds()
}

// recordAttempt compares the work sent to a cold endpoint with the limit that the settings give: N requests
// of mean work in the overload window, plus 2*sqrt(N) + 2 for random variation.
func (f *coldStartFleet) recordAttempt(s *coldStartEndpoint, work float64) {
	s.attempts = append(s.attempts, coldStartAttempt{f.now, work})
	fraction := f.warmUpFraction(s, f.settings.SlowStartInitialFraction, f.settings.SlowStartDuration)
	if fraction >= 1 {
		return
	}
	f.sent++
	sum := 0.0
	for _, a := range s.attempts {
		if f.now-a.at <= f.settings.OverloadWindow {
			sum += a.work / coldStartMeanWork
		}
	}
	n := f.settings.OverloadFactor * fraction * coldStartCores / coldStartMeanWork *
		f.settings.OverloadWindow.Seconds()
	if ratio := sum / (n + 2*math.Sqrt(n) + 2); ratio > f.worstRatio {
		f.worstRatio = ratio
		f.detail = fmt.Sprintf("%s, %v after its start: %.1f requests of mean work in %v, N = %.1f", s.ID,
			f.now-s.StartedAt, sum, f.settings.OverloadWindow, n)
	}
}

func (p coldStartHost) SendAttempt(id, endpoint string, timeout, _ time.Duration) {
	f := p.fleet
	b := f.nodes[p.node]
	r := b.requests.byID[id]
	number, sentAt, end := f.attempts[id], f.now, r.deadline
	f.attempts[id]++
	if timeout > 0 {
		end = min(end, f.now+timeout)
	}
	finished := false
	finish := func(res Result, load *LoadReport) {
		if finished {
			return
		}
		finished = true
		b.AttemptFinished(f.now, Outcome{
			ID: id, Attempt: number, Answered: res == OK, Result: res,
			EndpointID: endpoint, Elapsed: f.now - sentAt, LoadReport: load,
		}, p)
	}
	f.after(end-f.now, func() { finish(TimedOut, nil) })
	f.after(ms, func() {
		s := f.endpoints[endpoint]
		if s == nil {
			finish(ConnectFailed, nil)
			return
		}
		job := coldStartJob{work: f.rng.ExpFloat64() * coldStartMeanWork, answer: finish}
		f.recordAttempt(s, job.work)
		s.start(f, job)
	})
}

// start runs a job or queues it.
func (s *coldStartEndpoint) start(f *coldStartFleet, job coldStartJob) {
	load := &LoadReport{InFlight: float64(s.busy + len(s.queue)), Queued: -1, Utilization: -1}
	switch {
	case s.busy < coldStartCores:
		s.busy++
		f.after(time.Duration(job.work/f.warmUpFraction(s, coldStartInitialFraction,
			coldStartDuration)*float64(time.Second)), func() {
			s.busy--
			job.answer(OK, load)
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				s.start(f, next)
			}
		})
	case len(s.queue) < coldStartQueue:
		s.queue = append(s.queue, job)
	default:
		job.answer(Overloaded, load)
	}
}

func (p coldStartHost) SendPeer(to int, message []byte) {
	f := p.fleet
	message = append([]byte(nil), message...)
	for peer := range f.nodes {
		if peer == p.node || to != AllPeers && peer != to {
			continue
		}
		f.after(6*ms, func() {
			inbox := f.inboxes[peer]
			for len(inbox) > 0 && f.now-inbox[0] >= time.Second {
				inbox = inbox[1:]
			}
			if f.inboxes[peer] = inbox; float64(len(inbox)) < f.settings.PeerMessagesPerSecond {
				f.inboxes[peer] = append(inbox, f.now)
				f.nodes[peer].PeerMessage(f.now, p.node, message, coldStartHost{f, peer})
			}
		})
	}
}

func (p coldStartHost) SetTimer(token uint64, d time.Duration) {
	p.fleet.after(d, func() { p.fleet.nodes[p.node].TimerFired(p.fleet.now, token, p) })
}

func (coldStartHost) Reject(string, time.Duration)         {}
func (coldStartHost) Fail(string)                          {}
func (coldStartHost) CancelAttempt(string, int)            {}
func (coldStartHost) HealthCheck(string)                   {}
func (coldStartHost) WatchEndpoints(bool)                  {}
func (coldStartHost) Log(slog.Level, string, ...slog.Attr) {}

// Guards against cold endpoints that are overloaded by the requests of all nodes together, in fleets of 20
// to 30 nodes. That may happen when endpoints join or restart during a burst, because each node decides
// alone.
func TestNodesTogetherDoNotOverloadColdEndpoints(t *testing.T) {
	const warm = 12
	ids := func(from, to int) (ids []string) {
		for i := from; i < to; i++ {
			ids = append(ids, fmt.Sprintf("s%d", i))
		}
		return ids
	}
	capacity := float64(warm) * coldStartCores / coldStartMeanWork // requests per second
	workloads := map[string]func(f *coldStartFleet){
		"added during a burst": func(f *coldStartFleet) {
			f.offered = 0.5 * capacity
			f.run(2 * time.Second)
			f.startEndpoints(ids(warm, warm+4)...)
			f.stopEndpoints(coldStartListDelay, ids(0, 9)...)
			f.offered *= 1.3
			f.run(8 * time.Second)
		},
		"restarted during a burst": func(f *coldStartFleet) {
			f.offered = 0.5 * capacity
			f.run(2 * time.Second)
			f.offered *= 1.5
			f.stopEndpoints(coldStartListDelay, ids(2, warm)...)
			f.run(3 * time.Second)
			f.startEndpoints(ids(2, 6)...)
			f.run(8 * time.Second)
		},
		"idle before the burst": func(f *coldStartFleet) {
			f.offered = 0.5 * capacity
			f.run(2 * time.Second)
			f.offered = 0
			f.startEndpoints(ids(warm, warm+4)...)
			f.run(4 * time.Second)
			f.stopEndpoints(ms, ids(0, 10)...) // leaves only two warm endpoints
			f.offered = capacity
			f.run(4 * time.Second)
		},
		"none warm": func(f *coldStartFleet) {
			f.stopEndpoints(ms, ids(0, warm)...)
			f.startEndpoints(ids(warm, warm+4)...)
			f.offered = capacity
			f.run(6 * time.Second)
		},
	}
	for name, run := range workloads {
		for _, nodes := range []int{20, 24, 30} {
			for seed := uint64(1); seed <= 2; seed++ {
				f := newColdStartFleet(t, nodes, warm, seed)
				run(f)
				t.Logf("%s, %d nodes, seed %d: %d requests to cold endpoints, at most %.2f of the limit (%s)",
					name, nodes, seed, f.sent, f.worstRatio, f.detail)
				if f.sent == 0 {
					t.Errorf("%s, %d nodes, seed %d: no request to a cold endpoint", name, nodes, seed)
				}
				if f.worstRatio > 1 {
					t.Errorf("%s, %d nodes, seed %d: a cold endpoint is overloaded: %s", name, nodes, seed,
						f.detail)
				}
			}
		}
	}
}
