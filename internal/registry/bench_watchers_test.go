package registry

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http/httputil"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// Environment variables that make the test binary run as a helper process of a benchmark.
const (
	watchersEnv = "OPALHOOK_REGISTRY_WATCHERS" // "ADDRESS COUNT": opens watches of one replica
	encoderEnv  = "OPALHOOK_REGISTRY_ENCODER"  // "ADDRESS ENTRIES": serves a [perWatchEncoder]
)

const watchCount = 10_000

// watchEvent is the arrival of a message at a watch.
type watchEvent struct {
	generation int64
	at         int64 // Unix nanoseconds
	first      bool  // whether it is the first message of its watch
}

// watchRound is a set of watches that are opened and closed together.
type watchRound struct {
	addr     string
	count    int
	events   chan watchEvent
	readers  sync.WaitGroup // one per watch; they send the events
	reported chan struct{}  // closed when all events have been reported

	mu    sync.Mutex
	conns []net.Conn
}

// runWatchers opens watches and prints when the last of them received the full list, and when the first and
// the last of them received each change, in Unix nanoseconds. After each line on standard input it closes the
// watches and opens new ones with no generation. It ends at the end of standard input. text is the value of
// watchersEnv.
func runWatchers(text string) error {
	addr, number, _ := strings.Cut(text, " ")
	count, err := strconv.Atoi(number)
	if err != nil {
		return fmt.Errorf("watchers: %w", err)
	}
	commands := bufio.NewScanner(os.Stdin)
	for {
		round := openRound(addr, count)
		if !commands.Scan() {
			return commands.Err()
		}
		round.close()
	}
}

// openRound opens watches and returns when all of them are open.
func openRound(addr string, count int) *watchRound {
	r := &watchRound{addr: addr, count: count, events: make(chan watchEvent, count), reported: make(chan struct{})}
	var opening sync.WaitGroup
	for range count {
		opening.Go(r.openOne)
	}
	opening.Wait()
	go r.report()
	return r
}

// openOne opens a watch, with as many attempts as it takes, and starts its reader.
func (r *watchRound) openOne() {
	for {
		conn, lines, err := openWatch(r.addr)
		if err == nil {
			r.mu.Lock()
			r.conns = append(r.conns, conn)
			r.mu.Unlock()
			r.readers.Go(func() { r.read(lines) })
			return
		}
		delay := 100 * time.Millisecond // the listen backlog may be full
		if errors.Is(err, errNotOpened) {
			delay = time.Second + rand.N(2*time.Second) // like the Retry-After header of the service
		}
		time.Sleep(delay)
	}
}

// read sends an event for each message of a watch, until the watch ends.
func (r *watchRound) read(lines *bufio.Reader) {
	generationKey := []byte(`{"generation":`)
	for first := true; ; {
		line, err := lines.ReadSlice('\n')
		at := time.Now().UnixNano()
		if rest, ok := bytes.CutPrefix(line, generationKey); ok {
			digits, _, _ := bytes.Cut(rest, []byte(","))
			generation, _ := strconv.ParseInt(string(digits), 10, 64) // the service sends valid numbers
			r.events <- watchEvent{generation, at, first}
			first = false
		}
		for errors.Is(err, bufio.ErrBufferFull) {
			_, err = lines.ReadSlice('\n')
		}
		if err != nil {
			return
		}
	}
}

// report prints a line when all watches have received the full list, and a line for each change that all of
// them have received.
func (r *watchRound) report() {
	defer close(r.reported)
	first, last, count := map[int64]int64{}, map[int64]int64{}, map[int64]int{}
	lists := 0
	for e := range r.events {
		if e.first {
			if lists++; lists == r.count {
				fmt.Println("whole", e.at)
			}
			continue
		}
		if count[e.generation]++; count[e.generation] == 1 {
			first[e.generation] = e.at
		}
		last[e.generation] = max(last[e.generation], e.at)
		if count[e.generation] == r.count {
			fmt.Println(e.generation, first[e.generation], last[e.generation])
		}
	}
}

// close closes all watches and waits for their readers and for the report.
func (r *watchRound) close() {
	for _, conn := range r.conns {
		_ = conn.Close() // the service may have closed it already
	}
	r.readers.Wait()
	close(r.events)
	<-r.reported
}

// errNotOpened is the error of a watch that the service rejected with status 503.
var errNotOpened = errors.New("watch rejected with status 503")

// openWatch opens a watch with no generation and reads the header of the response.
func openWatch(addr string) (net.Conn, *bufio.Reader, error) {
	conn, err := net.DialTimeout("tcp", addr, 10*time.Second)
	if err != nil {
		return nil, nil, err
	}
	lines, err := requestWatch(conn)
	if err != nil {
		_ = conn.Close() // the earlier error is returned
		return nil, nil, err
	}
	return conn, lines, nil
}

func requestWatch(conn net.Conn) (*bufio.Reader, error) {
	if _, err := io.WriteString(conn, "GET /registry/instances?watch=1&from=0 HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		return nil, err
	}
	head := bufio.NewReaderSize(conn, 1024)
	status, err := head.ReadString('\n')
	if err != nil {
		return nil, err
	}
	if strings.Contains(status, " 503 ") {
		return nil, errNotOpened
	}
	if !strings.Contains(status, " 200 ") {
		return nil, errors.New(status)
	}
	for {
		line, err := head.ReadString('\n')
		if err != nil {
			return nil, err
		}
		if line == "\r\n" {
			return bufio.NewReaderSize(httputil.NewChunkedReader(head), 1024), nil
		}
	}
}

// watchers controls a process that runs [runWatchers].
type watchers struct {
	in  io.WriteCloser
	out *bufio.Scanner
}

func startWatchers(b *testing.B, addr string, n int) *watchers {
	b.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%s %d", watchersEnv, addr, n))
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = cmd.Process.Kill() // the process may have ended already
		_ = cmd.Wait()         // the status only reflects the kill
	})
	w := &watchers{in, bufio.NewScanner(out)}
	w.next(b) // returns when all watches have the full list
	return w
}

// reconnect makes all watches reconnect with no generation.
func (w *watchers) reconnect(b *testing.B) {
	b.Helper()
	if _, err := fmt.Fprintln(w.in); err != nil {
		b.Fatal(err)
	}
}

// next returns the numbers in the next line that the process prints: for a change, its generation and the
// times at which the first and the last watch received it; for the full list, the time at which the last
// watch received it. Times are Unix times in nanoseconds.
func (w *watchers) next(b *testing.B) (numbers []int64) {
	b.Helper()
	if !w.out.Scan() {
		b.Fatal("the process of the watchers has ended")
	}
	for _, field := range strings.Fields(w.out.Text()) {
		if number, err := strconv.ParseInt(field, 10, 64); err == nil {
			numbers = append(numbers, number)
		}
	}
	return numbers
}
