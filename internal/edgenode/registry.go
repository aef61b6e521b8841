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

	"opalhook/internal/discovery"
)

// registry follows the list of app servers: the host of a [follower]. One goroutine has the
// follower, each call one that reads.
type registry struct {
	addr   netip.AddrPort
	follow follower
	apply  func(List)
	log    *slog.Logger

	moves  chan netip.AddrPort // where to follow the list from now on
	heard  chan struct{}       // closed once a list, or that nothing has changed, has come
	dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	events chan event
	calls  map[uint64]context.CancelFunc
	left   map[uint64]context.CancelFunc // watches of a discovery that was left, until the next one answers
}

// event is what a call brings.
type event struct {
	id   uint64
	kind eventKind
	list List // of a message; of what is malformed: what could be read of it
	err  error

	spoilt     []error // of a message
	turnedAway bool    // of an end
	pause      time.Duration
}

type eventKind int

const (
	eventHead    eventKind = iota // an answer has begun
	eventPart                     // part of a message has come
	eventBeat                     // an empty line
	eventMessage                  // a whole message
	eventEnd                      // the call has ended
	eventGarbage                  // the call has ended with what can't be read
)

func newRegistry(addr netip.AddrPort, f follower, apply func(List), log *slog.Logger) *registry {
	return &registry{addr: addr, follow: f, apply: apply, log: log, moves: make(chan netip.AddrPort),
		heard: make(chan struct{}), dial: (&net.Dialer{Timeout: callMost}).DialContext, events: make(chan event),
		calls: map[uint64]context.CancelFunc{}, left: map[uint64]context.CancelFunc{}}
}

// move follows the list at another address from now on, or reads it again at the same one. It
// returns once that is taken in, or ctx has ended.
func (r *registry) move(ctx context.Context, to netip.AddrPort) {
	select {
	case r.moves <- to:
	case <-ctx.Done():
	}
}

// run follows until ctx ends. Nothing is applied after it has returned.
func (r *registry) run(ctx context.Context) {
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
		wasDown, wasLined, cause := f.down, f.lined, errSilent
		select {
		case <-ctx.Done():
			return
		case <-wake.C:
		case to := <-r.moves:
			r.moveTo(now(), to)
		case e := <-r.events:
			r.take(now(), e)
			if e.err != nil {
				cause = e.err
			}
		}
		do, at := f.step(now())
		for _, o := range do {
			if !o.open {
				r.hang(r.calls, o.id)
				continue
			}
			callCtx, end := context.WithCancel(ctx)
			r.calls[o.id] = end
			addr := r.addr
			reading.Go(func() { r.call(callCtx, client, addr, o) })
		}
		wake.Reset(at - now())
		switch { // one line for an outage, however often it is called
		case f.lined && !wasLined:
			r.log.Warn("discovery: turned away", "err", cause)
		case f.down && !wasDown:
			r.log.Warn("discovery: watch broken", "err", cause)
		case wasDown && !f.down:
			r.log.Info("discovery: watching again", "generation", f.version)
		}
	}
}

var errSilent = errors.New("silent for too long")

func (r *registry) hang(calls map[uint64]context.CancelFunc, id uint64) {
	if end := calls[id]; end != nil {
		end()
		delete(calls, id)
	}
}

// moveTo leaves the address for another one. The watches there are heard until that one
// answers: it may be late, and they still bring news.
func (r *registry) moveTo(now time.Duration, to netip.AddrPort) {
	if to == r.addr {
		r.follow.refresh()
		return
	}
	for id, end := range r.calls {
		r.left[id] = end
	}
	clear(r.calls)
	r.addr = to
	r.follow.moved(now)
}

// take takes in what a call has brought.
func (r *registry) take(now time.Duration, e event) {
	f := &r.follow
	if _, left := r.left[e.id]; left {
		switch e.kind {
		case eventMessage:
			r.apply(e.list)
		case eventEnd, eventGarbage:
			r.hang(r.left, e.id)
		}
		return
	}
	switch e.kind {
	case eventHead:
		f.got(now, e.id, false)
	case eventPart:
		f.got(now, e.id, true)
	case eventBeat:
		f.beat(now, e.id)
	case eventMessage:
		if f.message(now, e.id, e.list.Generation, e.list.Full, len(e.spoilt) > 0) {
			if len(e.spoilt) > 0 { // one line for each list, however many entries
				r.log.Warn("discovery: some of the list is spoilt", "count", len(e.spoilt), "first", e.spoilt[0])
			}
			r.apply(e.list)
		}
	case eventGarbage:
		if f.of(e.id) != nil && len(e.list.Servers) > 0 {
			r.apply(e.list)
		}
		f.malformed(now, e.id)
	case eventEnd:
		f.ended(now, e.id, e.turnedAway, e.pause)
	}
	if f.of(e.id) == nil { // a fetch is over with its message
		r.hang(r.calls, e.id)
	}
	if (e.kind == eventMessage || e.kind == eventBeat) && f.heardAt == now {
		r.answered()
	}
}

// answered notes that discovery, as it is followed now, has told what it has.
func (r *registry) answered() {
	select {
	case <-r.heard:
	default:
		close(r.heard)
	}
	for id := range r.left {
		r.hang(r.left, id)
	}
}

// call makes one call and tells what it brings, to its end.
func (r *registry) call(ctx context.Context, client *http.Client, addr netip.AddrPort, o order) {
	tell := func(e event) {
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
		tell(event{kind: eventEnd, err: err})
		return
	}
	resp, err := client.Do(req)
	if err != nil {
		tell(event{kind: eventEnd, err: err})
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		e := event{kind: eventEnd, err: fmt.Errorf("status %s", resp.Status)}
		if e.turnedAway = resp.StatusCode == http.StatusServiceUnavailable ||
			resp.StatusCode == http.StatusTooManyRequests; e.turnedAway {
			if seconds, ok := decimal(resp.Header.Get("Retry-After")); ok && seconds < 1e6 {
				e.pause = time.Duration(seconds * float64(time.Second))
			}
		}
		tell(e)
		return
	}
	tell(event{kind: eventHead})
	var in reader
	buf := make([]byte, 16<<10)
	for !in.over {
		n, err := resp.Body.Read(buf)
		for _, e := range in.read(buf[:n], err) {
			tell(e)
		}
	}
}

// reader makes events of what comes on a call.
type reader struct {
	split discovery.Splitter
	over  bool // the call has ended, or is to be
}

// read takes what has come, and the error that has ended it, if any.
func (r *reader) read(text []byte, end error) (events []event) {
	garbage := func(err error, text []byte) {
		events = append(events, event{kind: eventGarbage, err: fmt.Errorf("malformed message: %w", err),
			list: List{Servers: instances(discovery.Salvage(text))}})
		r.over = true
	}
	message := func(text []byte) {
		if r.over {
			return
		}
		l, spoilt, err := parseList(text)
		if err != nil {
			garbage(err, text)
			return
		}
		events = append(events, event{kind: eventMessage, list: l, spoilt: spoilt})
	}
	beat := func() {
		if !r.over {
			events = append(events, event{kind: eventBeat})
		}
	}
	err := r.split.Feed(text, message, beat)
	if err == nil && end != nil && r.split.Incomplete() {
		err = discovery.ErrTruncated
	}
	switch {
	case r.over:
	case err != nil:
		garbage(err, r.split.Partial())
	case end != nil:
		events = append(events, event{kind: eventEnd, err: end})
		r.over = true
	case r.split.Incomplete():
		events = append(events, event{kind: eventPart})
	}
	return events
}
