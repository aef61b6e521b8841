package balancer

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"opalhook/internal/golden"
)

// fleetLink connects gateways and writes down what they do. Each message is compared with the next one of a golden
// transcript, and the recorded message is what its receiver gets: so the transcript fixes what a gateway sends as well
// as what it makes of a message.
type fleetLink struct {
	t        *testing.T
	now      time.Duration
	gates    map[int]*Balancer
	recorded [][]byte // the messages of the golden file, in order
	written  bytes.Buffer
	kinds    map[byte]int
	waiting  []datagram
}

// datagram is a message on its way.
type datagram struct {
	from, to int
	message  []byte
}

// linkEnd is the end of a link at one gateway.
type linkEnd struct {
	*fleetLink
	at int
}

func (e linkEnd) note(format string, a ...any) {
	fmt.Fprintf(&e.written, "%v %d: %s\n", e.now, e.at, fmt.Sprintf(format, a...))
}

func (e linkEnd) SendAttempt(id, server string, _, _ time.Duration) { e.note("send %s %s", id, server) }

func (e linkEnd) Reject(id string, wait time.Duration) { e.note("refuse %s %v", id, wait.Round(ms)) }

func (e linkEnd) Fail(id string) { e.note("fail %s", id) }

func (e linkEnd) CancelAttempt(id string, n int) { e.note("cancel %s %d", id, n) }

func (e linkEnd) SetTimer(uint64, time.Duration) {}

func (e linkEnd) HealthCheck(server string) { e.note("probe %s", server) }

func (e linkEnd) WatchEndpoints(bool) {}

func (e linkEnd) Log(slog.Level, string, ...slog.Attr) {}

func (e linkEnd) SendPeer(peer int, message []byte) {
	e.note("tell %d %x", peer, message)
	e.kinds[message[0]]++
	sent := bytes.Clone(message)
	if len(e.recorded) > 0 {
		sent, e.recorded = e.recorded[0], e.recorded[1:]
	}
	e.waiting = append(e.waiting, datagram{e.at, peer, sent})
}

// deliver hands on all messages that are on their way, and those that come of them.
func (l *fleetLink) deliver() {
	for len(l.waiting) > 0 {
		d := l.waiting[0]
		l.waiting = l.waiting[1:]
		l.now += 5 * ms
		if g := l.gates[d.to]; g != nil {
			g.PeerMessage(l.now, d.from, d.message, linkEnd{l, d.to})
		}
	}
}

func (l *fleetLink) request(at int, q Request) {
	l.gates[at].RequestArrived(l.now, q, linkEnd{l, at})
	l.deliver()
}

func (l *fleetLink) outcome(at int, o Outcome) {
	l.gates[at].AttemptFinished(l.now, o, linkEnd{l, at})
	l.deliver()
}

func (l *fleetLink) timer(at int, token uint64) {
	l.gates[at].TimerFired(l.now, token, linkEnd{l, at})
	l.deliver()
}

// server returns the server that a request was sent to last.
func (l *fleetLink) server(id string) (server string) {
	for line := range strings.Lines(l.written.String()) {
		if _, to, sent := strings.Cut(line, ": send "+id+" "); sent {
			server = strings.TrimSpace(to)
		}
	}
	return server
}

// join adds a gateway, or starts one anew.
func (l *fleetLink) join(at int, s Settings, servers []Endpoint) {
	l.t.Helper()
	s.NodeIndex = at
	g, err := New(s, uint64(at+1)+uint64(l.now-t0))
	if err != nil {
		l.t.Fatal(err)
	}
	l.gates[at] = g
	g.Start(l.now, linkEnd{l, at})
	g.EndpointsUpdated(l.now, UpdateCached, servers, linkEnd{l, at})
}

// messages returns the messages of a transcript.
func messages(t *testing.T, transcript []byte) (all [][]byte) {
	t.Helper()
	for line := range strings.Lines(string(transcript)) {
		if f := strings.Fields(line); len(f) == 5 && f[2] == "tell" {
			message, err := hex.DecodeString(f[4])
			if err != nil {
				t.Fatal(err)
			}
			all = append(all, message)
		}
	}
	return all
}

// datagramCases are situations of a fleet; want are the kinds of messages that are exchanged.
var datagramCases = []struct {
	name string
	want []byte
	play func(*fleetLink)
}{
	{"gossip", []byte{kindGossip}, playGossip},
	{"asks", []byte{kindQuotaRequest, kindQuotaGrant}, playAsks},
	{"places", []byte{kindQuotaRequest, kindQuotaGrant, kindQuotaRelease}, playPlaces},
	{"units", []byte{kindQuotaRequest, kindQuotaGrant, kindQuotaRelease, kindReconciliation}, playUnits},
}

// Gateways exchange the recorded messages and do what was recorded on receiving them.
func TestGoldenDatagrams(t *testing.T) {
	for _, c := range datagramCases {
		t.Run(c.name, func(t *testing.T) {
			name := "datagrams/" + c.name + ".txt"
			play := func(recorded [][]byte) *fleetLink {
				l := &fleetLink{t: t, now: t0, gates: map[int]*Balancer{}, recorded: recorded, kinds: map[byte]int{}}
				c.play(l)
				return l
			}
			free := play(nil)
			transcript := golden.Check(t, name, free.written.Bytes())
			golden.Same(t, name+" with the recorded messages", play(messages(t, transcript)).written.Bytes(), transcript)
			for _, kind := range c.want {
				if free.kinds[kind] == 0 {
					t.Errorf("no message of kind %d", kind)
				}
			}
		})
	}
}

// playGossip has two gateways share stores with a rate, a cap on what is open and a ceiling, and tell with repeats, of
// which the second message is lost. What the other one then sends shows what it was told.
func playGossip(l *fleetLink) {
	s := testSettings()
	s.NodeCount = 2
	l.join(0, s, fleet(60))
	l.join(1, s, fleet(60))
	for round, customer := range []uint64{1, 1 << 40, 1, 3} {
		for n, plan := range []string{"rate", "open", "hard"} {
			q := newRequest(10*round+n, "safe", plan, customer+uint64(n)*100)
			q.EntryNodes, q.FirstEntryNode, q.Units = 2, round%2, float64(7-2*n)
			l.request(0, q)
		}
		if round == 2 {
			l.outcome(0, Outcome{ID: "r1", Result: OK, Answered: true, EndpointID: l.server("r1"), Elapsed: 3 * ms})
		}
		if round == 1 { // what is told now is lost
			l.gates[0].TimerFired(l.now, timerGossip, linkEnd{l, 0})
			l.waiting = nil
		} else {
			l.timer(0, timerGossip)
		}
		l.now += 50 * ms
	}
	for round := range 7 {
		for n, customer := range []uint64{1, 1 << 40, 3} {
			for i, plan := range []string{"rate", "open"} {
				q := newRequest(1000+100*round+10*n+i, "safe", plan, customer+uint64(i)*100)
				q.EntryNodes, q.FirstEntryNode, q.Units = 2, n%2, 4
				l.request(1, q)
			}
		}
		l.timer(1, timerGossip)
	}
}

// wideSettings are those of a fleet so large that holders are asked.
func wideSettings() Settings {
	s := testSettings()
	s.NodeCount, s.PeerMessagesPerSecond, s.LoadReports, s.MaxUnits = 60, 8, LoadReportsInResponses, 100
	return s
}

// setRequest is of a customer that comes in through the gateways 10 to 19.
func setRequest(n int, plan string, customer uint64, units float64) Request {
	q := newRequest(n, "safe", plan, customer)
	q.EntryNodes, q.FirstEntryNode, q.Units = 10, 10, units
	return q
}

// joinSet adds the gateways 10 to 19.
func (l *fleetLink) joinSet(s Settings, servers int) {
	for at := 10; at < 20; at++ {
		l.join(at, s, fleet(servers))
	}
}

// playAsks has members ask, with news of loads, errors, dead servers and customers over their quota.
func playAsks(l *fleetLink) {
	l.joinSet(wideSettings(), 120)
	results := []Result{OK, ErrorResponse, OK, ConnectFailed, OK, TimedOut}
	for n := range 24 {
		q, at := setRequest(n, "rate", 77+uint64(n%6), float64(1+6*(n%4))), 10+n%2
		l.request(at, q)
		if server := l.server(q.ID); server != "" {
			l.outcome(at, Outcome{ID: q.ID, Result: results[n%len(results)], Answered: true, EndpointID: server, Elapsed: 20 * ms,
				LoadReport: &LoadReport{InFlight: float64(3 + 10*n), Queued: 2, Utilization: 0.5}})
		}
		if n%5 == 4 {
			for at := range 3 {
				l.timer(10+at, timerControlInterval)
			}
		}
		l.now += 15 * ms
	}
	for n := range 6 { // at others: what was told goes round
		l.request(12+n, setRequest(100+n, "rate", uint64(77+n), 1))
	}
}

// playPlaces has members take places under a cap on what is open and give them back.
func playPlaces(l *fleetLink) {
	l.joinSet(wideSettings(), 600)
	for n := range 12 {
		q, at := setRequest(n, "open", 5, 1), 10+n%2
		l.request(at, q)
		l.now += 50 * ms
		if n%3 == 2 {
			l.outcome(at, Outcome{ID: q.ID, Result: OK, Answered: true, EndpointID: l.server(q.ID), Elapsed: 20 * ms})
		}
	}
}

// playUnits has members give units back that were not sent, and tell by how much true units differ from guesses. Each
// holder can grant what is asked of it then for that reason alone.
func playUnits(l *fleetLink) {
	s := wideSettings()
	s.PostPaid = true
	l.joinSet(s, 600)
	settle := func(at int, id string, units float64) {
		l.outcome(at, Outcome{ID: id, Result: OK, Answered: true, EndpointID: l.server(id), Elapsed: 20 * ms, Units: units})
	}
	for n := range 24 { // beyond the quota, so that the holder tells of a share
		l.request(10+n%8, setRequest(n, "rate", 9, 15))
		l.now += 10 * ms
	}
	l.request(10, setRequest(25, "rate", 80, 1)) // of a customer whose holder has not heard of that share
	settle(10, "r0", 8)
	l.request(18, setRequest(30, "rate", 9, 15))
	settle(11, "r1", 9)
	l.request(19, setRequest(31, "rate", 9, 9))
	// With an ask goes what was not told before.
	l.request(13, setRequest(40, "rate", 31, 30))
	settle(13, "r40", 1)
	l.request(13, setRequest(41, "rate", 31, 35))
	// One that has restarted has settled nothing in its new life.
	l.join(13, s, fleet(600))
	l.request(13, setRequest(42, "rate", 31, 3))
	// No server is left when the grant comes.
	l.gates[11].RequestArrived(l.now, setRequest(50, "rate", 77, 3), linkEnd{l, 11})
	l.gates[11].EndpointsUpdated(l.now, UpdateSnapshot, nil, linkEnd{l, 11})
	l.deliver()
	l.request(13, setRequest(51, "rate", 77, 39))
	// With the next ask goes what was refused unasked.
	l.now += 100 * ms
	l.request(16, setRequest(60, "rate", 9, 1))
}
