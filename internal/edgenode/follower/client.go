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

// errNoData is the logged cause of an outage that a timeout revealed, without an error from any call.
var errNoData = errors.New("no data from discovery within the timeout")

// Limits on the data that a call reads.
const (
	readBufferSize  = 16 << 10 // largest single read of a response, in bytes
	maxResponseHead = 32 << 10 // largest head of a response, in bytes
	maxRetryAfter   = 1e6      // exclusive limit of Retry-After, in seconds; other values are ignored
)

// Client keeps a node's list of endpoints current. It is the host of a [Follower]: it supplies the clock and
// makes the calls. The goroutine of Run owns the follower. Each call has a goroutine of its own that reads
// the response.
type Client struct {
	addr     netip.AddrPort
	follower *Follower
	apply    func(endpointlist.List)
	log      *slog.Logger
	// DialContext opens the connections of calls. It must not be changed after Run has been called.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)
	// MaxMessage is the largest message of discovery that is accepted, in bytes; 0 means
	// discovery.MaxStreamMessage. It must not be changed after Run has been called.
	MaxMessage int

	addresses chan netip.AddrPort // new address of discovery, from SetAddress to Run
	events    chan callEvent      // from the goroutines of the calls to Run
	responded chan struct{}       // closed after the first list or heartbeat

	calls         map[uint64]context.CancelFunc // by call id
	previousCalls map[uint64]context.CancelFunc // to the previous address, open until the new one responds
}

// callEvent is one event of a call: data that was received, or the end of the call.
type callEvent struct {
	id          uint64 // id of the call
	kind        callEventKind
	list        endpointlist.List // a message, or the draining and removed endpoints of a malformed one
	fieldErrors []error           // one for each malformed field of a message
	err         error             // why the call ended
	retryAfter  time.Duration     // Retry-After of a rejection; 0: not given
}

type callEventKind int

const (
	eventResponseStarted callEventKind = iota // the headers of a response with status 200
	eventPartial                              // part of a message
	eventHeartbeat                            // an empty line: the list has not changed
	eventMessage                              // a complete message
	eventEnd                                  // the call has ended
	eventRejected                             // the call has ended: discovery has no capacity for it
	eventMalformed                            // the call has ended: the data is not a valid message
)

// NewClient returns a client of the discovery server at an address. The client calls apply with each message
// that is to be applied, and with the draining and removed endpoints of malformed messages. It does so from
// the goroutine that calls Run.
func NewClient(addr netip.AddrPort, f *Follower, apply func(endpointlist.List), log *slog.Logger) *Client {
	return &Client{
		addr:          addr,
		follower:      f,
		apply:         apply,
		log:           log,
		DialContext:   (&net.Dialer{Timeout: CallTimeout}).DialContext,
		addresses:     make(chan netip.AddrPort),
		events:        make(chan callEvent),
		responded:     make(chan struct{}),
		calls:         map[uint64]context.CancelFunc{},
		previousCalls: map[uint64]context.CancelFunc{},
	}
}

// Responded returns a channel that is closed once discovery has sent a list, or a heartbeat, which means that
// the list has not changed.
func (d *Client) Responded() <-chan struct{} { return d.responded }

// SetAddress makes the client follow the list at another address. If the address is the current one, the
// list is read again where that costs other nodes nothing. SetAddress returns when Run has received the
// address or ctx has ended.
func (d *Client) SetAddress(ctx context.Context, addr netip.AddrPort) {
	select {
	case d.addresses <- addr:
	case <-ctx.Done():
	}
}

// Run follows the list until ctx ends. It does not call apply after it has returned.
func (d *Client) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var readers sync.WaitGroup
	defer readers.Wait()
	defer cancel()
	client := &http.Client{Transport: &http.Transport{
		DialContext: d.DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: maxResponseHead,
	}}
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	d.follower.Start(0)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		previous, cause := d.follower.reachability, errNoData
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case to := <-d.addresses:
			d.setAddress(now(), to)
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
			callCtx, cancelCall := context.WithCancel(ctx)
			d.calls[c.ID] = cancelCall
			addr := d.addr
			readers.Go(func() { d.runCall(callCtx, client, addr, c) })
		}
		timer.Reset(next - now())
		d.logTransition(previous, cause)
	}
}

// logTransition logs a change of discovery's reachability: one line when it becomes unreachable or rejects
// calls, however many calls fail after that, and one when it is reachable again.
func (d *Client) logTransition(previous reachability, cause error) {
	current := d.follower.reachability
	if current == previous {
		return
	}
	switch current {
	case discoveryRejecting:
		d.log.Warn("discovery rejects calls", "err", cause)
	case discoveryUnreachable:
		d.log.Warn("discovery watch lost", "err", cause)
	case discoveryReachable:
		d.log.Info("discovery watch restored", "generation", d.follower.generation)
	}
}

// closeCall closes a call and removes it from calls. A call that is not in the map is ignored.
func closeCall(calls map[uint64]context.CancelFunc, id uint64) {
	if cancel := calls[id]; cancel != nil {
		cancel()
		delete(calls, id)
	}
}

// setAddress changes the address of discovery. Calls to the previous address stay open until the new one
// responds, because it may respond late and the previous watch still delivers changes.
func (d *Client) setAddress(now time.Duration, to netip.AddrPort) {
	if to == d.addr {
		d.follower.Refresh()
		return
	}
	for id, cancel := range d.calls {
		d.previousCalls[id] = cancel
	}
	clear(d.calls)
	d.addr = to
	d.follower.AddressChanged(now)
}

// handleEvent passes an event of a call to the follower and applies its message.
func (d *Client) handleEvent(now time.Duration, e callEvent) {
	if _, previous := d.previousCalls[e.id]; previous {
		d.handlePreviousEvent(e)
		return
	}
	f := d.follower
	switch e.kind {
	case eventResponseStarted:
		f.Received(now, e.id, false)
	case eventPartial:
		f.Received(now, e.id, true)
	case eventHeartbeat:
		f.Heartbeat(now, e.id)
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
	if f.callByID(e.id) == nil { // also after the only message of a fetch
		closeCall(d.calls, e.id)
	}
	// The follower has set lastContact to now, unless it has ignored the event.
	if (e.kind == eventMessage || e.kind == eventHeartbeat) && f.lastContact == now {
		d.markResponded()
	}
}

// handlePreviousEvent handles an event of a call to the previous address. Messages are still applied.
func (d *Client) handlePreviousEvent(e callEvent) {
	switch e.kind {
	case eventMessage:
		d.apply(e.list)
	case eventEnd, eventRejected, eventMalformed:
		closeCall(d.previousCalls, e.id)
	}
}

// handleMessage applies a complete message, unless the call is closed or the follower has a newer list.
func (d *Client) handleMessage(now time.Duration, e callEvent) {
	malformed := len(e.fieldErrors) > 0
	if !d.follower.Message(now, e.id, Update{
		Generation: e.list.Generation,
		Snapshot:   e.list.Snapshot,
		Malformed:  malformed,
	}) {
		return
	}
	if malformed { // one line per list, however many entries are malformed
		d.log.Warn("list has malformed entries",
			"generation", e.list.Generation, "count", discovery.CountFieldErrors(e.fieldErrors), "err", e.fieldErrors[0])
	}
	d.apply(e.list)
}

// markResponded records that discovery has responded at the current address. Calls to the previous address
// are no longer needed and are closed.
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

// runCall makes one call and sends its events to Run until the call or ctx ends.
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
	defer func() { _ = resp.Body.Close() }() // the connection is not reused, so an error does not matter
	if resp.StatusCode != http.StatusOK {
		report(failureEvent(resp))
		return
	}
	report(callEvent{kind: eventResponseStarted})
	messages := messageReader{split: discovery.Splitter{Limit: d.MaxMessage}}
	buf := make([]byte, readBufferSize)
	for !messages.done {
		n, err := resp.Body.Read(buf)
		for _, e := range messages.read(buf[:n], err) {
			report(e)
		}
	}
}

// requestList sends the request of a call. It returns the response with its body unread.
func requestList(
	ctx context.Context, client *http.Client, addr netip.AddrPort, c Command,
) (*http.Response, error) {
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

// failureEvent returns the event for a response whose status is not 200. The statuses 503 and 429 are
// rejections.
func failureEvent(resp *http.Response) callEvent {
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
