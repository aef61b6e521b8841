package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"opalhook/balancer"
	"opalhook/internal/edgenode/nodetest"
)

func TestResultsOfResponses(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       balancer.Result
		reused     bool
	}{
		{"served", nodetest.OKResponse, balancer.OK, true},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", balancer.OK, true},
		{"interim answer first", "HTTP/1.1 103 Early Hints\r\n\r\n" + nodetest.OKResponse, balancer.OK, true},
		{"last on its connection", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody", balancer.OK, false},
		{"more than asked for", nodetest.OKResponse + nodetest.OKResponse, balancer.OK, false},
		{"error", "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", balancer.ErrorResponse, true},
		{"turned away, 503", "HTTP/1.1 503 F\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balancer.Overloaded, true},
		{"turned away, 504", "HTTP/1.1 504 F\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balancer.Overloaded, true},
		{"503 that may have run", "HTTP/1.1 503 F\r\nContent-Length: 0\r\n\r\n", balancer.ErrorResponse, true},
		{"never ran, in other words", "HTTP/1.1 503 F\r\nX-Never-Ran: 0\r\nContent-Length: 0\r\n\r\n", balancer.ErrorResponse, true},
		{"500 that claims it never ran", "HTTP/1.1 500 F\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balancer.ErrorResponse, true},
		{"unexpected", "HTTP/1.1 204 N\r\n\r\n", balancer.ErrorResponse, true},
		{"body over the limit", "HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 65537), balancer.ErrorResponse, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := nodetest.NewAppServer(t, nodetest.Say(c.text))
			u := testUpstream(s.Endpoint("a"))
			rep, res := exchange(t, u, "a")
			wantResult(t, res, c.want)
			if res == balancer.OK && string(rep.Body) != "body" {
				t.Errorf("body %q", rep.Body)
			}
			if got := len(u.backends["a"].idle) == 1; got != c.reused {
				t.Errorf("kept: %v, want %v", got, c.reused)
			}
		})
	}
}

// The true units that an answer tells are what the quota counts; a figure that can't be is none.
func TestSettledUnits(t *testing.T) {
	for text, want := range map[string]float64{
		"": 0, "X-Settled: 3\r\n": 3, "X-Settled: 8\r\n": 8, "X-Settled: 9\r\n": 0,
		"X-Settled: -1\r\n": 0, "X-Settled: many\r\n": 0, "X-Settled: 1e300\r\n": 0, "X-Settled: NaN\r\n": 0,
	} {
		s := nodetest.NewAppServer(t, nodetest.Say("HTTP/1.1 200 OK\r\n"+text+"Content-Length: 4\r\n\r\nbody"))
		rep, res := exchange(t, testUpstream(s.Endpoint("a")), "a")
		wantResult(t, res, balancer.OK)
		if got := rep.SettledUnits(8); got != want {
			t.Errorf("%q: %v units, want %v", text, got, want)
		}
	}
}

// A break is a reset, whichever part of the answer it cuts: passed on in part, it
// could not be tried elsewhere.
func TestBrokenConnectionIsAReset(t *testing.T) {
	for _, text := range []string{
		"", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
	} {
		s := nodetest.NewAppServer(t, func(c net.Conn, _ *http.Request, _ []byte) bool {
			_, _ = io.WriteString(c, text)
			return false
		})
		u := testUpstream(s.Endpoint("a"))
		_, res := exchange(t, u, "a")
		wantResult(t, res, balancer.Reset)
	}
}

// An answer that came and can't be read is an error that may have run, known at once:
// not a reset, which would make a warm server count as restarted and cold, and not a
// time-out, which would count as overload and cost the server its idle connections.
func TestMalformedResponses(t *testing.T) {
	const body = "\r\n\r\nbody"
	endless := func(line string) func(net.Conn, *http.Request, []byte) bool {
		return func(c net.Conn, _ *http.Request, _ []byte) bool {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			for err == nil {
				_, err = io.WriteString(c, line)
			}
			return false
		}
	}
	for _, c := range []struct {
		name  string
		serve func(net.Conn, *http.Request, []byte) bool
	}{
		{"noise", nodetest.Say("\x85\x14\xe8 no HTTP\r\n\r\n")},
		{"another protocol", nodetest.Say("ICY 200 OK\r\nContent-Length: 4" + body)},
		{"status no number", nodetest.Say("HTTP/1.1 2x0 OK\r\nContent-Length: 4" + body)},
		{"line without colon", nodetest.Say("HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 4" + body)},
		{"two lengths", nodetest.Say("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4" + body)},
		{"negative length", nodetest.Say("HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 4" + body)},
		{"bad chunk", nodetest.Say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n")},
		{"no length", nodetest.Say("HTTP/1.1 200 OK" + body)},
		{"length too large", nodetest.Say("HTTP/1.1 200 OK\r\nContent-Length: 5" + body)},
		{"half a head", nodetest.Say("HTTP/1.1 200 OK\r\nContent-")},
		{"endless head", endless("X-Pad: pppppppppppppppppppppppp\r\n")},
		{"endless line", endless("pppppppppppppppppppppppp")},
		{"endless 1xx answers", endless("\r\nHTTP/1.1 103 Early Hints\r\n")},
		{"endless body", endless("Content-Length: 3000000000\r\n\r\n")},
		{"endless chunks", endless("Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 1000))},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := nodetest.NewAppServer(t, func(conn net.Conn, r *http.Request, body []byte) bool {
				if r.Header.Get("X-Trace-Id") == "fine" {
					return nodetest.Say(nodetest.OKResponse)(conn, r, body)
				}
				return c.serve(conn, r, body)
			})
			u := testUpstream(s.Endpoint("a"))
			spare, err := u.acquire(context.Background(), "a", nil)
			if err != nil {
				t.Fatal(err)
			}
			_, res := exchange(t, u, "a")
			wantResult(t, res, balancer.ErrorResponse)
			u.release(spare)
			if b := u.backends["a"]; len(b.idle) != 1 || u.open != 1 {
				t.Errorf("%d connections idle, %d counted, want the other one", len(b.idle), u.open)
			}
			ctx, cancel := context.WithTimeout(context.Background(), nodetest.Patience)
			defer cancel()
			if _, res := u.Exchange(ctx, "a", &Message{Method: "GET", Target: "/check", ID: "fine"}, WriteLimits{}); res != balancer.OK {
				t.Errorf("the next request: result %d", res)
			}
		})
	}
}

// Half an answer when the attempt's time ends is an error, not silence.
func TestPartialResponseIsNotATimeout(t *testing.T) {
	written := make(chan struct{}, 1)
	s := nodetest.NewAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		defer func() { written <- struct{}{} }()
		return nodetest.Say("HTTP/1.1 200 OK\r\n")(c, r, body)
	})
	u := testUpstream(s.Endpoint("a"))
	spare, err := u.acquire(context.Background(), "a", nil)
	if err != nil {
		t.Fatal(err)
	}
	u.release(spare)
	other, err := u.dial(context.Background(), u.backends["a"])
	if err != nil {
		t.Fatal(err)
	}
	u.open++
	u.release(other)
	u.rest()
	ctx, result := nodetest.NewEndingContext(), make(chan balancer.Result, 1)
	go func() {
		_, res := u.Exchange(ctx, "a", &get, WriteLimits{})
		result <- res
	}()
	nodetest.Await(t, "half an answer", written)
	nodetest.Eventually(t, "it is read", func() bool { return nodetest.Drained(t, other.Conn) })
	ctx.End(context.DeadlineExceeded)
	wantResult(t, nodetest.Await(t, "a result", result), balancer.ErrorResponse)
	if len(u.backends["a"].idle) != 1 {
		t.Error("the other idle connection is gone")
	}
}

// A 1xx answer is no part of the one that counts, which may come as late as it likes.
func TestInterimResponseThenAPause(t *testing.T) {
	s := nodetest.NewAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
		time.Sleep(responseRestTimeout * 3 / 2) // the server at work
		return nodetest.Say(nodetest.OKResponse)(c, r, body)
	})
	u := testUpstream(s.Endpoint("a"))
	_, res := exchange(t, u, "a")
	wantResult(t, res, balancer.OK)
}

func TestLoadReports(t *testing.T) {
	for text, want := range map[string]*balancer.LoadReport{
		"TEXT inflight=7, queue=2, util=0.61":     {InFlight: 7, Queued: 2, Utilization: 0.61},
		"TEXT backlog=2,utilization=0.5,novel=1 ": {InFlight: -1, Queued: 2, Utilization: 0.5},
		"TEXT util=x, queue=3":                    {InFlight: -1, Queued: 3, Utilization: -1},
		"TEXT util=NaN, queue=-1":                 {InFlight: -1, Queued: -1, Utilization: -1},
		"TEXT util=1e9, queue=0x1p4":              {InFlight: -1, Queued: -1, Utilization: -1},
		"TEXT util=1000000, queue=999999999":      {InFlight: -1, Queued: -1, Utilization: -1},
		"TEXT util=1.059, queue=1.674":            {InFlight: -1, Queued: 1.674, Utilization: 1.059},
		"":                                        nil, "JSON {}": nil,
	} {
		got := parseLoadReport(text)
		if (got == nil) != (want == nil) || got != nil && *got != *want {
			t.Errorf("%q: %v, want %v", text, got, want)
		}
	}
}
