package scale

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http/httputil"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// watchReceiveBuffer is the size of the kernel's receive buffer for a watch, in bytes.
const watchReceiveBuffer = 64 << 10

// readBuffer is the maximum number of bytes that a watch reads at once.
const readBuffer = 16 << 10

// watchError reports that a watch did not receive each change exactly once and in order.
type watchError struct {
	after, got uint64 // generations of the previous and of the unexpected message
	reset      bool   // the unexpected message is a complete list
}

func (e *watchError) Error() string {
	return fmt.Sprintf("watch at generation %d received generation %d (complete list: %v) instead of the next change", e.after, e.got, e.reset)
}

// watchState summarizes the messages that a watch has received.
type watchState struct {
	generation uint64      // generation of the last message
	receivedAt time.Time   // when the last message was received
	bytes      uint64      // size of all messages as HTTP/1.1 chunks, without empty lines
	snapshots  uint64      // number of complete lists
	outOfOrder *watchError // first message that was not the expected change
}

// listWatch watches the list over a connection, as an edge node does, and counts the messages that it
// receives.
type listWatch struct {
	conn      net.Conn
	lines     *bufio.Reader
	state     watchState                 // owned by the reading goroutine
	published atomic.Pointer[watchState] // copy of state for other goroutines; immutable
}

// openWatch opens a watch of the changes after a generation. If the replica rejects it, openWatch tries again
// after the time in Retry-After plus a random delay of up to 1 s.
func openWatch(ctx context.Context, addr string, from uint64, rng *rand.Rand) (*listWatch, error) {
	for {
		w, wait, err := dialWatch(ctx, addr, from)
		if err == nil || wait == 0 {
			return w, err
		}
		wait += time.Duration(rng.Int64N(int64(time.Second)))
		select {
		case <-ctx.Done():
			return nil, errors.Join(ctx.Err(), err)
		case <-time.After(wait):
		}
	}
}

// dialWatch makes one attempt to open a watch. If the replica rejects it, wait is the time in Retry-After, or
// 0 if the response has none.
func dialWatch(ctx context.Context, addr string, from uint64) (w *listWatch, wait time.Duration, err error) {
	d := net.Dialer{ControlContext: limitReceiveBuffer}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, 0, err
	}
	defer func() {
		if err != nil {
			_ = conn.Close()
		}
	}()
	if _, err := fmt.Fprintf(conn, "GET /registry/instances?watch=1&from=%d HTTP/1.1\r\nHost: list\r\n\r\n", from); err != nil {
		return nil, 0, err
	}
	head := bufio.NewReaderSize(conn, readBuffer)
	status := ""
	for i := 0; ; i++ {
		line, err := head.ReadString('\n')
		if err != nil {
			return nil, 0, fmt.Errorf("reading the response head of a watch: %w", err)
		}
		line = strings.TrimSpace(line)
		if i == 0 {
			status = line
		}
		if seconds, ok := strings.CutPrefix(line, "Retry-After: "); ok {
			n, err := strconv.Atoi(seconds)
			if err != nil {
				return nil, 0, fmt.Errorf("Retry-After: %w", err)
			}
			wait = time.Duration(n) * time.Second
		}
		if line == "" {
			break
		}
	}
	if !strings.Contains(status, " 200 ") {
		return nil, wait, fmt.Errorf("opening a watch: got response %q, want status 200", status)
	}
	w = &listWatch{conn: conn, lines: bufio.NewReaderSize(httputil.NewChunkedReader(head), readBuffer), state: watchState{generation: from}}
	w.publish()
	return w, 0, nil
}

// Start of a message: the generation, followed by whether the message is a complete list.
var (
	messageHead  = []byte(`{"generation":`)
	messageReset = []byte(`,"reset":true`)
)

// follow reads messages until the connection ends. Whenever no further complete line is buffered, it
// publishes the state and calls notify.
func (w *listWatch) follow(notify func()) {
	for {
		line, err := w.lines.ReadSlice('\n')
		length := len(line)
		rest := bytes.TrimPrefix(line, messageHead)
		isMessage := len(rest) < len(line)
		var generation uint64
		reset := false
		if isMessage {
			digits := rest[:max(bytes.IndexByte(rest, ','), 0)]
			generation, _ = strconv.ParseUint(string(digits), 10, 64) // 0 is recorded as out of order
			reset = bytes.HasPrefix(rest[len(digits):], messageReset)
		}
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = w.lines.ReadSlice('\n')
			length += len(line)
		}
		if err != nil {
			return
		}
		if isMessage { // not an empty line
			w.record(generation, reset, length)
		}
		if w.state.bytes != w.published.Load().bytes && !w.lineBuffered() {
			w.publish()
			notify()
		}
	}
}

// lineBuffered reports whether a complete line is buffered.
func (w *listWatch) lineBuffered() bool {
	buffered, err := w.lines.Peek(w.lines.Buffered())
	return err == nil && bytes.IndexByte(buffered, '\n') >= 0
}

// record adds a message of the given length in bytes to the state.
func (w *listWatch) record(generation uint64, reset bool, length int) {
	r := &w.state
	if inOrder := generation == r.generation+1 || reset && generation >= r.generation; !inOrder && r.outOfOrder == nil {
		r.outOfOrder = &watchError{r.generation, generation, reset}
	}
	if reset {
		r.snapshots++
	}
	r.bytes += uint64(length + len(strconv.FormatInt(int64(length), 16)) + 2*len("\r\n"))
	r.generation = generation
}

// publish makes the current state visible to other goroutines.
func (w *listWatch) publish() {
	w.state.receivedAt = time.Now()
	state := w.state
	w.published.Store(&state)
}

// watchSet is a set of watches that are opened and closed together.
type watchSet struct {
	all      []*listWatch
	readers  sync.WaitGroup
	progress chan struct{} // receives a value after a watch has published its state
}

// maxConcurrentDials is the maximum number of first attempts to open a watch that run at the same time. More
// could overflow the listener's backlog. Further attempts are not limited: [openWatch] delays each by a random
// time.
const maxConcurrentDials = 512

// watchStart is the address of a replica at which a watch is opened, and the generation after which it
// starts.
type watchStart struct {
	addr string
	from uint64
}

// startsAt returns the starts of a number of watches at one replica.
func startsAt(addr string, count int, from uint64) []watchStart {
	return slices.Repeat([]watchStart{{addr, from}}, count)
}

// openWatches opens watches concurrently. It returns an error if any of them cannot be opened.
func openWatches(ctx context.Context, starts []watchStart, seed uint64) (*watchSet, error) {
	ws := &watchSet{all: make([]*listWatch, len(starts)), progress: make(chan struct{}, 1)}
	errs := make([]error, len(starts))
	var opening sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentDials)
	for i, start := range starts {
		opening.Go(func() {
			slots <- struct{}{}
			w, wait, err := dialWatch(ctx, start.addr, start.from)
			<-slots
			if wait > 0 {
				w, err = openWatch(ctx, start.addr, start.from, rand.New(rand.NewPCG(seed, uint64(i))))
			}
			if ws.all[i], errs[i] = w, err; err == nil {
				ws.readers.Go(func() { w.follow(ws.notify) })
			}
		})
	}
	opening.Wait()
	if err := errors.Join(errs...); err != nil {
		ws.close()
		return nil, fmt.Errorf("opening %d watches: %w", len(starts), firstError(errs))
	}
	return ws, nil
}

func firstError(errs []error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// notify wakes up awaitGeneration.
func (ws *watchSet) notify() {
	select {
	case ws.progress <- struct{}{}:
	default:
	}
}

// awaitEnd waits until the replica has closed all watches.
func (ws *watchSet) awaitEnd() { ws.readers.Wait() }

// close closes all watches and waits for their goroutines.
func (ws *watchSet) close() {
	for _, w := range ws.all {
		if w != nil {
			_ = w.conn.Close()
		}
	}
	ws.readers.Wait()
}

// awaitGeneration waits until all watches have reached a generation, for at most 2*serviceTimeout, and
// returns the time at which the last of them had received its latest message.
func (ws *watchSet) awaitGeneration(ctx context.Context, generation uint64) (last time.Time, err error) {
	ctx, cancel := context.WithTimeout(ctx, 2*serviceTimeout)
	defer cancel()
	behind := ws.all
	for len(behind) > 0 {
		if state := behind[0].published.Load(); state.generation >= generation {
			if state.receivedAt.After(last) {
				last = state.receivedAt
			}
			behind = behind[1:]
			continue
		}
		select {
		case <-ctx.Done():
			return last, fmt.Errorf("at most %d of %d watches have not reached generation %d: %w", len(behind), len(ws.all), generation, ctx.Err())
		case <-ws.progress:
		}
	}
	return last, nil
}

// totals returns the totals over all watches.
func (ws *watchSet) totals() (t watchTotals) {
	t.minBytes = ^uint64(0)
	for _, w := range ws.all {
		state := w.published.Load()
		t.maxBytes, t.minBytes = max(t.maxBytes, state.bytes), min(t.minBytes, state.bytes)
		t.snapshots += state.snapshots
		if t.firstCurrent.IsZero() || state.receivedAt.Before(t.firstCurrent) {
			t.firstCurrent = state.receivedAt
		}
		if state.outOfOrder != nil {
			t.outOfOrder++
			if t.firstError == nil {
				t.firstError = state.outOfOrder
			}
		}
	}
	return t
}

// watchTotals are totals over a set of watches.
type watchTotals struct {
	minBytes, maxBytes uint64    // smallest and largest number of bytes that a watch received
	firstCurrent       time.Time // earliest time at which a watch received its last message
	snapshots          uint64    // number of complete lists
	outOfOrder         int       // number of watches that received a change twice, out of order or not at all
	firstError         error     // error of the first such watch
}
