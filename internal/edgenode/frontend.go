package edgenode

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"opalhook/balancer"
	"opalhook/internal/edgenode/upstream"
)

// readyPath answers whether the node is ready for requests (protocol, "Clients to edge nodes").
const readyPath = "/health/ready"

// Time limits of a client's connection.
const (
	headerTimeout     = 1500 * time.Millisecond // for a request's header, from the connection's start or the first byte
	bodyTimeout       = time.Second             // for its body
	unreadBodyTimeout = 250 * time.Millisecond  // for the rest of a body that is of no use
	writeTimeout      = 10 * time.Second        // for the writing of a response, after the longest wait for it
	idleTimeout       = 30 * time.Second        // between requests
)

// maxHeaderBytes bounds a request's header.
const maxHeaderBytes = 16 << 10

// Timing of a drain. The protocol ("Figures") says how long connections still come, and when the process may be killed.
const (
	drainListenPeriod = 500 * time.Millisecond // in which the listener stays open; connections come for up to 0.4 s
	drainPollInterval = 5 * time.Millisecond   // from one look at idle connections to the next
	maxKillDelay      = 3 * time.Second        // the kill comes no sooner than this, or the longest wait if that is less,
	killDelayMargin   = 600 * time.Millisecond // and this
)

// reservedDescriptors are neither a client's nor an app server's.
const reservedDescriptors = 48

// maxServerConns and maxClientConns divide the descriptors. A request has at most one attempt out, so as many
// connections to app servers as to clients are enough.
func maxServerConns(sockets int) int { return (sockets - reservedDescriptors) / 2 }
func maxClientConns(sockets int) int { return (sockets - reservedDescriptors) / 2 }

// requestHandler decides on the requests of clients; it is a [Node].
type requestHandler interface {
	// handleRequest returns the final response to a request: always by the deadline, and soon once ctx ends, which
	// means that the client has gone. The only error is errIDInUse.
	handleRequest(ctx context.Context, q balancer.Request, m upstream.Message, deadline time.Time) (clientResponse, error)
}

// frontend serves the clients' connections. It knows of the node no more than the handler of requests.
type frontend struct {
	handler     requestHandler
	settings    *balancer.Settings
	drainPeriod time.Duration // how long the listener stays open in a drain
	log         *slog.Logger

	server   *http.Server
	conns    *connTable
	ready    atomic.Bool
	draining atomic.Bool
	answerBy atomic.Pointer[time.Time] // once the listener is closed: when each new request has to be answered
	classes  map[string]balancer.Class // by name
	plans    map[string]bool           // by name
}

// newFrontend returns the frontend of a node, which serves once serve is called.
func newFrontend(n *Node) *frontend {
	f := &frontend{
		handler:     n,
		settings:    &n.cfg.Settings,
		drainPeriod: n.cfg.drainPeriod,
		log:         n.log,
		conns:       newConnTable(maxClientConns(n.cfg.Sockets)),
		classes:     map[string]balancer.Class{},
		plans:       map[string]bool{},
	}
	for _, c := range f.settings.Classes {
		f.classes[c.Name] = c
	}
	for _, p := range f.settings.Plans {
		f.plans[p.Name] = true
	}
	f.server = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      f.maxWait() + writeTimeout, // counts from a request's header
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       withConn,
		ErrorLog:          slog.NewLogLogger(f.log.Handler(), slog.LevelWarn),
	}
	return f
}

// serve answers clients until drain closes the listener.
func (f *frontend) serve(ln *clientListener) error {
	err := f.server.Serve(ln)
	if f.draining.Load() && (errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed)) {
		return nil // the latter where the drain has ended before the library sees the former
	}
	return fmt.Errorf("listen: %w", err)
}

// drain ends serving. Clients still come for a while and are still answered, on connections that close after the
// response; then the listener closes, and the requests in flight are finished. Closing at once would lose what
// crosses the close.
//
// The library's own Shutdown is not used: from its start it drops, with no response, each request whose head it has
// just read.
func (f *frontend) drain(ln *clientListener) {
	f.ready.Store(false)
	f.draining.Store(true)
	began := time.Now()
	time.Sleep(f.drainPeriod)
	ln.closeWhenQueueEmpty()
	answerBy := began.Add(min(f.maxWait(), maxKillDelay) + killDelayMargin)
	f.answerBy.Store(&answerBy)
	f.closeIdleConns(time.Now().Add(f.maxWait() + lingerPeriod))
	// Only connections that never sent a whole request are left: the deadlines of all requests are past.
	_ = f.server.Close() // the listener is closed already
}

// closeIdleConns closes connections as they become idle, until there are none or a time is reached.
func (f *frontend) closeIdleConns(end time.Time) {
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	for f.conns.closeIdle() > 0 && time.Now().Before(end) {
		<-poll.C
	}
}

// maxWait is how long after a request's arrival its final response may be due.
func (f *frontend) maxWait() time.Duration {
	longest := time.Duration(0)
	for _, c := range f.settings.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest + f.settings.ResponseSlack
}

// ServeHTTP answers one request of a client.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer f.recoverPanic(w)
	if f.draining.Load() || f.conns.nearlyFull() {
		w.Header().Set("Connection", "close")
	}
	conn := connOf(r)
	defer conn.transition(connResponding)
	if err := checkFraming(r); err != nil {
		f.rejectMalformed(w, r, err)
		return
	}
	if r.URL.Path == readyPath && r.ContentLength == 0 {
		f.serveReadiness(w)
		return
	}
	f.handleRequest(w, r, conn)
}

// recoverPanic answers a request whose handler has panicked. It is to be deferred.
func (f *frontend) recoverPanic(w http.ResponseWriter) {
	switch cause := recover(); cause {
	case nil:
	case http.ErrAbortHandler:
		panic(cause)
	default:
		f.log.Error("panic in a request handler", "err", cause, "stack", string(debug.Stack()))
		writeText(w, http.StatusInternalServerError, "internal error")
	}
}

// handleRequest has a request decided on and answers it.
func (f *frontend) handleRequest(w http.ResponseWriter, r *http.Request, conn *clientConn) {
	began := time.Now()
	q, m, err := f.parseRequest(r)
	if err == nil {
		m.Body, err = readBody(w, r)
	}
	if err != nil {
		f.rejectMalformed(w, r, err)
		return
	}
	if !conn.transition(connActive) {
		// The connection was evicted; nothing was passed on. The library would take a return for an empty 200.
		panic(http.ErrAbortHandler)
	}
	q.Timeout -= time.Since(began)
	if answerBy := f.answerBy.Load(); answerBy != nil {
		q.Timeout = min(q.Timeout, time.Until(*answerBy))
	}
	deadline := time.Now().Add(q.Timeout + f.settings.ResponseSlack)
	response, err := f.handler.handleRequest(r.Context(), q, m, deadline)
	if errors.Is(err, errIDInUse) {
		writeText(w, http.StatusConflict, "X-Trace-Id is in use")
		return
	}
	f.writeResponse(w, response)
}

func (f *frontend) serveReadiness(w http.ResponseWriter) {
	if f.ready.Load() {
		writeText(w, http.StatusOK, "ready")
	} else {
		writeText(w, http.StatusServiceUnavailable, "not ready")
	}
}
