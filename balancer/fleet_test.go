package balancer

import (
	"encoding/binary"
	"math"
	"testing"
	"time"
)

// fleetGate is a gateway of a large fleet whose servers report their load in answers.
func fleetGate(t *testing.T, me int) (*Balancer, *recorder) {
	s := testSettings()
	s.NodeIndex, s.NodeCount, s.PeerMessagesPerSecond, s.LoadReports = me, 300, 40, LoadReportsInResponses
	return newGate(t, s, fleet(4)...)
}

// learns lets a gateway hear a result of a request that it sent to a server, with a report of its load.
func learns(t *testing.T, g *Balancer, r *recorder, now time.Duration, server string, res Result, l *LoadReport) {
	t.Helper()
	q := newRequest(int(g.requests.lastNumber)+1, "unsafe", "rate", 5)
	q.Units = 0
	for _, s := range g.endpoints.tracked {
		s.listed = s.ID == server // the only one that it may go to
	}
	g.RequestArrived(now, q, r)
	for _, s := range g.endpoints.tracked {
		s.listed = true
	}
	g.AttemptFinished(now+ms, Outcome{ID: q.ID, Result: res, Answered: res == OK, EndpointID: server, Elapsed: ms, LoadReport: l}, r)
}

// whispers returns a message that a gateway sends to another, as an ask.
func whispers(g *Balancer, r *recorder, now time.Duration) []byte {
	r.tells = nil
	g.RequestArrived(now, wideRequest(int(g.requests.lastNumber)+1, 77), r)
	return r.tells[g.ownerFor(g.quotas.buckets[77])][0]
}

// sendsTo counts the requests of many that a gateway sends to a server first.
func sendsTo(g *Balancer, r *recorder, now time.Duration, server string) (to, all int) {
	r.acts = nil
	for n := range 200 {
		q := newRequest(10000+n, "safe", "rate", uint64(1000+n))
		g.RequestArrived(now, q, r)
		if req := g.requests.byID[q.ID]; req != nil {
			to += int(oneIf(req.attempts[0].endpoint.ID == server))
			all++
			g.AttemptFinished(now, Outcome{ID: q.ID, Result: OK, Answered: true, Elapsed: ms}, r)
		}
	}
	return to, all
}

// A gateway of a large fleet meets a server every few seconds. What one learns of it, the others must go by.
func TestLoadToldByAPeerIsAvoided(t *testing.T) {
	teller, tr := fleetGate(t, 10)
	for n, s := range []string{"s0", "s1", "s2", "s3"} {
		learns(t, teller, tr, t0+time.Duration(n)*ms, s, OK, &LoadReport{InFlight: float64(40 * oneIf(s == "s0")), Queued: -1, Utilization: -1})
	}
	msg := whispers(teller, tr, t0+10*ms)
	g, r := fleetGate(t, 11)
	if to, all := sendsTo(g, r, t0+20*ms, "s0"); all < 100 || to < all/8 {
		t.Fatalf("%d of %d went to a server of which nothing is known", to, all)
	}
	g.PeerMessage(t0+20*ms, 10, msg, r)
	if to, all := sendsTo(g, r, t0+30*ms, "s0"); all < 100 || to > all/8 {
		t.Errorf("%d of %d went to the server told to hold 40", to, all)
	}
}

// The first gateway whose connection is refused must spare the others the same.
func TestDeadServerIsToldOf(t *testing.T) {
	teller, tr := fleetGate(t, 10)
	learns(t, teller, tr, t0, "s0", ConnectFailed, nil)
	g, r := fleetGate(t, 11)
	msg := whispers(teller, tr, t0+10*ms)
	g.PeerMessage(t0+20*ms, 10, msg, r)
	if to, all := sendsTo(g, r, t0+30*ms, "s0"); all < 100 || to > 0 {
		t.Errorf("%d of %d went to a server told to take no connection", to, all)
	}
	// What is told again is no news, and must not keep the server out for longer.
	until := g.endpoints.trackedByID["s0"].health.ejectedUntil
	g.PeerMessage(until+10*ms, 10, whispers(teller, tr, until), r)
	if g.endpoints.trackedByID["s0"].health.ejectedUntil != until {
		t.Error("old news counted twice")
	}
}

// encodedLoad returns the load of an encoded entry of load gossip.
func encodedLoad(hash uint16, load, age byte) []peerLoad {
	return []peerLoad{decodePeerLoad(append(binary.BigEndian.AppendUint16(nil, hash), load, age))}
}

// Of two reports the newer counts, whichever way it came; news of servers unknown, or that can't be told
// apart, changes nothing.
func TestOldNewsChangesNothing(t *testing.T) {
	g, r := fleetGate(t, 11)
	learns(t, g, r, t0+time.Second, "s0", OK, &LoadReport{InFlight: 3, Queued: -1, Utilization: -1})
	s := g.endpoints.trackedByID["s0"]
	g.now = t0 + 2*time.Second
	g.receiveLoads(encodedLoad(s.shortHash, 50, byte(1500*ms/ageUnit)))
	g.receiveLoads(encodedLoad(s.shortHash^1, 50, 0))
	if s.load.requests != 3 {
		t.Errorf("load %v after old news", s.load.requests)
	}
	g.receiveLoads(encodedLoad(s.shortHash, 50, byte(500*ms/ageUnit)))
	if s.load.requests != 50 {
		t.Errorf("load %v after news", s.load.requests)
	}
	g.endpoints.index.byHash[s.shortHash] = nil
	g.receiveLoads(encodedLoad(s.shortHash, 60, 0))
	if s.load.requests != 50 {
		t.Errorf("load %v after news that may be of another server", s.load.requests)
	}
}

// Rule 4 lets a fleet send a cold server a share of what it can do from the moment that it is known. A
// gateway that begins to save up only when it first looks at the server would leave that unused for as long
// as it takes to earn a request, while the warm servers are crowded.
func TestColdServerIsUsedAtOnce(t *testing.T) {
	const gates, known = 300, 4 * time.Second
	s := testSettings()
	s.NodeCount, s.PeerMessagesPerSecond = gates, 40
	sent, share := 0, 0.0
	for me := range gates {
		s.NodeIndex = me
		g, err := New(s, uint64(me))
		if err != nil {
			t.Fatal(err)
		}
		r := &recorder{}
		g.Start(t0, r)
		g.EndpointsUpdated(t0, UpdateSnapshot, []Endpoint{{ID: "cold", MachineType: "k", Zone: "a", StartedAt: t0}}, r)
		for at := controlInterval; at <= known; at += controlInterval {
			g.TimerFired(t0+at, timerControlInterval, r)
		}
		g.RequestArrived(t0+known, newRequest(1, "safe", "rate", uint64(me)), r)
		sent += r.count("send")
		share = g.warmUpFraction(g.endpoints.tracked[0])
	}
	work := s.Classes[1].LatencyObjective.Seconds() / 4 // the longest of the classes, as long as none is known better
	most := s.OverloadFactor * share * known.Seconds() / work
	if float64(sent) < s.OverloadFactor*s.SlowStartInitialFraction*known.Seconds()/work/3 || float64(sent) > most {
		t.Errorf("%d requests to a server known for %v, which may have %.0f", sent, known, most)
	}
}

// A customer's members are not loaded alike: where its quota is kept in parts, one is refused while another
// has room. One holder keeps it where an inbox takes the asks that the rate can grant.
func TestQuotaIsKeptWholeWhereAnInboxAllows(t *testing.T) {
	for _, c := range []struct {
		rate, inbox, mostUnits float64
		split                  int
	}{{35, 40, 8, 1}, {35, 40, 0, 2}, {400, 40, 8, 7}, {200, 40, 8, 5}} {
		s := testSettings()
		s.NodeCount, s.PeerMessagesPerSecond, s.MaxUnits = 80, c.inbox, c.mostUnits
		s.Plans[1].Rate = c.rate
		g, _ := newGate(t, s, fleet(4)...)
		if st := g.quotaFor(77, g.plan("rate"), entryNodes{0, 7}); !st.owned || st.sharers != c.split {
			t.Errorf("%+v: wide %v, kept in %d parts", c, st.owned, st.sharers)
		}
	}
}

// A member refused may ask again as soon as the store has its units, unless the holder's inbox fills: a
// longer pause outlasts a customer's burst and refuses what is inside its quota again.
func TestRefusedMemberPausesOnlyForAFullInbox(t *testing.T) {
	for _, c := range []struct {
		inbox float64
		pause bool
	}{{0.4, false}, {0.9, true}} {
		member, r := wideGate(t, 10)
		member.RequestArrived(t0, wideRequest(1, 77), r)
		holder := member.ownerFor(member.quotas.buckets[77])
		h, hr := wideGate(t, holder)
		h.quotaFor(77, h.plan("rate"), entryNodes{10, 100}).tokens = 0
		h.inbox.rate = c.inbox * h.settings.PeerMessagesPerSecond
		h.PeerMessage(t0, 10, r.tells[holder][0], hr)
		member.PeerMessage(t0+ms, holder, hr.tells[10][0], r)
		if r.count("refuse") != 1 {
			t.Fatalf("%v", r.acts)
		}
		if got := member.quotas.buckets[77].requester.rejectedUntil > t0+time.Second; got != c.pause {
			t.Errorf("inbox %v: no ask until %v", c.inbox, member.quotas.buckets[77].requester.rejectedUntil-t0)
		}
	}
}

// What a request counted less than guessed must come back to the store, which another gateway holds.
func TestHolderLearnsTrueUnits(t *testing.T) {
	s := testSettings()
	s.NodeCount, s.PeerMessagesPerSecond, s.PostPaid, s.NodeIndex = 300, 40, true, 10
	member, r := newGate(t, s, fleet(4)...)
	q := wideRequest(1, 77)
	q.Units = 7
	member.RequestArrived(t0, q, r)
	holder := member.ownerFor(member.quotas.buckets[77])
	h, hr := wideGate(t, holder)
	st := h.quotaFor(77, h.plan("rate"), entryNodes{10, 100})
	full := st.tokens
	h.PeerMessage(t0, 10, r.tells[holder][0], hr)
	member.PeerMessage(t0, holder, hr.tells[10][0], r)
	member.AttemptFinished(t0, Outcome{ID: q.ID, Result: OK, Answered: true, Units: 2}, r)
	for n := range 2 { // told once, not again
		next := wideRequest(2+n, 77)
		next.Units = 0
		member.RequestArrived(t0, next, r)
		h.PeerMessage(t0, 10, r.tells[holder][1+n], hr)
		if st.tokens != full-2 {
			t.Errorf("level %v of %v after ask %d, want 2 less", st.tokens, full, n)
		}
	}
}

// A server that fails fast looks idle. Its errors at one gateway must count at all, until it answers well.
func TestErrorsAtAPeerCount(t *testing.T) {
	teller, tr := fleetGate(t, 10)
	g, r := fleetGate(t, 11)
	now := t0
	applyGossip := func(res Result, times int) {
		for range times {
			now += 100 * ms
			learns(t, teller, tr, now, "s0", res, &LoadReport{InFlight: 0, Queued: -1, Utilization: -1})
			teller.endpoints.trackedByID["s0"].health.ejectedUntil = 0 // the teller goes on trying
			g.PeerMessage(now+10*ms, 10, whispers(teller, tr, now+5*ms), r)
		}
	}
	applyGossip(ErrorResponse, 3)
	if to, all := sendsTo(g, r, now+20*ms, "s0"); all < 100 || to > 0 {
		t.Errorf("%d of %d went to a server told to fail", to, all)
	}
	applyGossip(OK, 8)
	if g.deprioritized(g.endpoints.trackedByID["s0"]) {
		t.Error("a server told to be well again is kept aside")
	}
}

// Where every gateway goes to every server, each needs connections to all. A server of a large fleet is left
// to the same number of gateways, which all agree on; the others go there only if they have none else.
func TestServersAreLeftToTheirHomes(t *testing.T) {
	for instances, want := range map[int]int{1: 1, 3: 3, 40: 12, 160: 24, 360: 36} { // 12 x root of 1.5 x instances / 60
		s := testSettings()
		s.NodeCount, s.PeerMessagesPerSecond = instances, 40
		homes := map[string]int{}
		for me := range instances {
			s.NodeIndex = me
			g, r := newGate(t, s, fleet(60)...)
			own := g.Stats().SubsetEndpoints
			for _, sv := range g.endpoints.tracked {
				homes[sv.ID] += int(oneIf(sv.inSubset))
			}
			for n := 0; n < 20; n++ {
				q := newRequest(n, "safe", "rate", uint64(n))
				g.RequestArrived(t0, q, r)
				if req := g.requests.byID[q.ID]; req == nil || own > 0 && !req.attempts[0].endpoint.inSubset {
					t.Fatalf("%d gateways: %v", instances, r.acts)
				}
				g.AttemptFinished(t0+ms, Outcome{ID: q.ID, Result: OK, Answered: true, Elapsed: ms}, r)
			}
			var drained []Endpoint
			for _, sv := range g.endpoints.tracked {
				if sv.inSubset {
					drained = append(drained, Endpoint{ID: sv.ID, State: Draining, MachineType: "k", Zone: "a", Cell: 1})
				}
			}
			g.EndpointsUpdated(t0, UpdateDelta, drained, r)
			r.acts = nil
			if g.RequestArrived(t0, newRequest(100, "safe", "rate", 100), r); own < 60 && r.count("send") != 1 {
				t.Fatalf("%d gateways: none left but others': %v", instances, r.acts)
			}
		}
		for id, n := range homes {
			if n != want {
				t.Errorf("%d gateways: %s has %d homes, want %d", instances, id, n, want)
			}
		}
	}
}

// Attempts at servers of which no gateway hears any more must not read as a jam of all, nor draw others after
// them; one gateway's silence alone is nothing, since another may have just been answered.
func TestServersThatNobodyHearsOfAreNoJam(t *testing.T) {
	g, r := fleetGate(t, 0)
	if held := g.Stats().SubsetEndpoints; held != 4 {
		t.Fatalf("the subset holds %d of the 4 servers: the test wants a gateway with all", held)
	}
	g.concurrency.responseRate = 100 // as of a gateway in service
	for _, s := range g.endpoints.tracked {
		s.listed = s.ID == "s0"
	}
	for n := range 3 {
		g.RequestArrived(t0, newRequest(n, "unsafe", "rate", uint64(n)), r)
	}
	for _, s := range g.endpoints.tracked {
		s.listed = true
	}
	if got, want := g.reachable(), (reachableLoad{3, 4}); got != want {
		t.Fatalf("%+v, want %+v", got, want)
	}
	g.now = t0 + time.Second
	if got, want := g.reachable(), (reachableLoad{0, 3}); got != want {
		t.Errorf("%+v after a second of silence, want %+v", got, want)
	}
	if to, all := sendsTo(g, r, t0+time.Second, "s0"); all < 100 || to > 0 {
		t.Errorf("%d of %d went to a server that nobody hears of", to, all)
	}
	g.receiveLoads(encodedLoad(g.endpoints.trackedByID["s0"].shortHash, 3, 1))
	if out := g.reachable().inFlight; out != 3 {
		t.Errorf("%v out after another gateway was answered, want 3", out)
	}
}

// lapse lets the time of a gateway's latest ask pass with no answer.
func lapse(g *Balancer, r *recorder, asked time.Duration) {
	num := g.requests.lastNumber
	g.TimerFired(asked+quotaRequestRepeatAfter, num<<timerBits|timerQuotaRequest, r)
	g.TimerFired(asked+quotaRequestTimeout, num<<timerBits|timerQuotaRequest, r)
}

// asks returns a member and the holder of customer 77, with the holder's store.
func asks(t *testing.T) (member, h *Balancer, r, hr *recorder, st *quotaBucket, holder int) {
	member, r = wideGate(t, 10)
	member.RequestArrived(t0, wideRequest(1, 77), r)
	holder = member.ownerFor(member.quotas.buckets[77])
	h, hr = wideGate(t, holder)
	return member, h, r, hr, h.quotaFor(77, h.plan("rate"), entryNodes{10, 100}), holder
}

// A lost message must cost neither the customer its request nor the quota its units: an ask comes again, and
// counts once.
func TestAskComesAgainAndCountsOnce(t *testing.T) {
	member, h, r, hr, st, holder := asks(t)
	full := st.tokens
	h.PeerMessage(t0, 10, r.tells[holder][0], hr) // the answer is lost
	member.TimerFired(t0+quotaRequestRepeatAfter, member.requests.lastNumber<<timerBits|timerQuotaRequest, r)
	if len(r.tells[holder]) != 2 {
		t.Fatalf("%d asks", len(r.tells[holder]))
	}
	h.PeerMessage(t0+quotaRequestRepeatAfter, 10, r.tells[holder][1], hr)
	came := st.plan.Rate / st.ownerCount * quotaRequestRepeatAfter.Seconds()
	if want := full - wideRequest(1, 77).Units + came; math.Abs(st.tokens-want) > 1e-6 {
		t.Errorf("level %v of %v, want %v: one request taken", st.tokens, full, want)
	}
	member.PeerMessage(t0+quotaRequestRepeatAfter+5*ms, holder, hr.tells[10][1], r)
	if r.count("send") != 1 {
		t.Errorf("%v", r.acts)
	}
}

// What went without an answer may be in its holder's count or not: the ask was lost or the answer, as likely one
// as the other. The holder learns half of it, once, and all that is so when the answer comes late after all.
func TestUnitsSentUnaskedAreLearnt(t *testing.T) {
	for name, c := range map[string]struct {
		heard, late bool
		taken       float64 // of the five units
	}{"ask lost": {false, false, 2.5}, "answer lost": {true, false, 7.5}, "answer late": {true, true, 5}} {
		member, h, r, hr, st, holder := asks(t)
		h.PeerMessage(t0, 10, r.tells[holder][0], hr) // the holder knows the member
		member.concurrency.responseRate = 100         // as of a gateway in service
		st.tokens, st.refilledAt = 10, h.now
		q := wideRequest(50, 77)
		q.Units = 5
		member.RequestArrived(t0+ms, q, r)
		if c.heard {
			h.PeerMessage(t0+ms, 10, r.tells[holder][1], hr)
		}
		lapse(member, r, t0+ms)
		if r.count("send") == 0 {
			t.Fatalf("%s: not sent: %v", name, r.acts)
		}
		if c.late {
			member.PeerMessage(t0+quotaRequestTimeout+2*ms, holder, hr.tells[10][len(hr.tells[10])-1], r)
		}
		for n := range 2 { // learnt once
			next := wideRequest(60+n, 77)
			next.Units, r.tells = 0, nil
			member.RequestArrived(t0+150*ms, next, r)
			if len(r.tells[holder]) != 1 {
				t.Fatalf("%s: %d asks, want the next request's", name, len(r.tells[holder]))
			}
			h.PeerMessage(t0+150*ms, 10, r.tells[holder][0], hr)
			want := 10 - c.taken + st.plan.Rate/st.ownerCount*0.15
			if math.Abs(st.tokens-want) > 0.6 { // told in whole units
				t.Errorf("%s: level %v after ask %d, want %v", name, st.tokens, n, want)
			}
		}
	}
}

// In a cut nobody is waited for, and holders must not take members' silence for rest: their stores would be
// full after it, and grant what was spent meanwhile once more.
func TestCutNeitherWaitsNorFillsStores(t *testing.T) {
	member, h, r, hr, st, _ := asks(t)
	for range maxUnansweredQuotaRequests {
		member.quotaRequester.consecutiveUnanswered++
	}
	r.acts = nil
	member.RequestArrived(t0+ms, wideRequest(2, 77), r)
	if r.count("send")+r.count("refuse") != 1 {
		t.Errorf("an isolated gateway waits: %v", r.acts)
	}
	now := t0
	for n := range 40 { // the customer uses all that the holder has, for seconds
		now += 100 * ms
		q := wideRequest(100+n, 77)
		member.quotaRequester.consecutiveUnanswered = 0
		member.RequestArrived(now, q, r)
		h.PeerMessage(now, 10, r.tells[member.ownerFor(member.quotas.buckets[77])][len(r.tells[member.ownerFor(member.quotas.buckets[77])])-1], hr)
	}
	before := st.tokens
	h.now = now + 5*time.Second
	h.refill(st)
	if full := st.plan.Burst / st.ownerCount; st.tokens > before+full/4 {
		t.Errorf("level %v after a cut, %v before, full at %v", st.tokens, before, full)
	}
}

// A holder that restarts has a full store in its hands. What others tell of the customer says that it is not.
func TestRestartedHolderGrantsNoSecondBurst(t *testing.T) {
	for _, pass := range []float64{1, 0.5} {
		member, r := wideGate(t, 10)
		member.overQuota[tenantHash(77)] = overQuotaTenant{pass, t0}
		member.RequestArrived(t0, wideRequest(1, 77), r)
		holder := member.ownerFor(member.quotas.buckets[77])
		h, hr := wideGate(t, holder)
		h.PeerMessage(t0, 10, r.tells[holder][0], hr)
		if st := h.quotas.buckets[77]; st.tokens > 0 != (pass == 1) {
			t.Errorf("share %v: level %v", pass, st.tokens)
		}
	}
}
