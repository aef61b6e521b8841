package upstream

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

// A health check and the requests of clients are sent to an app server with the recorded bytes.
func TestGoldenServerRequests(t *testing.T) {
	addr, requests := nodetest.RecordRequests(t, nodetest.OKResponse)
	pool := New(settings.Transport{ConnectTimeout: nodetest.WaitTimeout}, 10)
	pool.update([]endpointlist.Endpoint{{Endpoint: balancer.Endpoint{ID: "s"}, Addr: addr}}, true)
	ctx, cancel := context.WithTimeout(t.Context(), nodetest.WaitTimeout)
	defer cancel()
	expiresIn := regexp.MustCompile(`X-Expires-In: \d+\.\d{3}\r\n`)
	var transcript strings.Builder
	for _, m := range []Message{
		{Method: "GET", Target: loadPath},
		{Method: "POST", Target: "/a%2fb?c=%20d", Host: "app.example", ID: "rq-1", Key: "key-1", ContentType: "text/plain", Body: []byte("body")},
		{Method: "GET", Target: "/a?"},
	} {
		response, result := pool.Exchange(ctx, "s", &m, WriteLimits{})
		if result != balancer.OK || string(response.Body) != "body" {
			t.Errorf("%s: result %d, body %q", m.Target, result, response.Body)
		}
		transcript.WriteString(expiresIn.ReplaceAllString(nodetest.Await(t, "request for "+m.Target, requests),
			"X-Expires-In: SECONDS\r\n") + "\n")
	}
	golden.Check(t, "golden/server-requests.txt", []byte(transcript.String()))
}

// Load reports are parsed as recorded, from a text and from a response's header.
func TestGoldenLoadReports(t *testing.T) {
	var described bytes.Buffer
	for line := range strings.Lines(string(golden.Read(t, "golden/load-reports.txt"))) {
		text := strings.TrimSuffix(line, "\n")
		load := parseLoadReport(text)
		if load == nil {
			fmt.Fprintf(&described, "%q: none\n", text)
			continue
		}
		fmt.Fprintf(&described, "%q: in flight %v queue %v util %v\n",
			text, load.InFlight, load.Queued, load.Utilization)
	}
	golden.Check(t, "golden/load-reports-read.txt", described.Bytes())
	s := nodetest.NewAppServer(t, nodetest.Respond("HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT inflight=7, queue=2, util=0.61\r\nX-Settled: 2.5\r\nContent-Length: 0\r\n\r\n"))
	pool := New(settings.Transport{ConnectTimeout: time.Minute}, 10)
	pool.update([]endpointlist.Endpoint{s.Endpoint("s")}, true)
	response, result := pool.Exchange(t.Context(), "s", &Message{Method: "GET", Target: loadPath}, WriteLimits{})
	if result != balancer.OK || response.Units != 2.5 || response.LoadReport == nil ||
		*response.LoadReport != (balancer.LoadReport{InFlight: 7, Queued: 2, Utilization: 0.61}) {
		t.Errorf("result %d, units %v, load %v", result, response.Units, response.LoadReport)
	}
}
