package edgenode

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/url"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"opalhook/balancer"
)

const (
	readyPath           = "/health/ready"
	maxBody             = 64 << 10                // bytes that the body of a request may hold
	transitAllowance    = 10 * time.Millisecond   // taken off a client's wait, which counts from its send
	defaultMaxUnits     = 1e6                     // of one request, where the settings don't tell
	headerTimeout       = 1500 * time.Millisecond // for a request's header, from the connection's start or the first byte
	unreadBodyTimeout   = 250 * time.Millisecond  // for the rest of a body that is of no use
	bodyTimeout         = time.Second             // for its body
	writeTimeout        = 10 * time.Second        // for the writing of an answer, behind the longest wait for it
	idleTimeout         = 30 * time.Second        // for a connection between requests
	drainListenPeriod   = 500 * time.Millisecond  // connections still come for 0.4 s after a planned restart begins
	drainPollInterval   = 5 * time.Millisecond    // from one look at connections that have become idle to the next
	maxKillDelay        = 3 * time.Second         // a process may be killed so long after its order to end, or the longest wait if that is less,
	killDelayMargin     = 600 * time.Millisecond  // and so much longer
	reservedDescriptors = 48                      // descriptors that are neither a client's nor an app server's
)

// maxServerConns and clientSockets share out the descriptors. A request has one
// attempt out at most, so as many connections to app servers as to clients are
// enough.
func maxServerConns(all int) int { return (all - reservedDescriptors) / 2 }
func maxClientConns(all int) int { return (all - reservedDescriptors) / 2 }

// frontend is the client side.
type frontend struct {
	node     *Node
	server   *http.Server
	conns    *connTable
	ready    atomic.Bool
	draining atomic.Bool
	answerBy atomic.Pointer[time.Time] // once the listener is closed: when each request that comes has to be answered
	classes  map[string]balancer.Class
	plans    map[string]bool
}

func newFrontend(n *Node) *frontend {
	f := &frontend{node: n, conns: newConnTable(maxClientConns(n.cfg.Sockets)),
		classes: map[string]balancer.Class{}, plans: map[string]bool{}}
	for _, c := range n.cfg.Settings.Classes {
		f.classes[c.Name] = c
	}
	for _, p := range n.cfg.Settings.Plans {
		f.plans[p.Name] = true
	}
	f.server = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      f.maxWait() + writeTimeout, // counts from a request's header
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    16 << 10,
		ConnContext:       withConn,
		ErrorLog:          slog.NewLogLogger(n.log.Handler(), slog.LevelWarn),
	}
	return f
}

// serve answers clients until drain closes the listener.
func (f *frontend) serve(ln *clientListener) error {
	err := f.server.Serve(ln)
	if f.draining.Load() && (errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed)) {
		return nil // the second where the drain has ended all before the library sees the first
	}
	return fmt.Errorf("listen: %w", err)
}

// drain ends serving. Clients still come for a while and are still answered, on
// connections that close after the answer; then the listener closes, and what was
// taken is finished. Closing at once would lose what crosses the close.
//
// The library's own Shutdown is not used: from its start it drops, with no answer, each
// request whose head it has just read.
func (f *frontend) drain(ln *clientListener) {
	f.ready.Store(false)
	f.draining.Store(true)
	began := time.Now()
	<-time.After(f.node.cfg.drainPeriod)
	ln.closeWhenQueueEmpty()
	// The process may be killed so long after its order to end; what came late has to be answered by then.
	due := began.Add(min(f.maxWait(), maxKillDelay) + killDelayMargin)
	f.answerBy.Store(&due)
	look := time.NewTicker(drainPollInterval)
	defer look.Stop()
	for end := time.Now().Add(f.maxWait() + lingerPeriod); f.conns.closeIdle() > 0 && time.Now().Before(end); {
		<-look.C
	}
	// Only connections that never sent a whole request are left: the deadlines of all taken are past.
	f.server.Close()
}

// maxWait is how long after a request's arrival its final answer may be due.
func (f *frontend) maxWait() time.Duration {
	longest := time.Duration(0)
	for _, c := range f.node.cfg.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest + f.node.cfg.Settings.ResponseSlack
}

// ServeHTTP answers one request of a client.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer func() {
		switch p := recover(); p {
		case nil:
		case http.ErrAbortHandler:
			panic(p)
		default:
			f.node.log.Error("panic", "cause", p, "stack", string(debug.Stack()))
			writeText(w, http.StatusInternalServerError, "internal error")
		}
	}()
	if f.draining.Load() || f.conns.nearlyFull() {
		w.Header().Set("Connection", "close")
	}
	slot := connOf(r)
	defer slot.transition(connResponding)
	if err := checkFraming(r); err != nil {
		f.rejectMalformed(w, r, err)
		return
	}
	if r.URL.Path == readyPath && r.ContentLength == 0 {
		f.serveReadiness(w)
		return
	}
	began := time.Now()
	q, m, err := f.parseRequest(r)
	if err == nil {
		m.body, err = readBody(w, r)
	}
	if err != nil {
		f.rejectMalformed(w, r, err)
		return
	}
	if !slot.transition(connActive) {
		// Closed for another: nothing was sent on. The library would take a return for an empty 200.
		panic(http.ErrAbortHandler)
	}
	q.Timeout -= time.Since(began)
	if due := f.answerBy.Load(); due != nil {
		q.Timeout = min(q.Timeout, time.Until(*due))
	}
	deadline := time.Now().Add(q.Timeout + f.node.cfg.Settings.ResponseSlack)
	fl := f.node.startRequest(q, m, deadline)
	if fl == nil {
		writeText(w, http.StatusConflict, "X-Trace-Id is in use")
		return
	}
	late := time.NewTimer(time.Until(deadline))
	defer late.Stop()
	select {
	case a := <-fl.response:
		f.writeResponse(w, a)
		return
	case <-r.Context().Done():
		// The client has gone, or has closed its sending side: then it still has to be told.
		f.node.abortRequest(fl)
	case <-late.C:
		f.node.abortRequest(fl)
	}
	f.writeResponse(w, <-fl.response)
}

// rejectMalformed answers a request that is the client's mistake. A body that was not read is
// not waited for: what is left of it would be read as the next request.
func (f *frontend) rejectMalformed(w http.ResponseWriter, r *http.Request, err error) {
	bad := &badRequest{status: http.StatusBadRequest}
	if errors.As(err, &bad); bad.allow != "" {
		w.Header().Set("Allow", bad.allow)
	}
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
		// The library reads a short rest before it closes, or the client could miss the answer.
		// Half a body would keep it reading for ever.
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
	writeText(w, bad.status, err.Error())
}

// checkFraming turns down what does not tell its length in the one way that clients use. A
// request with a Transfer-Encoding as well as a Content-Length can hide another one in
// its body; the library lets the first win and hides the second, and ignores the first
// below HTTP/1.1.
func checkFraming(r *http.Request) error {
	if r.ProtoMajor != 1 || r.ProtoMinor != 1 {
		return &badRequest{status: http.StatusHTTPVersionNotSupported, text: "HTTP/1.1 is spoken here"}
	}
	if len(r.TransferEncoding) > 0 {
		return &badRequest{status: http.StatusLengthRequired, text: "Content-Length is wanted, not Transfer-Encoding"}
	}
	return nil
}

func (f *frontend) serveReadiness(w http.ResponseWriter) {
	if f.ready.Load() {
		writeText(w, http.StatusOK, "ready")
	} else {
		writeText(w, http.StatusServiceUnavailable, "not ready")
	}
}

// writeResponse words a final answer.
func (f *frontend) writeResponse(w http.ResponseWriter, a clientResponse) {
	h := w.Header()
	if f.draining.Load() { // also where the request came before
		h.Set("Connection", "close")
	}
	switch a.kind {
	case responseServed:
		if a.server.contentType != "" {
			h["Content-Type"] = []string{a.server.contentType}
		} else {
			h["Content-Type"] = nil // or the library guesses one
		}
		h["Content-Length"] = []string{strconv.Itoa(len(a.server.body))}
		w.WriteHeader(http.StatusOK)
		w.Write(a.server.body) // a client that is gone by now has nothing to be told
	case responseRejected:
		if a.retryAfter > 0 {
			h["Retry-After"] = []string{strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64)}
		}
		writeText(w, http.StatusTooManyRequests, "refused: trying again is harmless")
	default:
		writeText(w, http.StatusBadGateway, "failed")
	}
}

func writeText(w http.ResponseWriter, status int, text string) {
	h := w.Header()
	h["Content-Type"] = []string{"text/plain; charset=utf-8"}
	h["Content-Length"] = []string{strconv.Itoa(len(text) + 1)}
	w.WriteHeader(status)
	io.WriteString(w, text+"\n")
}

// badRequest is an error in what a client sent. None is worded as a refusal.
type badRequest struct {
	status int
	text   string
	allow  string // the method that the class wants
}

func (e *badRequest) Error() string { return e.text }

func badRequestf(format string, args ...any) error {
	return &badRequest{status: http.StatusBadRequest, text: fmt.Sprintf(format, args...)}
}

// parseRequest reads a request's head.
func (f *frontend) parseRequest(r *http.Request) (q balancer.Request, m message, err error) {
	header := func(name string) string {
		v := r.Header[name]
		if len(v) != 1 || v[0] == "" {
			if err == nil {
				err = badRequestf("%s: %d values where one is wanted", name, len(v))
			}
			return ""
		}
		return v[0]
	}
	q.ID, q.Class, q.Plan = header("X-Trace-Id"), header("X-Qos"), header("X-Contract")
	expires, metering := header("X-Expires-In"), header("X-Metering")
	if err != nil {
		return q, m, err
	}
	class, known := f.classes[q.Class]
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch {
	case !validID(q.ID):
		return q, m, badRequestf("X-Trace-Id: malformed")
	case !known:
		return q, m, badRequestf("X-Qos: unknown class")
	case first != q.Class || !strings.HasPrefix(r.RequestURI, "/"):
		return q, m, badRequestf("path: does not begin with the class")
	case !f.plans[q.Plan]:
		return q, m, badRequestf("X-Contract: unknown plan")
	}
	seconds, ok := parseDecimal(expires)
	if !ok || seconds <= 0 {
		return q, m, badRequestf("X-Expires-In: malformed")
	}
	// Nobody waits for longer than the class's clients do: requests must not pile up.
	seconds = math.Min(seconds, class.Deadline.Seconds())
	q.Timeout = time.Duration(seconds*float64(time.Second)) - transitAllowance
	if q.Tenant, err = parseCustomer(r.URL.RawQuery); err != nil {
		return q, m, err
	}
	if err = f.parseMetering(metering, &q); err != nil {
		return q, m, err
	}
	m = message{target: r.RequestURI, host: r.Host, id: q.ID, contentType: r.Header.Get("Content-Type")}
	m.method = http.MethodPost
	if class.Idempotency == balancer.Idempotent {
		m.method = http.MethodGet
	}
	if r.Method != m.method {
		return q, m, &badRequest{http.StatusMethodNotAllowed, "method: the class wants " + m.method, m.method}
	}
	if class.Idempotency == balancer.Idempotent && r.ContentLength != 0 {
		return q, m, badRequestf("body: the class has none")
	}
	if class.Idempotency == balancer.IdempotentWithKey {
		m.key = header("Idempotency-Key")
	} else {
		m.key = r.Header.Get("Idempotency-Key")
	}
	return q, m, err
}

// validID tells whether an id is one word of ordinary characters.
func validID(id string) bool {
	for i := 0; i < len(id); i++ {
		c := id[i]
		if !('0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || c == '-' || c == '_' || c == '.') {
			return false
		}
	}
	return len(id) > 0 && len(id) <= 64
}

// parseCustomer takes the customer from the query: 16 hex digits, a number below 2^33.
func parseCustomer(query string) (uint64, error) {
	vals, err := url.ParseQuery(query)
	if err != nil || len(vals["customer"]) != 1 {
		return 0, badRequestf("customer: missing or malformed")
	}
	v := vals["customer"][0]
	x, err := strconv.ParseUint(v, 16, 64)
	if err != nil || len(v) != 16 || x >= 1<<33 {
		return 0, badRequestf("customer: missing or malformed")
	}
	return x, nil
}

// parseMetering takes units, spread and first from X-Metering. What can't be of a usual client
// must not reach the module: it would mark the customer's store in everybody's name.
func (f *frontend) parseMetering(text string, q *balancer.Request) error {
	set := &f.node.cfg.Settings
	number := func(val string, least, most int) (int, bool) {
		x, ok := parseDecimal(val)
		return int(x), ok && x == math.Trunc(x) && x >= float64(least) && x <= float64(most)
	}
	most := set.MaxUnits
	if most <= 0 {
		most = defaultMaxUnits
	}
	seen := map[string]bool{}
	for _, pair := range strings.Split(text, ",") {
		name, val, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if seen[name] {
			return badRequestf("X-Metering: %q stands twice", name)
		}
		seen[name] = true
		ok := true
		switch name {
		case "units":
			q.Units, ok = parseDecimal(val)
			ok = ok && q.Units > 0 && q.Units <= most
		case "spread":
			q.EntryNodes, ok = number(val, 1, set.NodeCount)
		case "first":
			q.FirstEntryNode, ok = number(val, 0, set.NodeCount-1)
		}
		if !ok {
			return badRequestf("X-Metering: %s is malformed or out of range", name)
		}
	}
	if !seen["units"] || !seen["spread"] || !seen["first"] {
		return badRequestf("X-Metering: units, spread or first is missing")
	}
	if (set.NodeIndex-q.FirstEntryNode+set.NodeCount)%set.NodeCount >= q.EntryNodes {
		return badRequestf("X-Metering: the customer does not come through this node")
	}
	return nil
}

// readBody reads the whole body, within a time so that one sent in part holds no
// socket for ever.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	tooLarge := &badRequest{status: http.StatusRequestEntityTooLarge, text: "body: over 64 KiB"}
	if r.ContentLength > maxBody {
		return nil, tooLarge
	}
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, fmt.Errorf("body: %w", err)
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, badRequestf("body: incomplete")
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		return nil, fmt.Errorf("body: %w", err)
	}
	return body, nil
}
