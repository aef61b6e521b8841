package follower

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
	"opalhook/internal/edgenode/decimal"
	"opalhook/internal/edgenode/endpointlist"
)

// errSilence is the cause of an outage in which nothing came, not even an error.
var errSilence = errors.New("silent for too long")

// Bounds of what a call reads.
const (
	readBufferSize = 16 << 10 // bytes
	maxRetryAfter  = 1e6      // seconds; a larger Retry-After is ignored
)

// Client keeps a node's list of endpoints current: it is the host of a [Follower], with its clock and
// its calls. One goroutine, Run, owns the follower; each call has a goroutine that reads it.
type Client struct {
	addr     netip.AddrPort
	follower *Follower
	apply    func(endpointlist.List)
	log      *slog.Logger
	// DialContext makes the connections of calls; it is not to be changed once Run is called.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)

	moves     chan netip.AddrPort // where to follow the list from now on
	events    chan callEvent
	responded chan struct{} // closed once a list, or that nothing has changed, has come

	calls         map[uint64]context.CancelFunc // by call id
	previousCalls map[uint64]context.CancelFunc // to the previous address, open until the new one answers
}

// callEvent is what a call brings.
type callEvent struct {
	id          uint64
	kind        callEventKind
	list        endpointlist.List // of a message; of what is malformed: what could be read of it
	entryErrors []error           // the malformed entries of a message
	err         error
	retryAfter  time.Duration // of a rejection
}

type callEventKind int

const (
	eventHead      callEventKind = iota // a response has begun
	eventPartial                        // part of a message has come
	eventEmptyLine                      // nothing has changed
	eventMessage                        // a whole message
	eventEnd                            // the call has ended
	eventRejected                       // the call has ended: discovery has no room for it
	eventMalformed                      // the call has ended: what comes is no message
)

// NewClient returns a client of the discovery at an address. It calls apply with each message that is to be applied,
// from the goroutine that calls Run.
func NewClient(addr netip.AddrPort, f *Follower, apply func(endpointlist.List), log *slog.Logger) *Client {
	return &Client{
		addr:          addr,
		follower:      f,
		apply:         apply,
		log:           log,
		DialContext:   (&net.Dialer{Timeout: MaxCallDuration}).DialContext,
		moves:         make(chan netip.AddrPort),
		events:        make(chan callEvent),
		responded:     make(chan struct{}),
		calls:         map[uint64]context.CancelFunc{},
		previousCalls: map[uint64]context.CancelFunc{},
	}
}

// Responded is closed once discovery has reported a list, or that nothing has changed.
func (d *Client) Responded() <-chan struct{} { return d.responded }

// Move follows the list at another address from now on, or reads it again at the same one. It returns once Run has
// taken that over, or ctx has ended.
func (d *Client) Move(ctx context.Context, to netip.AddrPort) {
	select {
	case d.moves <- to:
	case <-ctx.Done():
	}
}

// Run follows the list until ctx ends. Nothing is applied after it has returned.
func (d *Client) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var reading sync.WaitGroup
	defer reading.Wait()
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DialContext: d.DialContext, DisableKeepAlives: true}}
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	d.follower.Start(0)
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		before, cause := d.follower.reachability, errSilence
		select {
		case <-ctx.Done():
			return
		case <-wake.C:
		case to := <-d.moves:
			d.moveTo(now(), to)
		case e := <-d.events:
			d.handleEvent(now(), e)
			if e.err != nil {
				cause = e.err
			}
		}
		commands, next := d.follower.Advance(now())
		for _, c := range commands {
			if !c.Open {
				closeCall(d.calls, c.ID)
				continue
			}
			callCtx, end := context.WithCancel(ctx)
			d.calls[c.ID] = end
			addr := d.addr
			reading.Go(func() { d.runCall(callCtx, client, addr, c) })
		}
		wake.Reset(next - now())
		d.logTransition(before, cause)
	}
}

// logTransition logs one line for an outage, however often calls fail in it, and one for its end.
func (d *Client) logTransition(before reachability, cause error) {
	now := d.follower.reachability
	if now == before {
		return
	}
	switch now {
	case discoveryThrottled:
		d.log.Warn("discovery rejects calls", "err", cause)
	case discoveryDown:
		d.log.Warn("discovery watch lost", "err", cause)
	case discoveryUp:
		d.log.Info("discovery watch restored", "generation", d.follower.version)
	}
}

// closeCall closes one of the calls.
func closeCall(calls map[uint64]context.CancelFunc, id uint64) {
	if end := calls[id]; end != nil {
		end()
		delete(calls, id)
	}
}

// moveTo changes the address. The watches at the previous one stay open until the new one answers: it may be late,
// and they still bring changes.
func (d *Client) moveTo(now time.Duration, to netip.AddrPort) {
	if to == d.addr {
		d.follower.Refresh()
		return
	}
	for id, end := range d.calls {
		d.previousCalls[id] = end
	}
	clear(d.calls)
	d.addr = to
	d.follower.AddressChanged(now)
}

// handleEvent applies what a call has brought.
func (d *Client) handleEvent(now time.Duration, e callEvent) {
	if _, previous := d.previousCalls[e.id]; previous {
		d.handlePreviousEvent(e)
		return
	}
	f := d.follower
	switch e.kind {
	case eventHead:
		f.Received(now, e.id, false)
	case eventPartial:
		f.Received(now, e.id, true)
	case eventEmptyLine:
		f.EmptyLine(now, e.id)
	case eventMessage:
		d.handleMessage(now, e)
	case eventMalformed:
		if f.callByID(e.id) != nil && len(e.list.Endpoints) > 0 {
			d.apply(e.list)
		}
		f.Malformed(now, e.id)
	case eventEnd:
		f.Ended(now, e.id)
	case eventRejected:
		f.Rejected(now, e.id, e.retryAfter)
	}
	if f.callByID(e.id) == nil { // a fetch is over with its message
		closeCall(d.calls, e.id)
	}
	if (e.kind == eventMessage || e.kind == eventEmptyLine) && f.lastHeard == now {
		d.markResponded()
	}
}

// handlePreviousEvent applies what a call to the previous address has brought.
func (d *Client) handlePreviousEvent(e callEvent) {
	switch e.kind {
	case eventMessage:
		d.apply(e.list)
	case eventEnd, eventRejected, eventMalformed:
		closeCall(d.previousCalls, e.id)
	}
}

func (d *Client) handleMessage(now time.Duration, e callEvent) {
	malformed := len(e.entryErrors) > 0
	if !d.follower.Message(now, e.id, Update{Version: e.list.Generation, Snapshot: e.list.Snapshot, Malformed: malformed}) {
		return
	}
	if malformed { // one line for a list, however many entries
		d.log.Warn("list has malformed entries", "generation", e.list.Generation, "count", len(e.entryErrors), "err", e.entryErrors[0])
	}
	d.apply(e.list)
}

// markResponded notes that discovery, at the address in force, has reported what it has.
func (d *Client) markResponded() {
	select {
	case <-d.responded:
	default:
		close(d.responded)
	}
	for id := range d.previousCalls {
		closeCall(d.previousCalls, id)
	}
}

// runCall makes one call and reports what it brings, until it ends or ctx does.
func (d *Client) runCall(ctx context.Context, client *http.Client, addr netip.AddrPort, c Command) {
	report := func(e callEvent) {
		e.id = c.ID
		select {
		case d.events <- e:
		case <-ctx.Done():
		}
	}
	resp, err := requestList(ctx, client, addr, c)
	if err != nil {
		report(callEvent{kind: eventEnd, err: err})
		return
	}
	defer func() { _ = resp.Body.Close() }() // the connection is not used again
	if resp.StatusCode != http.StatusOK {
		report(unsuccessful(resp))
		return
	}
	report(callEvent{kind: eventHead})
	var messages messageReader
	buf := make([]byte, readBufferSize)
	for !messages.done {
		n, err := resp.Body.Read(buf)
		for _, e := range messages.read(buf[:n], err) {
			report(e)
		}
	}
}

// requestList sends the request of a call and returns the head of its response.
func requestList(ctx context.Context, client *http.Client, addr netip.AddrPort, c Command) (*http.Response, error) {
	url := discovery.SnapshotURL(addr.String())
	if c.Watch {
		url = discovery.WatchURL(addr.String(), c.From)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return client.Do(req)
}

// unsuccessful is the event of a response whose status is not 200.
func unsuccessful(resp *http.Response) callEvent {
	e := callEvent{kind: eventEnd, err: fmt.Errorf("status %s", resp.Status)}
	if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests {
		return e
	}
	e.kind = eventRejected
	if seconds, ok := decimal.Parse(resp.Header.Get("Retry-After")); ok && seconds < maxRetryAfter {
		e.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return e
}
