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

// Why a request is not written, or not to its end.
var (
	errAnswered      = errors.New("request has its final response")
	errTooLate       = errors.New("too late to be sent")
	errConnStale     = errors.New("connection was closed, or brought something unasked")
	errEarlyResponse = errors.New("server responds before it has the request")
)

// minExpiresIn is the shortest wait that X-Expires-In states, in seconds.
const minExpiresIn = 0.001

// longAgo is a deadline that ends all reading or writing at once.
var longAgo = time.Unix(1, 0)

// Message is what is passed on to an app server.
type Message struct {
	Method      string
	Target      string // path and query, byte for byte as the client sent them
	Host        string
	ID          string // X-Trace-Id
	Key         string // Idempotency-Key
	ContentType string
	Body        []byte
	withdrawn   bool // nothing of it may be sent any more; guarded by the pool's mutex
}

// httpRequest returns the message as a request. The target is passed on as it came: as the opaque part of a URL it is
// not encoded anew.
func (m *Message) httpRequest(ctx context.Context) *http.Request {
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
	if len(m.Body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(m.Body)), int64(len(m.Body))
	}
	return req
}

func (m *Message) header(ctx context.Context) http.Header {
	h := http.Header{"User-Agent": {""}} // none, rather than the library's own
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
		left := math.Max(time.Until(deadline).Seconds(), minExpiresIn)
		h["X-Expires-In"] = []string{strconv.FormatFloat(left, 'f', 3, 64)}
	}
	return h
}

// WriteLimits is what an attempt is held to as it is written, however long ago it was decided on.
type WriteLimits struct {
	Backend        *Backend  // the server as it was when it was selected; nil: as it is
	startBefore    time.Time // an attempt that has not begun by then must not begin: the end of its context
	CompleteBefore time.Time // by when its last byte has to be written; zero: no limit
}

// writeRequest writes a request, unless by the time its first byte would go out it must not begin any more: see
// mayWrite.
func (u *Pool) writeRequest(ctx context.Context, c *conn, m *Message, limits WriteLimits, text []byte) error {
	var n int
	var err error
	failed := c.raw.Write(func(fd uintptr) bool {
		// For two system calls that do not wait: what Update, Withdraw and Cancel have done holds from here on.
		u.mu.Lock()
		defer u.mu.Unlock()
		if err = mayWrite(ctx, c, m, limits, fd); err != nil {
			return true
		}
		n, err = writeOnce(fd, text)
		return !errors.Is(err, syscall.EAGAIN)
	})
	if failed != nil {
		return failed
	}
	if err != nil {
		return err
	}
	if n < len(text) {
		return c.writeRemainder(ctx, limits, text[n:])
	}
	return nil
}

// mayWrite returns why a request must not begin any more: it has its final response, its server has left the list,
// its attempt was given up, its time is over, or something has come on the connection. Called under the mutex.
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
	case isPast(limits.startBefore, now), isPast(limits.CompleteBefore, now):
		return errTooLate
	case !socketQuiet(fd):
		return errConnStale
	}
	return nil
}

// writeOnce writes what the socket takes without waiting.
func writeOnce(fd uintptr, text []byte) (n int, err error) {
	for {
		if n, err = syscall.Write(int(fd), text); err != syscall.EINTR {
			return n, err
		}
	}
}

// writeRemainder writes what the socket did not take at once. It ends early if the server responds, which can't be to
// a request that it does not have, or if the last byte would come too late. Deadlines that can't be set mean that the
// connection is closed, which the write reports.
func (c *conn) writeRemainder(ctx context.Context, limits WriteLimits, text []byte) error {
	if !limits.CompleteBefore.IsZero() {
		_ = c.SetWriteDeadline(limits.CompleteBefore)
	}
	early := false
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		_ = c.raw.Read(func(fd uintptr) bool { // fails at the deadline set below
			early = !socketQuiet(fd)
			return early
		})
		_ = c.SetWriteDeadline(longAgo) // also after the last byte, where it changes nothing
	}()
	if ctx.Err() != nil { // its end may have set deadlines that these have replaced
		c.interrupt()
	}
	_, err := c.Write(text)
	_ = c.SetReadDeadline(longAgo) // ends the watching
	<-watched
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

// interrupt ends all reading and writing on the connection. It fails on a closed one only, where they end anyway.
func (c *conn) interrupt() { _ = c.SetDeadline(longAgo) }

// isPast tells whether a time that was set is over.
func isPast(t, now time.Time) bool { return !t.IsZero() && !now.Before(t) }

// socketQuiet tells whether a socket is open with nothing to read. An idle connection that the server has closed, or
// on which something came unasked, would end a request written to it as a reset, which may not be retried freely.
func socketQuiet(fd uintptr) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN
}

// Withdraw has nothing of a message sent from now on; what has begun goes on.
func (u *Pool) Withdraw(m *Message) {
	u.mu.Lock()
	m.withdrawn = true
	u.mu.Unlock()
}

// Cancel gives an attempt up. Under the mutex, so that none is written once it has returned.
func (u *Pool) Cancel(attempt context.CancelFunc) {
	u.mu.Lock()
	attempt()
	u.mu.Unlock()
}
