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

// readyPath is the path of the readiness check, which reports whether the node accepts requests (protocol,
// "Clients to edge nodes").
const readyPath = "/health/ready"

// Time limits of a client's connection.
const (
	headerTimeout     = 1500 * time.Millisecond // for a header; begins at the accept or its first byte
	bodyTimeout       = time.Second             // for the body
	unreadBodyTimeout = 250 * time.Millisecond  // for the rest of the body of a malformed request
	rejectionTimeout  = 250 * time.Millisecond  // for writing the rejection of a request that was not read
	writeTimeout      = 10 * time.Second        // for writing a response, in addition to maxWait
	idleTimeout       = 30 * time.Second        // between two requests
)

// maxHeaderBytes is the largest header of a request, in bytes.
const maxHeaderBytes = 16 << 10

// Timing of a drain. The protocol (section "Figures") defines how long clients may still connect after the
// drain begins. It also defines that the process is killed no earlier than min(maxWait, maxKillDelay) +
// killDelayMargin after that.
const (
	drainListenPeriod = 500 * time.Millisecond // listener stays open; clients may connect for up to 0.4 s
	drainPollInterval = 5 * time.Millisecond   // between two checks for idle connections
	maxKillDelay      = 3 * time.Second
	killDelayMargin   = 600 * time.Millisecond
)

// reservedDescriptors is the number of file descriptors kept for everything but client and app server
// connections, such as the listener, the calls to discovery and the peer socket.
const reservedDescriptors = 48

// maxServerConns and maxClientConns divide the file descriptors equally between connections to app servers
// and to clients. Without hedging that is enough for the app servers, because a request has at most one
// attempt in progress. An attempt beyond the limit is not sent.
func maxServerConns(sockets int) int { return (sockets - reservedDescriptors) / 2 }
func maxClientConns(sockets int) int { return (sockets - reservedDescriptors) / 2 }

// requestHandler produces the responses to clients' requests. [Node] implements it.
type requestHandler interface {
	// handleRequest returns the final response to a request. It returns by the deadline, and promptly once
	// ctx ends, which means that the client has disconnected. The only error is errIDInUse.
	handleRequest(ctx context.Context, q balancer.Request, m upstream.Message, deadline time.Time) (clientResponse, error)
}

// frontend is the HTTP server for clients. It depends on the node only as its requestHandler.
type frontend struct {
	handler     requestHandler
	settings    *balancer.Settings
	drainPeriod time.Duration // time for which the listener stays open in a drain
	log         *slog.Logger

	server        *http.Server
	conns         *connTable
	ready         atomic.Bool
	draining      atomic.Bool
	drainDeadline atomic.Pointer[time.Time] // deadline of new requests; nil until the listener closes
	classes       map[string]balancer.Class // by name
	plans         map[string]bool           // names of all plans
}

// newFrontend returns the frontend of a node. It does not serve before serve is called.
func newFrontend(n *Node) *frontend {
	f := &frontend{
		handler:     n,
		settings:    &n.cfg.Settings,
		drainPeriod: n.cfg.drainPeriod,
		log:         n.log,
		conns:       newConnTable(maxClientConns(n.cfg.Sockets), maxClientMemory(n.cfg.MemoryMB)),
		classes:     map[string]balancer.Class{},
		plans:       map[string]bool{},
	}
	f.conns.heads = newHeadAdmission(maxHeadMemory(n.cfg.MemoryMB), maxWaitingHeads(n.cfg.MemoryMB))
	f.conns.log = n.log
	for _, c := range f.settings.Classes {
		f.classes[c.Name] = c
	}
	for _, p := range f.settings.Plans {
		f.plans[p.Name] = true
	}
	f.server = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       headerTimeout + bodyTimeout, // for a body that net/http reads by itself
		WriteTimeout:      f.maxWait() + writeTimeout,  // starts when the request's header was read
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       withConn,
		ConnState:         httpStateChanged,
		ErrorLog:          slog.NewLogLogger(f.log.Handler(), slog.LevelWarn),

		DisableGeneralOptionsHandler: true, // checkFraming must see every request
	}
	return f
}

// serve accepts and serves clients' connections until drain closes the listener. It returns nil after a
// drain.
func (f *frontend) serve(ln *clientListener) error {
	err := f.server.Serve(ln)
	if f.draining.Load() && (errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed)) {
		return nil // ErrServerClosed if the drain ended before net/http noticed that the listener is closed
	}
	return fmt.Errorf("listen: %w", err)
}

// drain stops serving and returns once all requests have been answered. For drainPeriod it still accepts
// connections and answers their requests, but closes each connection after the response. Then it closes the
// listener and waits for the requests in flight. Closing the listener at once would lose the requests of
// clients that are just connecting.
//
// drain does not use [http.Server.Shutdown], which drops without a response each request whose header was
// read just as Shutdown begins.
func (f *frontend) drain(ln *clientListener) {
	f.ready.Store(false)
	f.draining.Store(true)
	began := time.Now()
	time.Sleep(f.drainPeriod)
	ln.closeWhenQueueEmpty()
	drainDeadline := began.Add(min(f.maxWait(), maxKillDelay) + killDelayMargin)
	f.drainDeadline.Store(&drainDeadline)
	f.closeIdleConns(time.Now().Add(f.maxWait() + lingerPeriod))
	// The deadlines of all requests have passed, so the remaining connections never sent a complete request.
	_ = f.server.Close() // the listener is closed already
}

// closeIdleConns closes connections as they become idle. It returns once none is left, or at the time end.
func (f *frontend) closeIdleConns(end time.Time) {
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	for f.conns.closeIdle() > 0 && time.Now().Before(end) {
		<-poll.C
	}
}

// maxWait returns the longest time from a request's arrival to the deadline of its final response.
func (f *frontend) maxWait() time.Duration { return longestWait(f.settings) }

// ServeHTTP answers one request of a client. It implements [http.Handler].
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer f.recoverPanic(w)
	conn := connOf(r)
	conn.expectBody(r.ContentLength)
	defer conn.transition(connResponding)
	head := f.parseHead(r)
	conn.headDropped()
	if f.draining.Load() || f.conns.nearlyFull() || head.malformedFraming {
		w.Header().Set("Connection", "close")
	}
	switch {
	case head.err != nil:
		conn.transition(connResponding)
		f.rejectMalformed(w, r, head.err)
	case head.readinessCheck:
		conn.transition(connResponding)
		f.serveReadiness(w)
	default:
		f.handleRequest(w, r, conn, &head)
	}
}

// requestHead is what the head of a request says.
type requestHead struct {
	request          balancer.Request
	message          upstream.Message // without its body
	readinessCheck   bool
	malformedFraming bool  // the next bytes on the connection may be part of this request
	err              error // the request is malformed or invalid; nil: it is valid
}

// parseHead parses the head of a request, and drops the header that net/http has parsed: it takes far more memory than
// its text, and net/http keeps it until the request is over, for which it may wait for the client.
func (f *frontend) parseHead(r *http.Request) (head requestHead) {
	if head.err = checkFraming(r); head.err != nil {
		head.malformedFraming = true
	} else if head.readinessCheck = r.URL.Path == readyPath && r.ContentLength == 0; !head.readinessCheck {
		head.request, head.message, head.err = f.parseRequest(r)
	}
	r.Header, r.Trailer = nil, nil
	return head
}

// recoverPanic answers a request whose handler panicked, and logs the panic with its stack. It must be
// deferred. It passes a panic with [http.ErrAbortHandler] on to net/http, which closes the connection without
// a response.
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

// handleRequest reads the body of a request, passes the request to the requestHandler and writes the response.
func (f *frontend) handleRequest(w http.ResponseWriter, r *http.Request, conn *clientConn, head *requestHead) {
	q, m := head.request, head.message
	err := f.holdRequest(conn, r, &m)
	if err == nil {
		conn.setComplete(r.ContentLength == 0)
		m.Body, err = readBody(w, r)
	}
	if err != nil {
		conn.transition(connResponding)
		f.rejectMalformed(w, r, err)
		return
	}
	if !conn.transition(connActive) {
		// The connection was evicted before the request was passed on. If the handler just returned, net/http
		// would send an empty response with status 200.
		panic(http.ErrAbortHandler)
	}
	if conn.clientHasLeft(r.Context()) {
		// Requests that were read ahead are not sent either. A client that still reads receives the failures.
		f.writeResponse(w, clientResponse{kind: responseFailed})
		return
	}
	m.Abandoned = conn.closedByClient
	q.Timeout -= time.Since(conn.arrivedAt)
	if drainDeadline := f.drainDeadline.Load(); drainDeadline != nil {
		q.Timeout = min(q.Timeout, time.Until(*drainDeadline))
	}
	deadline := time.Now().Add(q.Timeout + f.settings.ResponseSlack)
	response, err := f.handler.handleRequest(r.Context(), q, m, deadline)
	if errors.Is(err, errIDInUse) {
		writeText(w, http.StatusConflict, "X-Trace-Id is in use")
		return
	}
	if response.kind == responseServed {
		defer f.holdResponse(conn, response.server)()
	}
	f.writeResponse(w, response)
}

// holdResponse moves the memory of a response from the budget of the app servers' responses to that of the
// client's connection, since only the client determines how long it takes to write it. If there is no memory
// for clients, the response stays in its budget until the returned function is called.
func (f *frontend) holdResponse(conn *clientConn, response upstream.Response) (release func()) {
	if !f.conns.hold(conn, heldResponse, response.Size()) {
		return response.Release
	}
	response.Release()
	return func() { f.conns.hold(conn, heldResponse, 0) }
}

// holdRequest reports the memory of a request to the connection table. It returns an error if there is no
// memory for the request.
func (f *frontend) holdRequest(conn *clientConn, r *http.Request, m *upstream.Message) error {
	if r.ContentLength > maxBody {
		return nil // its body is not read
	}
	fields := len(m.Host) + len(m.ID) + len(m.Key) + len(m.ContentType)
	memory := requestMemory + targetCopies*len(m.Target) + fieldCopies*fields + int(r.ContentLength)
	if !f.conns.hold(conn, heldRequest, memory) {
		return &badRequest{status: http.StatusServiceUnavailable, text: "refused: trying again is harmless"}
	}
	return nil
}

// serveReadiness answers a readiness check: 200 if the node accepts requests, 503 before that and in a drain.
func (f *frontend) serveReadiness(w http.ResponseWriter) {
	if f.ready.Load() {
		writeText(w, http.StatusOK, "ready")
	} else {
		writeText(w, http.StatusServiceUnavailable, "not ready")
	}
}
