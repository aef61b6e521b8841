package edgenode

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"opalhook/internal/edgenode/endpointlist"
	"opalhook/internal/edgenode/nodetest"
)

// The environment of a test binary that stands in for an edge node's process.
const (
	processLimit  = "NODE_TEST_DESCRIPTORS" // descriptors that it may hold; PROXY_CONFIG names its configuration
	processListen = 3                       // the descriptor of its listener
)

// TestMain lets the test binary stand in for an edge node in a process of its own, held to its limit on
// descriptors by the system.
func TestMain(m *testing.M) {
	limit, err := strconv.ParseUint(os.Getenv(processLimit), 10, 32)
	if err != nil {
		os.Exit(m.Run())
	}
	logger := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err := serveLimited(limit, logger); err != nil {
		logger.Error("the node ended", "err", err)
		os.Exit(1)
	}
}

func serveLimited(limit uint64, logger *slog.Logger) error {
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: limit, Max: limit}); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	cfg, err := LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	return runWithListener(ctx, cfg, nil, logger, func() (*net.TCPListener, error) {
		file := os.NewFile(processListen, "listener")
		defer func() { _ = file.Close() }()
		ln, err := net.FileListener(file)
		if err != nil {
			return nil, err
		}
		return ln.(*net.TCPListener), nil
	})
}

// runLimited runs an edge node in a process that may hold so many descriptors.
func runLimited(t *testing.T, descriptors int, discovery string, known ...endpointlist.Endpoint) (addr string, logs *nodetest.Buffer) {
	t.Helper()
	ln := nodetest.Listen(t)
	file, err := ln.File()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	path := t.TempDir() + "/config.json"
	config := map[string]any{
		"name": "n0", "listen": ln.Addr().String(), "discovery": discovery, "seed": "1",
		"limits": map[string]any{"sockets": descriptors}, "known": json.RawMessage(nodetest.ListJSON(7, true, known...)),
		"settings": json.RawMessage(`{"instances":1,"registryMode":"push",
			"lanes":[{"name":"check","idempotency":"retryable","onTime":20,"deadline":20}],
			"tariffs":[{"name":"wide","rate":1000000,"burst":1000000}]}`),
	}
	text, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	logs = &nodetest.Buffer{}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%d", processLimit, descriptors), "PROXY_CONFIG="+path)
	cmd.Stderr, cmd.ExtraFiles = logs, []*os.File{file}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_ = ln.Close()
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGTERM) // a process that has ended is found below
		select {
		case err := <-done:
			if err != nil {
				t.Errorf("the node's process: %v, logged %s", err, logs)
			}
		case <-time.After(nodetest.Patience):
			_ = cmd.Process.Kill()
			t.Errorf("the node's process does not end, logged %s", logs)
		}
	})
	nodetest.Eventually(t, "ready", func() bool { return strings.Contains(logs.String(), "msg=ready") })
	return ln.Addr().String(), logs
}

// outageDiscovery is an agent whose list can be changed, and that can go down: then its watches end, and calls get no
// answer, not even later.
type outageDiscovery struct {
	addr netip.AddrPort
	list atomic.Pointer[string]
	down atomic.Bool
	out  chan struct{} // closed as it goes down
	hung chan struct{} // takes each call that gets no answer

	forever chan struct{}
}

func newOutageDiscovery(t *testing.T, list string) *outageDiscovery {
	t.Helper()
	d := &outageDiscovery{out: make(chan struct{}), hung: make(chan struct{}, 1000), forever: make(chan struct{})}
	d.list.Store(&list)
	d.addr = serveDiscovery(t, func() string { d.hang(); return *d.list.Load() }, d.watch)
	t.Cleanup(func() { close(d.forever) }) // before discovery ends, which waits for its calls
	return d
}

func (d *outageDiscovery) hang() {
	if d.down.Load() {
		d.hung <- struct{}{}
		<-d.forever
	}
}

func (d *outageDiscovery) watch(_ int, _ string, w io.Writer, ctx context.Context) {
	d.hang()
	_, _ = io.WriteString(w, *d.list.Load()+"\n")
	ctx, end := context.WithCancel(ctx)
	defer end()
	go func() {
		select {
		case <-d.out:
		case <-ctx.Done():
		}
		end()
	}()
	beat(ctx, w)
}

// goDown begins the outage, and waits until a call has met it.
func (d *outageDiscovery) goDown(t *testing.T) {
	t.Helper()
	d.down.Store(true)
	close(d.out)
	nodetest.Await(t, "a call of the outage", d.hung)
}

// comeBack ends the outage, with another list.
func (d *outageDiscovery) comeBack(list string) {
	d.list.Store(&list)
	d.down.Store(false)
}

// fillWithIdleClients connects a crowd of clients that send nothing, half a header or one request, and waits until all
// but so many were closed.
func fillWithIdleClients(t *testing.T, addr string, crowd, left int) {
	t.Helper()
	closed := make(chan struct{}, crowd)
	for i := range crowd {
		c := nodetest.Dial(t, addr)
		switch i % 3 {
		case 0: // sends nothing
		case 1: // does not end its header
			c.Send("GET /check")
		case 2: // has sent one request; in a crowd it may have been closed unread
			_, _ = c.Write([]byte(readyRequest))
		}
		go func() {
			_, _ = io.Copy(io.Discard, c.Reader)
			closed <- struct{}{}
		}()
	}
	for range crowd - left {
		nodetest.Await(t, "the crowd is more than there is room for", closed)
	}
}

// tryRequest sends a request on a new connection, which may be closed unread, and tells whether it was served.
func tryRequest(t *testing.T, addr, id string) bool {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	nodetest.SetDeadline(t, c)
	if _, err := io.WriteString(c, request("check", id)); err != nil {
		return false
	}
	text, _ := io.ReadAll(io.LimitReader(c, int64(len("HTTP/1.1 200"))))
	return string(text) == "HTTP/1.1 200"
}

// Idle clients may fill the descriptors while discovery is down. The node still has its calls, its
// connections to servers and clients who ask, and follows the list once discovery is back.
func TestIdleClientsLeaveRoomForDiscoveryAndServers(t *testing.T) {
	const descriptors, crowd = 128, 300
	old, young := nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse)), nodetest.NewAppServer(t, nodetest.Say(nodetest.OKResponse))
	agent := newOutageDiscovery(t, nodetest.ListJSON(8, true, old.Endpoint("a")))
	addr, logs := runLimited(t, descriptors, agent.addr.String(), old.Endpoint("a"))
	if a := nodetest.Dial(t, addr).Ask(request("check", "before")); a.Status != http.StatusOK {
		t.Fatalf("before: %+v", a)
	}
	agent.goDown(t)
	fillWithIdleClients(t, addr, crowd, maxClientConns(descriptors))
	sent := 0
	served := func(what string) {
		nodetest.Eventually(t, what, func() bool {
			sent++
			return tryRequest(t, addr, fmt.Sprint("t", sent))
		})
	}
	served("a response in the outage")
	agent.comeBack(nodetest.ListJSON(9, true, young.Endpoint("b")))
	nodetest.Eventually(t, "the new server is used", func() bool {
		served("a response after the outage")
		return len(young.Requests()) > 0
	})
	before := len(old.Requests())
	served("a response by the new list")
	if got := len(old.Requests()); got != before {
		t.Errorf("%d requests to a server that has gone", got-before)
	}
	if text := logs.String(); strings.Contains(text, "too many open files") {
		t.Errorf("the node ran out of descriptors: %s", text)
	}
}
