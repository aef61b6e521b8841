package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Reasons why a request is not written, or not completely.
var (
	errAnswered      = errors.New("request already has its final response")
	errAbandoned     = errors.New("nobody waits for the response any more")
	errTooLate       = errors.New("time limit for sending has passed")
	errConnStale     = errors.New("connection was closed or received unsolicited data")
	errEarlyResponse = errors.New("server responded before the request was completely written")
)

// minExpiresIn is the smallest value of X-Expires-In, in seconds.
const minExpiresIn = 0.001

// expiredDeadline is a time in the past. Set as a deadline, it ends all reads or writes at once.
var expiredDeadline = time.Unix(1, 0)

// Message is a request to an app server. Headers whose field is empty are not sent.
type Message struct {
	Method      string
	Target      string // path and query, byte for byte as the client sent them
	Host        string
	ID          string // X-Trace-Id
	Key         string // Idempotency-Key
	ContentType string
	Body        []byte
	Abandoned   func() bool // reports at the write whether nobody waits for the response any more; nil: somebody does
	withdrawn   bool        // must not be sent any more; guarded by the pool's mutex, as is Body once the message is used
}

// framingSize is about the size of an HTTP request without the fields and the body of its message, in bytes.
const framingSize = 512

// httpRequest converts the message to an HTTP request with a body. The target becomes the opaque part of the URL, because
// net/http would encode a path again. An empty host becomes app.svc.
func (m *Message) httpRequest(ctx context.Context, body []byte) *http.Request {
	path, query, force := strings.Cut(m.Target, "?")
	req := &http.Request{
		Method: m.Method,
		Host:   m.Host,
		Header: m.header(ctx),
		URL:    &url.URL{Opaque: path, RawQuery: query, ForceQuery: force},
	}
	if req.Host == "" {
		req.Host = "app.svc"
	}
	if len(body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	}
	return req
}

// encode returns the message as an HTTP request, and its text. The request has no body any more: it is kept until the
// response is read, but the body is not.
func (p *Pool) encode(ctx context.Context, m *Message) (*http.Request, []byte, error) {
	p.mu.Lock()
	body := m.Body
	p.mu.Unlock()
	request := m.httpRequest(ctx, body)
	var text bytes.Buffer
	text.Grow(framingSize + bytes.MinRead + len(m.Target) + len(m.Host) + len(m.ID) + len(m.Key) + len(m.ContentType) + len(body))
	err := request.Write(&text)
	request.Body = nil
	return request, text.Bytes(), err
}

func (m *Message) header(ctx context.Context) http.Header {
	h := http.Header{"User-Agent": {""}} // suppresses the default of net/http
	if m.ID != "" {
		h["X-Trace-Id"] = []string{m.ID}
	}
	if m.Key != "" {
		h["Idempotency-Key"] = []string{m.Key}
	}
	if m.ContentType != "" {
		h["Content-Type"] = []string{m.ContentType}
	}
	if deadline, ok := ctx.Deadline(); ok {
		remaining := math.Max(time.Until(deadline).Seconds(), minExpiresIn)
		h["X-Expires-In"] = []string{strconv.FormatFloat(remaining, 'f', 3, 64)}
	}
	return h
}

// WriteLimits are conditions that an attempt must meet when it is written. Much time may have passed since
// the balancer decided on it.
type WriteLimits struct {
	Backend        *Backend  // server as it was when selected; nil: the current one
	startBefore    time.Time // time limit for its first byte: the deadline of its context; zero: no limit
	CompleteBefore time.Time // time limit for its last byte; zero: no limit
}

// writeRequest writes a request. It checks immediately before the first byte that the request may still be
// sent; see mayWrite.
func (p *Pool) writeRequest(ctx context.Context, c *conn, m *Message, limits WriteLimits, text []byte) error {
	var n int
	var err error
	rawErr := c.raw.Write(func(fd uintptr) bool {
		// The mutex makes the check and the write atomic with respect to Update, Withdraw and Cancel. It is
		// held for a few system calls, none of which blocks.
		p.mu.Lock()
		defer p.mu.Unlock()
		if err = mayWrite(ctx, c, m, limits, fd); err != nil {
			return true
		}
		n, err = writeOnce(fd, text)
		return !errors.Is(err, syscall.EAGAIN)
	})
	if rawErr != nil {
		return rawErr
	}
	if err != nil {
		return err
	}
	if n < len(text) {
		return c.writeRemainder(ctx, limits, text[n:])
	}
	return nil
}

// mayWrite returns an error if a request must not be sent any more: the message was withdrawn or abandoned, its
// server is not up any more, its attempt was cancelled, a time limit has passed, or the connection was closed or has
// received data. The caller must hold the mutex.
func mayWrite(ctx context.Context, c *conn, m *Message, limits WriteLimits, fd uintptr) error {
	cancelled := ctx.Err()
	now := time.Now()
	switch {
	case m.withdrawn:
		return errAnswered
	case !c.backend.up:
		return errNotUp
	case cancelled != nil:
		return cancelled
	case m.Abandoned != nil && m.Abandoned():
		return errAbandoned
	case isPast(limits.startBefore, now), isPast(limits.CompleteBefore, now):
		return errTooLate
	case !socketIdle(fd):
		return errConnStale
	}
	return nil
}

// writeOnce writes as much as the socket accepts without blocking.
func writeOnce(fd uintptr, text []byte) (n int, err error) {
	for {
		if n, err = syscall.Write(int(fd), text); err != syscall.EINTR {
			return n, err
		}
	}
}

// writeRemainder writes the bytes that the socket did not accept at once. It stops early if the server
// responds, since that cannot be the response to an incomplete request, or if the time limit for the last
// byte passes. Errors of setting a deadline are ignored: they mean that the connection is closed, which the
// write reports.
func (c *conn) writeRemainder(ctx context.Context, limits WriteLimits, text []byte) error {
	if !limits.CompleteBefore.IsZero() {
		_ = c.SetWriteDeadline(limits.CompleteBefore)
	}
	early := false
	watchDone := make(chan struct{})
	go func() {
		defer close(watchDone)
		_ = c.raw.Read(func(fd uintptr) bool { // returns an error at the read deadline set below
			early = !socketIdle(fd)
			return early
		})
		_ = c.SetWriteDeadline(expiredDeadline) // has no effect after the last byte
	}()
	if ctx.Err() != nil { // the deadlines above may have replaced those of interrupt
		c.interrupt()
	}
	_, err := c.Write(text)
	_ = c.SetReadDeadline(expiredDeadline) // ends the goroutine's read
	<-watchDone
	_ = c.SetDeadline(time.Time{})
	if ctx.Err() != nil {
		c.interrupt()
	}
	switch {
	case err == nil:
		return nil
	case early:
		return errEarlyResponse
	case isPast(limits.CompleteBefore, time.Now()):
		return errTooLate
	}
	return err
}

// interrupt ends all reads and writes on the connection. Setting the deadline fails only if the connection is
// closed, in which case they end anyway.
func (c *conn) interrupt() { _ = c.SetDeadline(expiredDeadline) }

// isPast reports whether t has passed. The zero time never passes.
func isPast(t, now time.Time) bool { return !t.IsZero() && !now.Before(t) }

// socketIdle reports whether a socket is open and has no data to read. If the server has closed a
// connection, a request written to it would end with a reset. Such a request may have run, so it may not be
// freely retried. Unsolicited data on a connection would be taken for the response to the next request.
func socketIdle(fd uintptr) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN
}

// Withdraw prevents further attempts of a message whose request has its final response, and drops its body and
// what Abandoned refers to. None begins after Withdraw has returned. Attempts that have begun continue.
func (p *Pool) Withdraw(m *Message) {
	p.mu.Lock()
	m.withdrawn, m.Body, m.Abandoned = true, nil, nil
	p.mu.Unlock()
}

// Cancel cancels an attempt by calling its cancel function. It does so under the mutex, so that an attempt
// that has not begun is not written after Cancel has returned.
func (p *Pool) Cancel(attempt context.CancelFunc) {
	p.mu.Lock()
	attempt()
	p.mu.Unlock()
}
