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

// watchBuffer bounds what the system holds for a watch at its reader's end.
const watchBuffer = 64 << 10

// readBuffer is what a watch reads at once.
const readBuffer = 16 << 10

// watchError is how a watch was told something else than each change once and in order.
type watchError struct {
	after, got uint64
	reset      bool
}

func (e *watchError) Error() string {
	return fmt.Sprintf("a watch at generation %d was told %d (whole list: %v)", e.after, e.got, e.reset)
}

// watchState is what a watch has been told.
type watchState struct {
	at         uint64      // generation
	when       time.Time   // when it had come
	bytes      uint64      // of messages, as chunks of HTTP/1.1; without empty lines
	snapshots  uint64      // whole lists
	outOfOrder *watchError // the first thing that was not a change told once and in order
}

// listWatch follows the list over a connection, as an edge node does, and counts what it is told.
type listWatch struct {
	conn     net.Conn
	lines    *bufio.Reader
	read     watchState                 // by the goroutine that reads
	received atomic.Pointer[watchState] // for the others; not changed once it is there
}

// openWatch opens a watch that goes on from a generation. A replica that turns it away is asked
// again when it says, or a drawn while later.
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

// dialWatch tries once. A wait above 0 says when to try again.
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
			return nil, 0, fmt.Errorf("head of a watch: %w", err)
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
		return nil, wait, fmt.Errorf("a watch is answered %s", status)
	}
	w = &listWatch{conn: conn, lines: bufio.NewReaderSize(httputil.NewChunkedReader(head), readBuffer), read: watchState{at: from}}
	w.publish()
	return w, 0, nil
}

// Beginnings of messages. The generation stands first, then whether it is a whole list.
var (
	messageHead = []byte(`{"generation":`)
	resetMark   = []byte(`,"reset":true`)
)

// follow reads until the connection ends. It tells of what has come when there is no more at hand.
func (w *listWatch) follow(told func()) {
	for {
		line, err := w.lines.ReadSlice('\n')
		length := len(line)
		rest := bytes.TrimPrefix(line, messageHead)
		message := len(rest) < len(line)
		var generation uint64
		reset := false
		if message {
			digits := rest[:max(bytes.IndexByte(rest, ','), 0)]
			generation, _ = strconv.ParseUint(string(digits), 10, 64) // 0 is out of order, and told so
			reset = bytes.HasPrefix(rest[len(digits):], resetMark)
		}
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = w.lines.ReadSlice('\n')
			length += len(line)
		}
		if err != nil {
			return
		}
		if message { // no empty line
			w.record(generation, reset, length)
		}
		if w.read.bytes != w.received.Load().bytes && !w.anotherLine() {
			w.publish()
			told()
		}
	}
}

// anotherLine tells whether a line can be read without waiting for it.
func (w *listWatch) anotherLine() bool {
	at, err := w.lines.Peek(w.lines.Buffered())
	return err == nil && bytes.IndexByte(at, '\n') >= 0
}

// record books a message.
func (w *listWatch) record(generation uint64, reset bool, length int) {
	r := &w.read
	if inOrder := generation == r.at+1 || reset && generation >= r.at; !inOrder && r.outOfOrder == nil {
		r.outOfOrder = &watchError{r.at, generation, reset}
	}
	if reset {
		r.snapshots++
	}
	r.bytes += uint64(length + len(strconv.FormatInt(int64(length), 16)) + 2*len("\r\n"))
	r.at = generation
}

func (w *listWatch) publish() {
	w.read.when = time.Now()
	told := w.read
	w.received.Store(&told)
}

// listWatches are the watches of a fleet.
type listWatches struct {
	all      []*listWatch
	work     sync.WaitGroup
	progress chan struct{} // something was told since it was last read
}

// maxConcurrentDials bounds the connections that are being opened, by what a listener queues.
const maxConcurrentDials = 512

// watchStart is where a watch is opened, and from which generation it goes on.
type watchStart struct {
	addr string
	from uint64
}

// startsAt is a number of watches at one replica.
func startsAt(addr string, count int, from uint64) []watchStart {
	return slices.Repeat([]watchStart{{addr, from}}, count)
}

// openWatches opens watches, all at once.
func openWatches(ctx context.Context, starts []watchStart, seed uint64) (*listWatches, error) {
	ws := &listWatches{all: make([]*listWatch, len(starts)), progress: make(chan struct{}, 1)}
	errs := make([]error, len(starts))
	var opening sync.WaitGroup
	room := make(chan struct{}, maxConcurrentDials)
	for i, start := range starts {
		opening.Go(func() {
			room <- struct{}{}
			w, wait, err := dialWatch(ctx, start.addr, start.from)
			<-room
			if wait > 0 {
				w, err = openWatch(ctx, start.addr, start.from, rand.New(rand.NewPCG(seed, uint64(i))))
			}
			if ws.all[i], errs[i] = w, err; err == nil {
				ws.work.Go(func() { w.follow(ws.notify) })
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

func (ws *listWatches) notify() {
	select {
	case ws.progress <- struct{}{}:
	default:
	}
}

// awaitEnd waits until the other end has closed all.
func (ws *listWatches) awaitEnd() { ws.work.Wait() }

// close closes all and waits until they are read no more.
func (ws *listWatches) close() {
	for _, w := range ws.all {
		if w != nil {
			_ = w.conn.Close()
		}
	}
	ws.work.Wait()
}

// awaitGeneration waits until all watches have a generation, and returns when the last of them had it.
func (ws *listWatches) awaitGeneration(ctx context.Context, generation uint64) (last time.Time, err error) {
	ctx, cancel := context.WithTimeout(ctx, 2*serviceWithin)
	defer cancel()
	behind := ws.all
	for len(behind) > 0 {
		if told := behind[0].received.Load(); told.at >= generation {
			if told.when.After(last) {
				last = told.when
			}
			behind = behind[1:]
			continue
		}
		select {
		case <-ctx.Done():
			return last, fmt.Errorf("%d of %d watches have not reached generation %d: %w", len(behind), len(ws.all), generation, ctx.Err())
		case <-ws.progress:
		}
	}
	return last, nil
}

// count sums what the watches were told.
func (ws *listWatches) count() (t watchTotals) {
	t.minBytes = ^uint64(0)
	for _, w := range ws.all {
		told := w.received.Load()
		t.maxBytes, t.minBytes = max(t.maxBytes, told.bytes), min(t.minBytes, told.bytes)
		t.snapshots += told.snapshots
		if t.firstWhen.IsZero() || told.when.Before(t.firstWhen) {
			t.firstWhen = told.when
		}
		if told.outOfOrder != nil {
			t.outOfOrder++
			if t.firstError == nil {
				t.firstError = told.outOfOrder
			}
		}
	}
	return t
}

// watchTotals are counts over watches.
type watchTotals struct {
	minBytes, maxBytes uint64    // bytes of a watch
	firstWhen          time.Time // when the first watch had what it was told last
	snapshots          uint64    // whole lists
	outOfOrder         int       // watches that were told a change twice, out of order or not at all
	firstError         error     // what the first of these was told
}
