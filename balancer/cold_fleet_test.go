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

// coldFleet is a tier of gateways before app servers that start cold under load, on a clock of its own.
type coldFleet struct {
	set      Settings
	rng      *rand.Rand
	now      time.Duration
	queue    queue
	n        int
	gates    []*Balancer
	inboxes  [][]time.Duration // when each gateway took in its latest messages
	servers  map[string]*coldServer
	attempts map[string]int // of each request
	offered  float64        // requests a second of the whole fleet
	sent     int            // requests to cold servers
	worst    float64        // of a cold server: work of a window over what it bears
	detail   string
}

// coldServer is an app server with a queue before its cores.
type coldServer struct {
	Endpoint
	queue []coldJob
	busy  int
	sends []coldSend // since its last start
}

type coldSend struct {
	at   time.Duration
	work float64
}

type coldJob struct {
	work   float64 // in seconds of a core of a warm server
	answer func(res Result, load *LoadReport)
}

// Sizes of the app servers.
const (
	coldCores    = 4
	coldQueue    = 40
	coldMeanWork = 0.06 // seconds of a core for a mean request
)

// What a server has at its start, and when it is warm. That is more than the settings tell: it answers well
// beyond what rule 4 allows, so that nothing but the rule holds a gateway back.
const (
	coldFrom   = 0.45
	coldWithin = 6 * time.Second
)

// coldPort is a gateway's way to the fleet.
type coldPort struct {
	f  *coldFleet
	me int
}

func newColdFleet(t *testing.T, gates, servers int, seed uint64) *coldFleet {
	f := &coldFleet{
		now: t0, rng: rand.New(rand.NewPCG(seed, 2)), servers: map[string]*coldServer{}, attempts: map[string]int{},
		inboxes: make([][]time.Duration, gates),
	}
	f.set = testSettings()
	f.set.NodeCount, f.set.PeerMessagesPerSecond, f.set.LoadReports = gates, 40, LoadReportsInResponses
	f.set.SlowStartInitialFraction, f.set.SlowStartDuration, f.set.OverloadWindow = 0.16, 16*time.Second, 1500*ms
	f.set.Plans = []Plan{{Name: "wide", Rate: 1e6, Burst: 1e6, WeightFactor: 1}}
	var list []Endpoint
	for i := range servers {
		s := Endpoint{ID: fmt.Sprintf("s%d", i), MachineType: "k", Zone: "a", Weight: 4}
		f.servers[s.ID] = &coldServer{Endpoint: s}
		list = append(list, s)
	}
	for me := range gates {
		set := f.set
		set.NodeIndex = me
		g, err := New(set, seed*1000+uint64(me))
		if err != nil {
			t.Fatal(err)
		}
		f.gates = append(f.gates, g)
		g.Start(t0, coldPort{f, me})
		g.EndpointsUpdated(t0, UpdateSnapshot, list, coldPort{f, me})
	}
	f.after(0, f.arrive)
	return f
}

func (f *coldFleet) after(d time.Duration, run func()) {
	f.n++
	heap.Push(&f.queue, event{f.now + max(d, 0), f.n, run})
}

// run lets so much time pass.
func (f *coldFleet) run(d time.Duration) {
	for end := f.now + d; ; {
		if len(f.queue) == 0 || f.queue[0].at > end {
			f.now = end
			return
		}
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
	}
}

// arrive is the arrival of a request. Some gateways get several times the mean.
func (f *coldFleet) arrive() {
	if f.offered == 0 {
		f.after(ms, f.arrive)
		return
	}
	f.after(time.Duration(f.rng.ExpFloat64()/f.offered*float64(time.Second)), f.arrive)
	me := int(float64(len(f.gates)) * math.Pow(f.rng.Float64(), 1.5))
	q := newRequest(f.n, []string{"safe", "unsafe"}[f.rng.IntN(2)], "wide", uint64(f.rng.IntN(500)))
	f.gates[me].RequestArrived(f.now, q, coldPort{f, me})
}

// start is a start of servers, new or come back; each gateway hears of it within the time told.
func (f *coldFleet) start(told time.Duration, ids ...string) {
	var list []Endpoint
	for _, id := range ids {
		s := Endpoint{ID: id, MachineType: "k", Zone: "a", Weight: 4, StartedAt: f.now}
		f.servers[id] = &coldServer{Endpoint: s}
		list = append(list, s)
	}
	for me, g := range f.gates {
		f.after(time.Duration(f.rng.Int64N(int64(told))), func() { g.EndpointsUpdated(f.now, UpdateDelta, list, coldPort{f, me}) })
	}
}

// stop ends servers; each gateway hears of it within the time told.
func (f *coldFleet) stop(told time.Duration, ids ...string) {
	var list []Endpoint
	for _, id := range ids {
		s := f.servers[id].Endpoint
		s.State = Removed
		list = append(list, s)
		delete(f.servers, id)
	}
	for me, g := range f.gates {
		f.after(time.Duration(f.rng.Int64N(int64(told))), func() { g.EndpointsUpdated(f.now, UpdateDelta, list, coldPort{f, me}) })
	}
}

// warmth is the share of its capacity that a server has by now, if it has so much at its start and is warm
// within a time.
func (f *coldFleet) warmth(s *coldServer, from float64, within time.Duration) float64 {
	age := f.now - s.StartedAt
	if s.StartedAt == 0 || age >= within {
		return 1
	}
	return from + (1-from)*age.Seconds()/within.Seconds()
}

// count holds a send to a cold server against what the settings allow: N requests of mean work in the time in
// which it falls over, and 2 x root of N + 2 for chance.
func (f *coldFleet) count(s *coldServer, work float64) {
	s.sends = append(s.sends, coldSend{f.now, work})
	warmth := f.warmth(s, f.set.SlowStartInitialFraction, f.set.SlowStartDuration)
	if warmth >= 1 {
		return
	}
	f.sent++
	sum := 0.0
	for _, a := range s.sends {
		if f.now-a.at <= f.set.OverloadWindow {
			sum += a.work / coldMeanWork
		}
	}
	n := f.set.OverloadFactor * warmth * coldCores / coldMeanWork * f.set.OverloadWindow.Seconds()
	if share := sum / (n + 2*math.Sqrt(n) + 2); share > f.worst {
		f.worst = share
		f.detail = fmt.Sprintf("%s, %v after its start: %.1f requests of mean work in %v, N %.1f", s.ID, f.now-s.StartedAt, sum, f.set.OverloadWindow, n)
	}
}

func (p coldPort) SendAttempt(id, server string, timeout, _ time.Duration) {
	f := p.f
	g := f.gates[p.me]
	r := g.requests.byID[id]
	number, at, end := f.attempts[id], f.now, r.deadline
	f.attempts[id]++
	if timeout > 0 {
		end = min(end, f.now+timeout)
	}
	over := false
	outcome := func(res Result, load *LoadReport) {
		if over {
			return
		}
		over = true
		g.AttemptFinished(f.now, Outcome{ID: id, Attempt: number, Answered: res == OK, Result: res, EndpointID: server, Elapsed: f.now - at, LoadReport: load}, p)
	}
	f.after(end-f.now, func() { outcome(TimedOut, nil) })
	f.after(ms, func() {
		s := f.servers[server]
		if s == nil {
			outcome(ConnectFailed, nil)
			return
		}
		job := coldJob{work: f.rng.ExpFloat64() * coldMeanWork, answer: outcome}
		f.count(s, job.work)
		s.take(f, job)
	})
}

// take runs a job or queues it.
func (s *coldServer) take(f *coldFleet, job coldJob) {
	load := &LoadReport{InFlight: float64(s.busy + len(s.queue)), Queued: -1, Utilization: -1}
	switch {
	case s.busy < coldCores:
		s.busy++
		f.after(time.Duration(job.work/f.warmth(s, coldFrom, coldWithin)*float64(time.Second)), func() {
			s.busy--
			job.answer(OK, load)
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				s.take(f, next)
			}
		})
	case len(s.queue) < coldQueue:
		s.queue = append(s.queue, job)
	default:
		job.answer(Overloaded, load)
	}
}

func (p coldPort) SendPeer(to int, message []byte) {
	f := p.f
	message = append([]byte(nil), message...)
	for peer := range f.gates {
		if peer == p.me || to != AllPeers && peer != to {
			continue
		}
		f.after(6*ms, func() {
			latest := f.inboxes[peer]
			for len(latest) > 0 && f.now-latest[0] >= time.Second {
				latest = latest[1:]
			}
			if f.inboxes[peer] = latest; float64(len(latest)) < f.set.PeerMessagesPerSecond {
				f.inboxes[peer] = append(latest, f.now)
				f.gates[peer].PeerMessage(f.now, p.me, message, coldPort{f, peer})
			}
		})
	}
}

func (p coldPort) SetTimer(token uint64, d time.Duration) {
	p.f.after(d, func() { p.f.gates[p.me].TimerFired(p.f.now, token, p) })
}

func (coldPort) Reject(string, time.Duration)         {}
func (coldPort) Fail(string)                          {}
func (coldPort) CancelAttempt(string, int)            {}
func (coldPort) HealthCheck(string)                   {}
func (coldPort) WatchEndpoints(bool)                  {}
func (coldPort) Log(slog.Level, string, ...slog.Attr) {}

// Rule 4 for a fleet of twenty to thirty gateways: what all of them send together leaves each cold server
// standing, also where new servers join and others come back cold under a burst.
func TestColdServersStandUnderTheSumOfAFleet(t *testing.T) {
	const warm, told = 12, 1500 * ms
	ids := func(from, to int) (ids []string) {
		for i := from; i < to; i++ {
			ids = append(ids, fmt.Sprintf("s%d", i))
		}
		return ids
	}
	capacity := float64(warm) * coldCores / coldMeanWork // requests a second
	days := map[string]func(f *coldFleet){
		"joined under a burst": func(f *coldFleet) {
			f.offered = 0.5 * capacity
			f.run(2 * time.Second)
			f.start(told, ids(warm, warm+4)...)
			f.stop(told, ids(0, 9)...)
			f.offered *= 1.3
			f.run(8 * time.Second)
		},
		"back cold under a burst": func(f *coldFleet) {
			f.offered = 0.5 * capacity
			f.run(2 * time.Second)
			f.offered *= 1.5
			f.stop(told, ids(2, warm)...)
			f.run(3 * time.Second)
			f.start(told, ids(2, 6)...)
			f.run(8 * time.Second)
		},
		"rested before the burst": func(f *coldFleet) {
			f.offered = 0.5 * capacity
			f.run(2 * time.Second)
			f.offered = 0
			f.start(told, ids(warm, warm+4)...)
			f.run(4 * time.Second)
			f.stop(ms, ids(0, 10)...) // so that few warm ones are left
			f.offered = capacity
			f.run(4 * time.Second)
		},
		"none warm": func(f *coldFleet) {
			f.stop(ms, ids(0, warm)...)
			f.start(told, ids(warm, warm+4)...)
			f.offered = capacity
			f.run(6 * time.Second)
		},
	}
	for name, day := range days {
		for _, gates := range []int{20, 24, 30} {
			for seed := uint64(1); seed <= 2; seed++ {
				f := newColdFleet(t, gates, warm, seed)
				day(f)
				t.Logf("%s, %d gateways, seed %d: %d requests to cold servers, worst %.2f of the bound (%s)", name, gates, seed, f.sent, f.worst, f.detail)
				if f.sent == 0 {
					t.Errorf("%s, %d gateways, seed %d: no request to a cold server", name, gates, seed)
				}
				if f.worst > 1 {
					t.Errorf("%s, %d gateways, seed %d: a cold server falls: %s", name, gates, seed, f.detail)
				}
			}
		}
	}
}
