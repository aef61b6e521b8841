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
	errOver  = errors.New("the request has its final answer")
	errLate  = errors.New("too late to be sent")
	errStale = errors.New("the connection was closed, or brought something unasked")
	errEarly = errors.New("the server answers before it has the request")
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
	over        bool // nothing of it may be sent any more; under the mutex of upstream
}

// request words the message. The target goes on as it came: as the opaque part of
// an address it is not encoded anew.
func (m *message) request(ctx context.Context) *http.Request {
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

// bounds is what an attempt is held to as it is written, however long ago it was decided on.
type bounds struct {
	of    *backend  // the server as it was when it was chosen; nil: as it is
	until time.Time // an attempt not begun by then must not begin
	whole time.Time // by when its last byte has to be written; zero: no bound
}

// write writes a request, unless by the time its first byte would go out its server has left
// the list, it has its final answer, its attempt was given up, its time is over or something has come on
// the connection: a send that has not begun by then must not begin any more, however long ago it was decided.
func (u *upstream) write(ctx context.Context, c *conn, m *message, to bounds, text []byte) error {
	var n int
	var err error
	if failed := c.raw.Write(func(fd uintptr) bool {
		u.mu.Lock() // for two system calls that do not wait: what update, withdraw and cancel have done holds from here on
		defer u.mu.Unlock()
		err = ctx.Err()
		now := time.Now()
		switch {
		case m.over:
			err = errOver
		case !c.of.up:
			err = errUnknown
		case err != nil:
		case past(to.until, now), past(to.whole, now):
			err = errLate
		case !nothingIn(fd):
			err = errStale
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
		return c.writeRest(ctx, to, text[n:])
	}
	return nil
}

// writeRest writes what the socket did not take at once. It ends early if the server answers, which
// can't be to a request that it does not have, or if the last byte would come too late.
func (c *conn) writeRest(ctx context.Context, to bounds, text []byte) error {
	if !to.whole.IsZero() {
		c.SetWriteDeadline(to.whole)
	}
	early := false
	looked := make(chan struct{})
	go func() {
		defer close(looked)
		c.raw.Read(func(fd uintptr) bool {
			early = !nothingIn(fd)
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
		return errEarly
	case past(to.whole, time.Now()):
		return errLate
	}
	return err
}

// past tells whether a time that was set is over.
func past(t, now time.Time) bool { return !t.IsZero() && !now.Before(t) }

// nothingIn tells whether a socket is open with nothing to read. An idle connection that the server has
// closed, or on which something came unasked, would end a request written to it as a reset, which may not
// be repeated freely.
func nothingIn(fd uintptr) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN
}

// withdraw has nothing of a message sent from now on; what has been begun goes on.
func (u *upstream) withdraw(m *message) {
	u.mu.Lock()
	m.over = true
	u.mu.Unlock()
}

// cancel gives an attempt up.
func (u *upstream) cancel(attempt context.CancelFunc) {
	u.mu.Lock()
	attempt()
	u.mu.Unlock()
}
