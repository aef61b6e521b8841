package simwire

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"opalhook/balancer"
)

// readAll returns the events of a text, until its end or the first error.
func readAll(text string) (events []Event, err error) {
	r := NewReader(strings.NewReader(text))
	for {
		ev, err := r.Next()
		if errors.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return events, err
		}
		events = append(events, ev)
	}
}

const launch = `LAUNCH 3 99 {"instances":2,"me":1,"zone":"z","newKey":[1],"tick":0.004,"feedback":{"how":"answers"},` +
	`"lanes":[{"name":"c","idempotency":"dedup","keyScope":"cell","memorySpan":5,"onTime":1,"deadline":4}],` +
	`"tariffs":[{"name":"p","quotaRate":2.5,"peakUnits":7,"maxOut":3}],"policyLimits":{"mostTries":3},"rules":{"drainGrace":2}}`

func TestReadEvents(t *testing.T) {
	events, err := readAll("CLOCK 8.41225\n" + launch + "\nPAGE 0 2\nITEM s.a IN 1 k z 0 -\nITEM s.b LAME 1.5 k y 3 6.1\n" +
		"FLEET 3 41 0 Persisted\nACCEPT 3 rq_a c p 4569004829183723 0.24 2 3 1 1\n" +
		"COMPLETED 3 rq_a 1 254 s.a 0.0185 0 86 3 backlog:3,novel:7\nTIMEOUT_FIRED 3 77\nWHISPER 3 0 aGkgNw==\n" +
		"FLEET 3 42 - Error\nLEFT 3 rq_a\nCOMMIT\n")
	if err != nil || len(events) != 10 {
		t.Fatalf("%d events, want 10; error %v", len(events), err)
	}
	if c := events[0].(Clock); c.Now != 8412250*time.Microsecond {
		t.Errorf("clock %v, want 8.41225s", c.Now)
	}
	l := events[1].(StartNode)
	if s := l.Settings; l.Seed != 99 || s.NodeIndex != 1 || s.Classes[0].Idempotency != balancer.IdempotentWithKey || s.Classes[0].DedupScope != balancer.DedupCell ||
		s.Plans[0].MaxConcurrent != 3 || s.Plans[0].Burst != 7 || s.LoadReports != balancer.LoadReportsInResponses || s.DrainTimeout != 2*time.Second {
		t.Errorf("start of a node %+v, want the values of %s", l, launch)
	}
	list := events[2].(EndpointList)
	if len(list.Endpoints) != 2 || list.Endpoints[1].State != balancer.Draining || list.Endpoints[1].StartedAt != 6100*time.Millisecond {
		t.Errorf("list %+v, want 2 endpoints, the second one draining and started at 6.1s", list)
	}
	if q := events[3].(RequestArrived).Request; q.Tenant != 4569004829183723 || q.Units != 2 || q.EntryNodes != 3 || q.FirstEntryNode != 1 {
		t.Errorf("request %+v, want tenant 4569004829183723, 2 units and 3 entry nodes from 1", q)
	}
	if o := events[4].(AttemptFinished).Outcome; o.Result != balancer.Overloaded || !o.Answered || o.LoadReport == nil || o.LoadReport.Queued != 3 || o.Units != 3 {
		t.Errorf("outcome %+v, want an overloaded response with 3 units and a load report with 3 queued", o)
	}
	if w := events[6].(PeerMessage); string(w.Payload) != "hi 7" {
		t.Errorf("payload %q, want %q", w.Payload, "hi 7")
	}
	if e := events[7].(EndpointList); e.Kind != balancer.UpdateFailed {
		t.Errorf("kind of update %v, want %v", e.Kind, balancer.UpdateFailed)
	}
}

// The error for a malformed message contains the number of its line.
func TestReadMalformedLines(t *testing.T) {
	for _, bad := range []string{
		"NONSENSE 1", "CLOCK x", "CLOCK", "LEFT 3", "LEFT 3 a b", "TIMEOUT_FIRED 3 -1", "WHISPER 3 0 ???",
		"COMPLETED 3 rq 2 0 s 0 0 0 0 -", "COMPLETED 3 rq 1 17 s 0 0 0 0 -", "COMPLETED 3 rq 1 0 s 0 0 0 0 backlog",
		"FLEET 3 1 9 Complete", "FLEET 3 1 0 Odd", "PAGE 16 0", "PAGE 0 1\nITEM s GONE 1 k z 0 -", "PAGE 0 2\nITEM s IN 1 k z 0 -",
		"LAUNCH 3 99 {", "LAUNCH x 99 {}", `LAUNCH 3 9 {"feedback":{"how":"odd"}}`, `LAUNCH 3 9 {"lanes":[{"idempotency":"odd"}]}`,
		"ACCEPT 3 rq c p 1 nan 1 1 1 1", "LEFT 3  rq",
	} {
		_, err := readAll("CLOCK 1\n" + bad + "\n")
		var at *LineError
		if !errors.As(err, &at) || at.Line < 2 || !strings.HasPrefix(err.Error(), fmt.Sprintf("line %d: ", at.Line)) {
			t.Errorf("%q: error %v, want a LineError for line 2 or later", bad, err)
		}
	}
}

func TestWriteActions(t *testing.T) {
	r := Reply{Node: 3}
	r.SendAttempt("rq", "s.a", 80*time.Millisecond, 0)
	r.Reject("rq", 0)
	r.Fail("rq")
	r.CancelAttempt("rq", 1)
	r.SetTimer(77, 500*time.Millisecond)
	r.HealthCheck("s.a")
	r.SendPeer(balancer.AllPeers, []byte("hi 7"))
	r.SendPeer(2, nil)
	r.WatchEndpoints(true)
	r.Log(slog.LevelInfo, "two\nlines")
	want := "CALL_OUT 3 rq s.a 0.08\nTURN_AWAY 3 rq 0\nSURRENDER 3 rq\nWITHDRAW 3 rq 1\nSET_ALARM 3 77 0.5\nPROBE 3 s.a\n" +
		"SIGNAL 3 all aGkgNw==\nSIGNAL 3 2 -\nSTREAM_CHANGES 3 1\nPRINT 3 two lines\nFINISHED\n"
	if got := string(r.Take()); got != want {
		t.Errorf("got %q\nwant %q", got, want)
	}
	if got := string(r.Take()); got != "FINISHED\n" {
		t.Errorf("empty reply %q, want only its final line", got)
	}
}

// For any input, Next returns non-nil events until an error. The length of the input bounds their number.
func FuzzReader(f *testing.F) {
	f.Add([]byte("CLOCK 1\nCOMMIT\n"))
	f.Add([]byte(launch + "\n"))
	f.Add([]byte("PAGE 0 1\nITEM s IN 1 k z 0 -\nFLEET 3 41 0 Partial\n"))
	f.Add([]byte("COMPLETED 3 rq 1 0 s 0 0 0 0 backlog:3\nACCEPT 3 r c p 1 1 1 1 1 1\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := NewReader(bytes.NewReader(b))
		for n := 0; ; n++ {
			ev, err := r.Next()
			if err != nil {
				return
			}
			if ev == nil || n > len(b) {
				t.Fatalf("event %d of an input of %d bytes is %v", n, len(b), ev)
			}
		}
	})
}
