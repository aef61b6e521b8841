package registry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// dialSlow opens a connection with a small receive buffer and sends text.
func dialSlow(t *testing.T, addr, text string) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2048) })
		return errors.Join(controlErr, err)
	}}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

// checkClosed checks that the service closes a connection without a complete request. The service may send a
// 4xx response first.
func checkClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(conn)
	if err != nil && !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("a connection without a complete request stays open: %v", err)
	}
	if len(text) > 0 && !strings.HasPrefix(string(text), "HTTP/1.1 4") {
		t.Fatalf("a connection without a complete request gets %q", text)
	}
}

// A watch that does not read is dropped, and connections that send nothing or send slowly are closed. None of
// them delays other watches.
func TestSilentAndSlowClients(t *testing.T) {
	s := startReplica(t, t.TempDir(), "")
	base := "http://" + s.Addr() + "/registry/instances"
	for n := range 400 { // a list larger than all buffers between the service and the client
		e := entry(fmt.Sprint("s-", n), n+1)
		e.MachineType = strings.Repeat("m", maxNameLength)
		text, err := json.Marshal(Registration{Entry: e, Incarnation: 1})
		if err != nil {
			t.Fatal(err)
		}
		call(t, "POST", base, string(text))
	}
	var silent []net.Conn
	for range 2000 {
		silent = append(silent, dialSlow(t, s.Addr(), ""))
	}
	for range 200 {
		silent = append(silent, dialSlow(t, s.Addr(), "POST /registry/instances HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n{"))
	}
	dialSlow(t, s.Addr(), "GET /registry/instances?watch=1&from=0 HTTP/1.1\r\nHost: x\r\n\r\n")
	waitFor(t, "the watch that does not read is open", func() bool { return s.openWatches.Load() == 1 })
	other := startWatch(t, s.Addr(), 0)
	other.next(t)
	call(t, "POST", base+"/s-1/drain", "")
	if m := other.next(t); m.Generation != 401 {
		t.Errorf("with silent clients and one that does not read, another watch gets %+v, want generation 401", m)
	}
	waitFor(t, "the watch that does not read is dropped", func() bool { return s.openWatches.Load() == 1 })
	for _, conn := range silent {
		checkClosed(t, conn)
	}
}

// Watches above the limit on opening are rejected with Retry-After. A watch that is open already still gets
// changes.
func TestWatchOpensAreRateLimited(t *testing.T) {
	s := startReplica(t, t.TempDir(), "", func(c *Config) { c.WatchOpensPerSecond = 3 })
	base := "http://" + s.Addr() + "/registry/instances"
	call(t, "POST", base, registration("s-a", 1, 1, 0))
	open := startWatch(t, s.Addr(), 0)
	open.next(t)
	rejected := 0
	for range 20 {
		resp, err := http.Get(base + "?watch=1&from=0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = resp.Body.Close() })
		if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "" {
			rejected++
		}
	}
	if rejected < 10 {
		t.Errorf("%d of 20 watches rejected at a limit of 3 per second, want at least 10", rejected)
	}
	call(t, "POST", base+"/s-a/drain", "")
	if m := open.next(t); m.Generation != 2 {
		t.Errorf("the open watch gets %+v, want generation 2", m)
	}
}

// pacedConn is a connection that records how many bytes are written under each deadline.
type pacedConn struct {
	net.Conn
	deadlines int
	pending   int // bytes since the last deadline was set
	max       int // largest value of pending
	text      bytes.Buffer
}

func (p *pacedConn) SetWriteDeadline(time.Time) error {
	p.deadlines++
	p.pending = 0
	return nil
}

func (p *pacedConn) Write(b []byte) (int, error) {
	p.pending += len(b)
	p.max = max(p.max, p.pending)
	return p.text.Write(b)
}

// A client has writeTimeout for each piece of a list, however long the list is, and gets each byte once.
func TestWriteDeadlinePerPiece(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var want []byte
		var chunks [][]byte
		for i, size := range rapid.SliceOfN(rapid.SampledFrom([]int{0, 1, 200, maxWriteSize - 1, maxWriteSize, maxWriteSize + 1, 5*maxWriteSize + 7}), 0, 8).Draw(t, "sizes") {
			c := bytes.Repeat([]byte{byte('a' + i)}, size)
			chunks, want = append(chunks, c), append(want, c...)
		}
		var conn pacedConn
		if err := writePaced(&conn, chunks); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(conn.text.Bytes(), want) {
			t.Fatalf("%d bytes written, want %d, or the bytes differ", conn.text.Len(), len(want))
		}
		if conn.max > maxWriteSize || conn.deadlines > 1+len(want)/maxWriteSize+len(chunks) {
			t.Fatalf("%d bytes under one deadline, %d deadlines for %d bytes", conn.max, conn.deadlines, len(want))
		}
	})
}
