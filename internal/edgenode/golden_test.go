package edgenode

import (
	"bytes"
	"context"
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"

	"opalhook/balancer"
	"opalhook/internal/edgenode/endpointlist"
	"opalhook/internal/edgenode/nodetest"
	"opalhook/internal/golden"
	"opalhook/internal/settings"
)

// A node sends a server the recorded bytes: a probe for its load and requests of clients.
func TestGoldenServerRequests(t *testing.T) {
	addr, heard := nodetest.RecordRequests(t, nodetest.OKResponse)
	u := newUpstream(settings.Transport{ConnectTimeout: nodetest.Patience}, 10)
	u.update([]endpointlist.Endpoint{{Endpoint: balancer.Endpoint{ID: "s"}, Addr: addr}}, true)
	ctx, cancel := context.WithTimeout(t.Context(), nodetest.Patience)
	defer cancel()
	left := regexp.MustCompile(`X-Expires-In: \d+\.\d{3}\r\n`)
	var transcript strings.Builder
	for _, m := range []message{
		{method: "GET", target: loadPath},
		{method: "POST", target: "/a%2fb?c=%20d", host: "app.example", id: "rq-1", key: "key-1", contentType: "text/plain", body: []byte("body")},
		{method: "GET", target: "/a?"},
	} {
		rep, result := u.exchange(ctx, "s", &m, writeLimits{})
		if result != balancer.OK || string(rep.body) != "body" {
			t.Errorf("%s: result %d, body %q", m.target, result, rep.body)
		}
		transcript.WriteString(left.ReplaceAllString(nodetest.Await(t, "request of "+m.target, heard), "X-Expires-In: SECONDS\r\n") + "\n")
	}
	golden.Check(t, "golden/server-requests.txt", []byte(transcript.String()))
}

// Load reports are read as recorded, from a body and from an answer's header.
func TestGoldenLoadReports(t *testing.T) {
	var described bytes.Buffer
	for line := range strings.Lines(string(golden.Read(t, "golden/load-reports.txt"))) {
		text := strings.TrimSuffix(line, "\n")
		load := parseLoadReport(text)
		if load == nil {
			fmt.Fprintf(&described, "%q: none\n", text)
			continue
		}
		fmt.Fprintf(&described, "%q: in flight %v queue %v util %v\n", text, load.InFlight, load.Queued, load.Utilization)
	}
	golden.Check(t, "golden/load-reports-read.txt", described.Bytes())
	s := nodetest.NewAppServer(t, nodetest.Say("HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT inflight=7, queue=2, util=0.61\r\nX-Settled: 2.5\r\nContent-Length: 0\r\n\r\n"))
	u := newUpstream(settings.Transport{ConnectTimeout: time.Minute}, 10)
	u.update([]endpointlist.Endpoint{s.Endpoint("s")}, true)
	rep, result := u.exchange(t.Context(), "s", &message{method: "GET", target: loadPath}, writeLimits{})
	if result != balancer.OK || rep.units != 2.5 || rep.loadReport == nil || *rep.loadReport != (balancer.LoadReport{InFlight: 7, Queued: 2, Utilization: 0.61}) {
		t.Errorf("result %d, units %v, load %v", result, rep.units, rep.loadReport)
	}
}
