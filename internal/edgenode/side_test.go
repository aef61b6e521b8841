package edgenode

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"opalhook/balancer"
	"opalhook/internal/edgenode/nodetest"
)

// serveDiscovery is an agent that answers each watch with what script gives for it, and a call for
// the whole list with what whole gives.
func serveDiscovery(t *testing.T, whole func() string, script func(n int, from string, w io.Writer, ctx context.Context)) netip.AddrPort {
	t.Helper()
	var calls atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/registry/instances" {
			t.Errorf("call of %s", r.URL)
		}
		if r.URL.Query().Get("watch") == "" {
			_, _ = io.WriteString(w, whole())
			return
		}
		w.WriteHeader(200)
		w.(http.Flusher).Flush()
		script(int(calls.Add(1)), r.URL.Query().Get("from"), flushing{w}, r.Context())
	}))
	t.Cleanup(func() {
		srv.CloseClientConnections() // Close waits for the scripts, which wait for their clients
		srv.Close()
	})
	return netip.MustParseAddrPort(srv.Listener.Addr().String())
}

// beat writes the agent's empty lines until the watch ends, so that it is not taken for dead.
func beat(ctx context.Context, w io.Writer) {
	for tick := time.NewTicker(100 * time.Millisecond); ; {
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-tick.C:
			_, _ = io.WriteString(w, "\n")
		}
	}
}

type flushing struct{ http.ResponseWriter }

func (f flushing) Write(p []byte) (int, error) {
	n, err := f.ResponseWriter.Write(p)
	f.ResponseWriter.(http.Flusher).Flush()
	return n, err
}

// What discovery tells reaches the choice of a server.
func TestWatchMovesTraffic(t *testing.T) {
	old, young := nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse)), nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse))
	cfg := testConfig(old.Endpoint("a"))
	cfg.Discovery = serveDiscovery(t, func() string { return nodetest.ListJSON(8, true, young.Endpoint("b")) }, func(n int, _ string, w io.Writer, ctx context.Context) {
		_, _ = fmt.Fprintf(w, "%s\n", nodetest.ListJSON(8, true, young.Endpoint("b")))
		<-ctx.Done()
	})
	n := run(t, cfg)
	c := nodetest.Dial(t, n.addr)
	i := 0
	nodetest.Eventually(t, "new server used", func() bool {
		i++
		c.Ask(request("check", fmt.Sprint("t", i)))
		return len(young.Requests()) > 0
	})
	before := len(old.Requests())
	c.Ask(request("check", "last"))
	if len(old.Requests()) != before {
		t.Error("a server that is gone is still used")
	}
}

// What the agent has counts from a new process's first moment: no client is taken before it has
// told, so that the cached list, which may be old, sends nobody to a server that has left.
func TestNewProcessStartsFromWhatTheAgentHas(t *testing.T) {
	old, young := nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse)), nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse))
	tells, opened := make(chan struct{}), make(chan bool, 1)
	cfg := testConfig(old.Endpoint("a"))
	cfg.listWait = nodetest.Patience
	whole := nodetest.ListJSON(8, true, young.Endpoint("b"))
	asked := make(chan struct{}, 100)
	cfg.Discovery = serveDiscovery(t, func() string { asked <- struct{}{}; <-tells; return whole }, func(n int, _ string, w io.Writer, ctx context.Context) {
		<-tells
		_, _ = fmt.Fprintf(w, "%s\n", whole)
		beat(ctx, w)
	})
	ln := nodetest.Listen(t)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- runWithListener(ctx, cfg, nil, slog.New(slog.DiscardHandler), func() (*net.TCPListener, error) {
			select {
			case <-tells:
				opened <- true
			default: // a client that connects now would wait for a list that may not come
				opened <- false
			}
			return ln, nil
		})
	}()
	nodetest.Await(t, "the agent is asked", asked)
	close(tells)
	if !nodetest.Await(t, "the listener", opened) {
		t.Error("clients are taken before the agent has told what it has")
	}
	c := nodetest.Dial(t, ln.Addr().String())
	if a := c.Ask(request("check", "t1")); a.Status != http.StatusOK {
		t.Errorf("answer %+v", a)
	}
	if len(old.Requests()) > 0 || len(young.Requests()) != 1 {
		t.Errorf("%d requests to the server of the cached list, %d to the agent's", len(old.Requests()), len(young.Requests()))
	}
	stop()
	if err := nodetest.Await(t, "the node's end", done); err != nil {
		t.Error(err)
	}
}

// A reload moves the watch at once and asks the new agent for the whole list: its versions
// are its own. A configuration that can't be changes nothing.
func TestReloadMovesTheWatch(t *testing.T) {
	old, young := nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse)), nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse))
	watched, left := make(chan struct{}, 100), make(chan struct{}, 100)
	first := serveDiscovery(t, func() string { return nodetest.ListJSON(900, true, old.Endpoint("a")) }, func(_ int, _ string, w io.Writer, ctx context.Context) {
		_, _ = fmt.Fprintf(w, "%s\n", nodetest.ListJSON(900, true, old.Endpoint("a")))
		watched <- struct{}{}
		beat(ctx, w)
		left <- struct{}{}
	})
	froms := make(chan string, 100)
	second := serveDiscovery(t, func() string { return nodetest.ListJSON(3, true, young.Endpoint("b")) }, func(_ int, from string, w io.Writer, ctx context.Context) {
		froms <- from
		_, _ = fmt.Fprintf(w, "%s\n", nodetest.ListJSON(3, true, young.Endpoint("b")))
		beat(ctx, w)
	})
	cfg := testConfig(old.Endpoint("a"))
	cfg.Discovery = first
	next := make(chan error, 1)
	cfg.reload = func() (*Config, error) {
		moved := *cfg
		moved.Discovery = second
		return &moved, <-next
	}
	n := run(t, cfg)
	nodetest.Await(t, "the first agent is watched", watched) // a watch that has not begun can't be left
	next <- errors.New("discovery: no port")
	n.reload <- syscall.SIGHUP
	nodetest.Eventually(t, "bad configuration logged", func() bool { return strings.Contains(n.logs.String(), "discovery: no port") })
	select {
	case <-left:
		t.Fatal("the watch was left for a configuration that can't be")
	default:
	}
	next <- nil
	n.reload <- syscall.SIGHUP
	nodetest.Await(t, "the first agent is left", left)
	if from := nodetest.Await(t, "the second agent is watched", froms); from != "0" && from != "3" {
		t.Errorf("the new agent is watched from version %s of the old one's", from)
	}
	c := nodetest.Dial(t, n.addr)
	i := 0
	nodetest.Eventually(t, "new agent's server used", func() bool {
		i++
		c.Ask(request("check", fmt.Sprint("t", i)))
		return len(young.Requests()) > 0
	})
}

// The environment's address is that of the start: on a reload the file's counts, or no
// reload could ever move the watch.
func TestReloadTakesTheFilesDiscovery(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(discovery string) {
		t.Helper()
		text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:1","discovery":%q,"seed":"1",
			"settings":{"instances":1,"lanes":[{"name":"c","idempotency":"retryable","onTime":0.4,"deadline":2}]}}`, discovery)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	env := map[string]string{"PROXY_CONFIG": path, "PROXY_NAME": "n1", "PROXY_DISCOVERY": "127.0.0.1:2"}
	write("127.0.0.1:2")
	cfg, err := LoadConfig(func(name string) string { return env[name] })
	if err != nil {
		t.Fatal(err)
	}
	write("127.0.0.1:3")
	again, err := cfg.reload()
	if err != nil || again.Discovery != netip.MustParseAddrPort("127.0.0.1:3") || again.Name != "n1" {
		t.Errorf("read again: %+v, %v", again, err)
	}
	write("nowhere")
	if _, err := cfg.reload(); err == nil || !strings.Contains(err.Error(), "discovery") {
		t.Errorf("error %v does not name the field", err)
	}
}

// Only whole datagrams of known peers are heard, under the sender's number.
func TestPeers(t *testing.T) {
	socket := func() *net.UDPConn {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	addr := func(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }
	other, stranger, all := socket(), socket(), socket()
	cfg := &Config{
		PeerListen: netip.MustParseAddrPort("127.0.0.1:0"), PeersAll: addr(all),
		Peers: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), addr(other)},
	}
	p, err := listenPeers(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.conn.Close() })
	heard := make(chan string, 10)
	go p.receive(func(from int, message []byte) { heard <- fmt.Sprintf("%d %s", from, message) })
	for _, d := range []struct {
		c    *net.UDPConn
		text []byte
	}{{stranger, []byte("stranger")}, {other, make([]byte, maxPeerMessage+1)}, {other, []byte("hi")}} {
		if _, err := d.c.WriteToUDPAddrPort(d.text, addr(p.conn)); err != nil {
			t.Fatal(err)
		}
	}
	if got := nodetest.Await(t, "a datagram", heard); got != "1 hi" {
		t.Errorf("heard %q, want the peer's message alone", got)
	}

	for peer, c := range map[int]*net.UDPConn{1: other, balancer.AllPeers: all} {
		if err := p.write(peer, []byte("hello")); err != nil {
			t.Fatal(err)
		}
		buf := make([]byte, maxPeerMessage)
		nodetest.SetDeadline(t, c)
		n, from, err := c.ReadFromUDPAddrPort(buf)
		if err != nil || string(buf[:n]) != "hello" || from != addr(p.conn) {
			t.Errorf("to %d: %q from %v, error %v", peer, buf[:n], from, err)
		}
	}
	var lines nodetest.Buffer
	log := slog.New(slog.NewTextHandler(&lines, nil))
	for _, peer := range []int{2, 2, 1, 1} {
		p.sendMessage(peer, []byte("hello"), log)
	}
	if strings.Count(lines.String(), "\n") != 2 { // one for each change of state
		t.Errorf("logged %q", lines.String())
	}
	if p.write(1, make([]byte, maxPeerMessage+1)) == nil || p.write(2, []byte("hello")) == nil {
		t.Error("a message too long or to nobody was sent")
	}
}

// The clock is Unix time, so that a server's start compares to it.
func TestClock(t *testing.T) {
	n := nodeOf(idleFrontend(t, testConfig()))
	before := time.Duration(time.Now().UnixNano())
	now := n.now()
	if d := now - before; d < -time.Second || d > nodetest.Patience || n.now() < now {
		t.Errorf("the clock reads %v past Unix time", d)
	}
}
