package edgenode

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
	errAnswered      = errors.New("the request has its final answer")
	errTooLate       = errors.New("too late to be sent")
	errConnStale     = errors.New("the connection was closed, or brought something unasked")
	errEarlyResponse = errors.New("the server answers before it has the request")
)

// message is what goes on to an app server.
type message struct {
	method      string
	target      string // path and query, byte for byte as the client sent them
	host        string
	id          string // X-Trace-Id
	key         string // Idempotency-Key
	contentType string
	body        []byte
	withdrawn   bool // nothing of it may be sent any more; under the mutex of upstream
}

// httpRequest words the message. The target goes on as it came: as the opaque part of
// an address it is not encoded anew.
func (m *message) httpRequest(ctx context.Context) *http.Request {
	path, query, force := strings.Cut(m.target, "?")
	h := http.Header{"User-Agent": {""}} // none, rather than the library's own
	if m.id != "" {
		h["X-Trace-Id"] = []string{m.id}
	}
	if m.key != "" {
		h["Idempotency-Key"] = []string{m.key}
	}
	if m.contentType != "" {
		h["Content-Type"] = []string{m.contentType}
	}
	if until, ok := ctx.Deadline(); ok {
		left := math.Max(time.Until(until).Seconds(), 0.001)
		h["X-Expires-In"] = []string{strconv.FormatFloat(left, 'f', 3, 64)}
	}
	req := &http.Request{Method: m.method, Host: m.host, Header: h,
		URL: &url.URL{Opaque: path, RawQuery: query, ForceQuery: force}}
	if req.Host == "" {
		req.Host = "app.svc"
	}
	if len(m.body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(m.body)), int64(len(m.body))
	}
	return req
}

// writeLimits is what an attempt is held to as it is written, however long ago it was decided on.
type writeLimits struct {
	backend        *backend  // the server as it was when it was chosen; nil: as it is
	startBefore    time.Time // an attempt not begun by then must not begin
	completeBefore time.Time // by when its last byte has to be written; zero: no bound
}

// writeRequest writes a request, unless by the time its first byte would go out its server has left
// the list, it has its final answer, its attempt was given up, its time is over or something has come on
// the connection: a send that has not begun by then must not begin any more, however long ago it was decided.
func (u *upstream) writeRequest(ctx context.Context, c *conn, m *message, to writeLimits, text []byte) error {
	var n int
	var err error
	if failed := c.raw.Write(func(fd uintptr) bool {
		u.mu.Lock() // for two system calls that do not wait: what update, withdraw and cancel have done holds from here on
		defer u.mu.Unlock()
		err = ctx.Err()
		now := time.Now()
		switch {
		case m.withdrawn:
			err = errAnswered
		case !c.backend.up:
			err = errNotUp
		case err != nil:
		case isPast(to.startBefore, now), isPast(to.completeBefore, now):
			err = errTooLate
		case !socketQuiet(fd):
			err = errConnStale
		}
		if err != nil {
			return true
		}
		for {
			if n, err = syscall.Write(int(fd), text); err != syscall.EINTR {
				return err != syscall.EAGAIN
			}
		}
	}); failed != nil {
		return failed
	}
	if err != nil {
		return err
	}
	if n < len(text) {
		return c.writeRemainder(ctx, to, text[n:])
	}
	return nil
}

// writeRemainder writes what the socket did not take at once. It ends early if the server answers, which
// can't be to a request that it does not have, or if the last byte would come too late.
func (c *conn) writeRemainder(ctx context.Context, to writeLimits, text []byte) error {
	if !to.completeBefore.IsZero() {
		c.SetWriteDeadline(to.completeBefore)
	}
	early := false
	looked := make(chan struct{})
	go func() {
		defer close(looked)
		c.raw.Read(func(fd uintptr) bool {
			early = !socketQuiet(fd)
			return early
		})
		c.SetWriteDeadline(time.Unix(1, 0)) // also behind the last byte, where it changes nothing
	}()
	if ctx.Err() != nil { // its end may have set deadlines that these have replaced
		c.SetDeadline(time.Unix(1, 0))
	}
	_, err := c.Write(text)
	c.SetReadDeadline(time.Unix(1, 0)) // ends the look
	<-looked
	c.SetDeadline(time.Time{})
	if ctx.Err() != nil {
		c.SetDeadline(time.Unix(1, 0))
	}
	switch {
	case err == nil:
		return nil
	case early:
		return errEarlyResponse
	case isPast(to.completeBefore, time.Now()):
		return errTooLate
	}
	return err
}

// isPast tells whether a time that was set is over.
func isPast(t, now time.Time) bool { return !t.IsZero() && !now.Before(t) }

// socketQuiet tells whether a socket is open with nothing to read. An idle connection that the server has
// closed, or on which something came unasked, would end a request written to it as a reset, which may not
// be repeated freely.
func socketQuiet(fd uintptr) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN
}

// withdraw has nothing of a message sent from now on; what has been begun goes on.
func (u *upstream) withdraw(m *message) {
	u.mu.Lock()
	m.withdrawn = true
	u.mu.Unlock()
}

// cancelAttempt gives an attempt up.
func (u *upstream) cancelAttempt(attempt context.CancelFunc) {
	u.mu.Lock()
	attempt()
	u.mu.Unlock()
}
