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

// Parameters that runLimited passes to the test binary when it starts it as an edge node.
const (
	limitVariable      = "NODE_TEST_DESCRIPTORS" // environment variable with the limit on file descriptors
	listenerDescriptor = 3                       // file descriptor of the inherited listener
)

// TestMain runs the tests. If limitVariable is set, the test binary runs as an edge node instead, in a
// process whose file descriptors the system limits.
func TestMain(m *testing.M) {
	limit, err := strconv.ParseUint(os.Getenv(limitVariable), 10, 32)
	if err != nil {
		os.Exit(m.Run())
	}
	logger := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err := serveLimited(limit, logger); err != nil {
		logger.Error("edge node failed", "err", err)
		os.Exit(1)
	}
}

// serveLimited sets the limit on file descriptors and runs an edge node on the inherited listener until
// SIGTERM.
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
		file := os.NewFile(listenerDescriptor, "listener")
		defer func() { _ = file.Close() }()
		ln, err := net.FileListener(file)
		if err != nil {
			return nil, err
		}
		return ln.(*net.TCPListener), nil
	})
}

// runLimited runs an edge node in a process with a limit on file descriptors until the test ends. cached is
// its cached list. It returns the address for clients and the log.
func runLimited(t *testing.T, descriptors int, discovery string, cached ...endpointlist.Endpoint) (addr string, logs *nodetest.Buffer) {
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
		"limits": map[string]any{"sockets": descriptors}, "known": json.RawMessage(nodetest.ListJSON(7, true, cached...)),
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
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%d", limitVariable, descriptors), "PROXY_CONFIG="+path)
	cmd.Stderr, cmd.ExtraFiles = logs, []*os.File{file}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_ = ln.Close()
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGTERM) // fails if the process has ended, which Wait reports
		select {
		case err := <-done:
			if err != nil {
				t.Errorf("edge node process: %v, logged %s", err, logs)
			}
		case <-time.After(nodetest.WaitTimeout):
			_ = cmd.Process.Kill()
			t.Errorf("edge node process did not end in time, logged %s", logs)
		}
	})
	nodetest.Eventually(t, "edge node ready", func() bool { return strings.Contains(logs.String(), "msg=ready") })
	return ln.Addr().String(), logs
}

// outageDiscovery is an agent with a replaceable list that can have one outage. When the outage begins, all
// watches end. Calls during the outage are never answered.
type outageDiscovery struct {
	addr       netip.AddrPort
	list       atomic.Pointer[string]
	down       atomic.Bool
	outage     chan struct{} // closed when the outage begins
	unanswered chan struct{} // receives a value for each unanswered call

	testEnd chan struct{} // closed when the test ends, which releases the unanswered calls
}

func newOutageDiscovery(t *testing.T, list string) *outageDiscovery {
	t.Helper()
	d := &outageDiscovery{outage: make(chan struct{}), unanswered: make(chan struct{}, 1000), testEnd: make(chan struct{})}
	d.list.Store(&list)
	d.addr = serveDiscovery(t, func() string { d.hang(); return *d.list.Load() }, d.watch)
	t.Cleanup(func() { close(d.testEnd) }) // runs before the server's own clean-up, which waits for its calls
	return d
}

// hang blocks until the test ends if the outage has begun.
func (d *outageDiscovery) hang() {
	if d.down.Load() {
		d.unanswered <- struct{}{}
		<-d.testEnd
	}
}

// watch writes the list, then empty lines until the watch ends or the outage begins.
func (d *outageDiscovery) watch(_ int, _ string, w io.Writer, ctx context.Context) {
	d.hang()
	_, _ = io.WriteString(w, *d.list.Load()+"\n")
	ctx, end := context.WithCancel(ctx)
	defer end()
	go func() {
		select {
		case <-d.outage:
		case <-ctx.Done():
		}
		end()
	}()
	sendHeartbeats(ctx, w)
}

// beginOutage begins the outage and waits for the first call that stays unanswered.
func (d *outageDiscovery) beginOutage(t *testing.T) {
	t.Helper()
	d.down.Store(true)
	close(d.outage)
	nodetest.Await(t, "call during the outage", d.unanswered)
}

// endOutage ends the outage and replaces the list.
func (d *outageDiscovery) endOutage(list string) {
	d.list.Store(&list)
	d.down.Store(false)
}

// fillWithIdleClients opens the given number of connections that send nothing, part of a header or one
// request, and waits until the node has closed all but remaining of them.
func fillWithIdleClients(t *testing.T, addr string, clients, remaining int) {
	t.Helper()
	closed := make(chan struct{}, clients)
	for i := range clients {
		c := nodetest.Dial(t, addr)
		switch i % 3 {
		case 0: // sends nothing
		case 1: // sends part of a header
			c.Send("GET /check")
		case 2: // sends one request; that fails if the node has already evicted the connection
			_, _ = c.Write([]byte(readyRequest))
		}
		go func() {
			_, _ = io.Copy(io.Discard, c.Reader)
			closed <- struct{}{}
		}()
	}
	for range clients - remaining {
		nodetest.Await(t, "connections over the limit closed", closed)
	}
}

// tryRequest sends a request on a new connection and reports whether it was served. The node may evict the
// connection before it reads the request.
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

// Guards against idle clients using up the file descriptors while discovery is down. The node must still be
// able to call discovery, connect to app servers and accept clients with requests, and must follow the list
// once discovery is back.
func TestIdleClientsLeaveRoomForDiscoveryAndServers(t *testing.T) {
	const descriptors, clients = 128, 300
	oldServer, newServer := nodetest.NewAppServer(t, nodetest.Respond(nodetest.OKResponse)), nodetest.NewAppServer(t, nodetest.Respond(nodetest.OKResponse))
	agent := newOutageDiscovery(t, nodetest.ListJSON(8, true, oldServer.Endpoint("a")))
	addr, logs := runLimited(t, descriptors, agent.addr.String(), oldServer.Endpoint("a"))
	if a := nodetest.Dial(t, addr).Do(request("check", "before")); a.Status != http.StatusOK {
		t.Fatalf("before the outage: response %+v, want status 200", a)
	}
	agent.beginOutage(t)
	fillWithIdleClients(t, addr, clients, maxClientConns(descriptors))
	sent := 0
	awaitServed := func(what string) {
		nodetest.Eventually(t, what, func() bool {
			sent++
			return tryRequest(t, addr, fmt.Sprint("t", sent))
		})
	}
	awaitServed("request served during the outage")
	agent.endOutage(nodetest.ListJSON(9, true, newServer.Endpoint("b")))
	nodetest.Eventually(t, "new app server used", func() bool {
		awaitServed("request served after the outage")
		return len(newServer.Requests()) > 0
	})
	before := len(oldServer.Requests())
	awaitServed("request served with the new list")
	if got := len(oldServer.Requests()); got != before {
		t.Errorf("%d requests to an app server that left the list, want 0", got-before)
	}
	if text := logs.String(); strings.Contains(text, "too many open files") {
		t.Errorf("the node ran out of file descriptors: %s", text)
	}
}
