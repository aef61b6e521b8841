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

// StatusPath is the URL path at which the agent serves its [Status] as JSON.
const StatusPath = "/agent/status"

// Limits for the connections of nodes.
const (
	nodeHeaderTimeout  = 3 * time.Second
	nodeIdleTimeout    = time.Minute
	maxNodeHeaderBytes = 8 << 10
	nodeWriteTimeout   = 5 * time.Second // bounds each send; a node that does not read is disconnected
)

// heartbeatInterval is the time between two heartbeats to a node, as in the platform's protocol.
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
	_ = json.NewEncoder(w).Encode(a.Status()) // fails only if the client has disconnected
}

// serveInstances implements the platform's discovery protocol: the complete list, or a watch. It sends
// nothing until the agent has a list.
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

// parseFrom returns the generation of the list that the node already has, or 0 if the request has none.
func parseFrom(r *http.Request) (uint64, error) {
	text := r.URL.Query().Get("from")
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

// serveSnapshot sends the complete list, or only the changes if the request names a generation whose later
// changes are still kept. It waits until the agent has a list that is newer than the node's.
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

// serveWatch sends the messages that a node lacks and then each new message, with heartbeats in between,
// until the node or the agent ends the watch.
func (a *Agent) serveWatch(out nodeWriter, r *http.Request, from uint64) {
	// The random first interval keeps the heartbeats of several watches from coinciding.
	firstHeartbeat := heartbeatInterval/2 + time.Duration(rand.Int64N(int64(heartbeatInterval/2)))
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

// nodeWriter writes to a node, with a timeout for nodes that do not read.
type nodeWriter struct {
	http.ResponseWriter
	control *http.ResponseController
}

// send writes lines and flushes them. It reports whether all writes succeeded.
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
