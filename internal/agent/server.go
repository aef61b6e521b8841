package agent

import (
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"opalhook/internal/discovery"
)

// StatusPath is where the agent's server reports its [Status] as JSON.
const StatusPath = "/agent/status"

// Bounds on the connections of nodes.
const (
	nodeHeaderTimeout  = 3 * time.Second
	nodeIdleTimeout    = time.Minute
	maxNodeHeaderBytes = 8 << 10
	nodeWriteTimeout   = 5 * time.Second // a node that reads nothing for so long is dropped
)

// heartbeatInterval is the time between two heartbeats to a node, of the platform's protocol.
const heartbeatInterval = 2 * time.Second

func (a *Agent) newServer() *http.Server {
	routes := http.NewServeMux()
	routes.HandleFunc("GET "+discovery.Path, a.serveInstances)
	routes.HandleFunc("GET "+StatusPath, a.serveStatus)
	return &http.Server{
		Handler:           routes,
		ReadHeaderTimeout: nodeHeaderTimeout,
		IdleTimeout:       nodeIdleTimeout,
		MaxHeaderBytes:    maxNodeHeaderBytes,
		ErrorLog:          slog.NewLogLogger(a.log.Handler(), slog.LevelDebug),
	}
}

func (a *Agent) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a.Status()) // fails only if the client is gone
}

// serveInstances answers the platform's discovery protocol. While nothing is held it is silent.
func (a *Agent) serveInstances(w http.ResponseWriter, r *http.Request) {
	from, err := parseFrom(r)
	if err != nil {
		http.Error(w, "from: a generation is wanted", http.StatusBadRequest)
		return
	}
	out := nodeWriter{w, http.NewResponseController(w)}
	if r.URL.Query().Get("watch") == "" {
		a.serveSnapshot(out, r, from)
		return
	}
	a.nodeWatches.Add(1)
	defer a.nodeWatches.Add(-1)
	a.serveWatch(out, r, from)
}

// parseFrom returns the generation that a node holds, 0 where the request names none.
func parseFrom(r *http.Request) (uint64, error) {
	text := r.URL.Query().Get("from")
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

// serveSnapshot sends what a node lacks, once there is anything.
func (a *Agent) serveSnapshot(out nodeWriter, r *http.Request, from uint64) {
	for {
		update := a.feed.since(from)
		if len(update.lines) > 0 {
			out.send(update.lines...)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-a.ctx.Done():
			return
		case <-update.updated:
		}
	}
}

// serveWatch sends what a node lacks and each message after it, with heartbeats in between, until the node or the agent
// ends the watch.
func (a *Agent) serveWatch(out nodeWriter, r *http.Request, from uint64) {
	firstHeartbeat := heartbeatInterval/2 + time.Duration(rand.Int64N(int64(heartbeatInterval/2))) // not in step with others
	heartbeat := time.NewTimer(firstHeartbeat)
	defer heartbeat.Stop()
	for {
		update := a.feed.since(from)
		if len(update.lines) > 0 && !out.send(update.lines...) {
			return
		}
		from = update.generation
		select {
		case <-r.Context().Done():
			return
		case <-a.ctx.Done():
			return
		case <-heartbeat.C:
			heartbeat.Reset(heartbeatInterval)
			if update.heartbeats && !out.send([]byte{'\n'}) {
				return
			}
		case <-update.updated:
		}
	}
}

// nodeWriter writes to a node and drops one that does not read.
type nodeWriter struct {
	http.ResponseWriter
	control *http.ResponseController
}

// send writes lines at once. It reports whether the node is still there.
func (w nodeWriter) send(lines ...[]byte) bool {
	if w.control.SetWriteDeadline(time.Now().Add(nodeWriteTimeout)) != nil {
		return false
	}
	for _, line := range lines {
		if _, err := w.Write(line); err != nil {
			return false
		}
	}
	return w.control.Flush() == nil
}
