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

// A watch that does not read is dropped and holds no other up; connections that say nothing, or
// say it slowly, are closed and hold up nobody.
func TestSilentAndSlowClients(t *testing.T) {
	s := startReplica(t, t.TempDir(), "")
	base := "http://" + s.Addr() + "/registry/instances"
	for n := range 400 { // more than the buffers between take
		e := entry(fmt.Sprint("s-", n), n+1)
		e.MachineType = strings.Repeat("m", maxNameLength)
		text, err := json.Marshal(Registration{Entry: e, Incarnation: 1})
		if err != nil {
			t.Fatal(err)
		}
		call(t, "POST", base, string(text))
	}
	dial := func(says string) net.Conn {
		c, err := (&net.Dialer{Control: func(_, _ string, rc syscall.RawConn) error {
			var err error
			return errors.Join(rc.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2048) }), err)
		}}).Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		if _, err := io.WriteString(c, says); err != nil {
			t.Fatal(err)
		}
		return c
	}
	var mute []net.Conn
	for range 2000 {
		mute = append(mute, dial(""))
	}
	for range 200 {
		mute = append(mute, dial("POST /registry/instances HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n{"))
	}
	dial("GET /registry/instances?watch=1&from=0 HTTP/1.1\r\nHost: x\r\n\r\n")
	waitFor(t, "the deaf watch is open", func() bool { return s.openWatches.Load() == 1 })
	good := startWatch(t, s.Addr(), 0)
	good.next(t)
	call(t, "POST", base+"/s-1/drain", "")
	if m := good.next(t); m.Generation != 401 {
		t.Errorf("beside the deaf and the mute a watch gets %+v", m)
	}
	waitFor(t, "the watch that does not read is dropped", func() bool { return s.openWatches.Load() == 1 })
	for _, c := range mute {
		c.SetReadDeadline(time.Now().Add(testTimeout))
		text, err := io.ReadAll(c)
		if err != nil && !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("a mute connection stays open: %v", err)
		}
		if len(text) > 0 && !strings.HasPrefix(string(text), "HTTP/1.1 4") {
			t.Fatalf("a mute connection is told %q", text)
		}
	}
}

// Watches that come too fast are turned away with advice; one that is open is not starved.
func TestWatchOpensAreRateLimited(t *testing.T) {
	s := startReplica(t, t.TempDir(), "", func(c *Config) { c.WatchOpensPerSecond = 3 })
	base := "http://" + s.Addr() + "/registry/instances"
	call(t, "POST", base, registration("s-a", 1, 1, 0))
	open := startWatch(t, s.Addr(), 0)
	open.next(t)
	turned := 0
	for range 20 {
		resp, err := http.Get(base + "?watch=1&from=0")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "" {
			turned++
		}
	}
	if turned < 10 {
		t.Errorf("%d of 20 turned away at 3 a second", turned)
	}
	call(t, "POST", base+"/s-a/drain", "")
	if m := open.next(t); m.Generation != 2 {
		t.Errorf("the open watch gets %+v", m)
	}
}

// paced is a connection that notes how much it is given under each deadline.
type pacedConn struct {
	net.Conn
	deadlines int
	under     int // bytes since the last deadline
	most      int
	text      bytes.Buffer
}

func (p *pacedConn) SetWriteDeadline(time.Time) error {
	p.deadlines++
	p.under = 0
	return nil
}

func (p *pacedConn) Write(b []byte) (int, error) {
	p.under += len(b)
	p.most = max(p.most, p.under)
	return p.text.Write(b)
}

// However long a list is, a reader has its time for each piece of it, and gets each byte once.
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
			t.Fatalf("%d bytes of %d, or others", conn.text.Len(), len(want))
		}
		if conn.most > maxWriteSize || conn.deadlines > 1+len(want)/maxWriteSize+len(chunks) {
			t.Fatalf("%d bytes under one deadline, %d deadlines for %d bytes", conn.most, conn.deadlines, len(want))
		}
	})
}
