package edgenode

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// discoveryClient follows the list of app servers: the host of a [follower]. One goroutine has the
// follower, each call one that reads.
type discoveryClient struct {
	addr   netip.AddrPort
	follow follower
	apply  func(List)
	log    *slog.Logger

	moves         chan netip.AddrPort // where to follow the list from now on
	responded     chan struct{}       // closed once a list, or that nothing has changed, has come
	dial          func(ctx context.Context, network, addr string) (net.Conn, error)
	events        chan callEvent
	calls         map[uint64]context.CancelFunc
	previousCalls map[uint64]context.CancelFunc // watches of a discovery that was left, until the next one answers
}

// callEvent is what a call brings.
type callEvent struct {
	id   uint64
	kind eventKind
	list List // of a message; of what is malformed: what could be read of it
	err  error

	entryErrors []error // of a message
	rejected    bool    // of an end
	retryAfter  time.Duration
}

type eventKind int

const (
	eventHead      eventKind = iota // an answer has begun
	eventPartial                    // part of a message has come
	eventEmptyLine                  // an empty line
	eventMessage                    // a whole message
	eventEnd                        // the call has ended
	eventMalformed                  // the call has ended with what can't be read
)

func newDiscoveryClient(addr netip.AddrPort, f follower, apply func(List), log *slog.Logger) *discoveryClient {
	return &discoveryClient{addr: addr, follow: f, apply: apply, log: log, moves: make(chan netip.AddrPort),
		responded: make(chan struct{}), dial: (&net.Dialer{Timeout: maxCallDuration}).DialContext, events: make(chan callEvent),
		calls: map[uint64]context.CancelFunc{}, previousCalls: map[uint64]context.CancelFunc{}}
}

// move follows the list at another address from now on, or reads it again at the same one. It
// returns once that is taken in, or ctx has ended.
func (r *discoveryClient) move(ctx context.Context, to netip.AddrPort) {
	select {
	case r.moves <- to:
	case <-ctx.Done():
	}
}

// run follows until ctx ends. Nothing is applied after it has returned.
func (r *discoveryClient) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var reading sync.WaitGroup
	defer reading.Wait()
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DialContext: r.dial, DisableKeepAlives: true}}
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	f := &r.follow
	f.start(0)
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		wasDown, wasLined, cause := f.down, f.throttled, errSilence
		select {
		case <-ctx.Done():
			return
		case <-wake.C:
		case to := <-r.moves:
			r.moveTo(now(), to)
		case e := <-r.events:
			r.handleEvent(now(), e)
			if e.err != nil {
				cause = e.err
			}
		}
		do, at := f.advance(now())
		for _, o := range do {
			if !o.open {
				r.closeCall(r.calls, o.id)
				continue
			}
			callCtx, end := context.WithCancel(ctx)
			r.calls[o.id] = end
			addr := r.addr
			reading.Go(func() { r.runCall(callCtx, client, addr, o) })
		}
		wake.Reset(at - now())
		switch { // one line for an outage, however often it is called
		case f.throttled && !wasLined:
			r.log.Warn("discovery: turned away", "err", cause)
		case f.down && !wasDown:
			r.log.Warn("discovery: watch broken", "err", cause)
		case wasDown && !f.down:
			r.log.Info("discovery: watching again", "generation", f.version)
		}
	}
}

var errSilence = errors.New("silent for too long")

func (r *discoveryClient) closeCall(calls map[uint64]context.CancelFunc, id uint64) {
	if end := calls[id]; end != nil {
		end()
		delete(calls, id)
	}
}

// moveTo leaves the address for another one. The watches there are heard until that one
// answers: it may be late, and they still bring news.
func (r *discoveryClient) moveTo(now time.Duration, to netip.AddrPort) {
	if to == r.addr {
		r.follow.refresh()
		return
	}
	for id, end := range r.calls {
		r.previousCalls[id] = end
	}
	clear(r.calls)
	r.addr = to
	r.follow.addressChanged(now)
}

// handleEvent takes in what a call has brought.
func (r *discoveryClient) handleEvent(now time.Duration, e callEvent) {
	f := &r.follow
	if _, left := r.previousCalls[e.id]; left {
		switch e.kind {
		case eventMessage:
			r.apply(e.list)
		case eventEnd, eventMalformed:
			r.closeCall(r.previousCalls, e.id)
		}
		return
	}
	switch e.kind {
	case eventHead:
		f.received(now, e.id, false)
	case eventPartial:
		f.received(now, e.id, true)
	case eventEmptyLine:
		f.emptyLine(now, e.id)
	case eventMessage:
		if f.message(now, e.id, e.list.Generation, e.list.Full, len(e.entryErrors) > 0) {
			if len(e.entryErrors) > 0 { // one line for each list, however many entries
				r.log.Warn("discovery: some of the list is spoilt", "count", len(e.entryErrors), "first", e.entryErrors[0])
			}
			r.apply(e.list)
		}
	case eventMalformed:
		if f.callByID(e.id) != nil && len(e.list.Servers) > 0 {
			r.apply(e.list)
		}
		f.malformed(now, e.id)
	case eventEnd:
		f.ended(now, e.id, e.rejected, e.retryAfter)
	}
	if f.callByID(e.id) == nil { // a fetch is over with its message
		r.closeCall(r.calls, e.id)
	}
	if (e.kind == eventMessage || e.kind == eventEmptyLine) && f.lastHeard == now {
		r.markResponded()
	}
}

// markResponded notes that discovery, as it is followed now, has told what it has.
func (r *discoveryClient) markResponded() {
	select {
	case <-r.responded:
	default:
		close(r.responded)
	}
	for id := range r.previousCalls {
		r.closeCall(r.previousCalls, id)
	}
}

// runCall makes one call and tells what it brings, to its end.
func (r *discoveryClient) runCall(ctx context.Context, client *http.Client, addr netip.AddrPort, o command) {
	tell := func(e callEvent) {
		e.id = o.id
		select {
		case r.events <- e:
		case <-ctx.Done():
		}
	}
	url := fmt.Sprintf("http://%s/registry/instances", addr)
	if o.kind == watchCall {
		url += fmt.Sprintf("?watch=1&from=%d", o.from)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		tell(callEvent{kind: eventEnd, err: err})
		return
	}
	resp, err := client.Do(req)
	if err != nil {
		tell(callEvent{kind: eventEnd, err: err})
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		e := callEvent{kind: eventEnd, err: fmt.Errorf("status %s", resp.Status)}
		if e.rejected = resp.StatusCode == http.StatusServiceUnavailable ||
			resp.StatusCode == http.StatusTooManyRequests; e.rejected {
			if seconds, ok := parseDecimal(resp.Header.Get("Retry-After")); ok && seconds < 1e6 {
				e.retryAfter = time.Duration(seconds * float64(time.Second))
			}
		}
		tell(e)
		return
	}
	tell(callEvent{kind: eventHead})
	var in messageReader
	buf := make([]byte, 16<<10)
	for !in.done {
		n, err := resp.Body.Read(buf)
		for _, e := range in.read(buf[:n], err) {
			tell(e)
		}
	}
}

// messageReader makes events of what comes on a call.
type messageReader struct {
	split splitter
	done  bool // the call has ended, or is to be
}

// read takes what has come, and the error that has ended it, if any.
func (r *messageReader) read(text []byte, end error) (events []callEvent) {
	garbage := func(err error, text []byte) {
		events = append(events, callEvent{kind: eventMalformed, err: fmt.Errorf("malformed message: %w", err),
			list: List{Servers: salvage(text)}})
		r.done = true
	}
	message := func(text []byte) {
		if r.done {
			return
		}
		l, spoilt, err := parseList(text)
		if err != nil {
			garbage(err, text)
			return
		}
		events = append(events, callEvent{kind: eventMessage, list: l, entryErrors: spoilt})
	}
	beat := func() {
		if !r.done {
			events = append(events, callEvent{kind: eventEmptyLine})
		}
	}
	err := r.split.feed(text, message, beat)
	if err == nil && end != nil && r.split.begun() {
		err = errListCut
	}
	switch {
	case r.done:
	case err != nil:
		garbage(err, r.split.part)
	case end != nil:
		events = append(events, callEvent{kind: eventEnd, err: end})
		r.done = true
	case r.split.begun():
		events = append(events, callEvent{kind: eventPartial})
	}
	return events
}
