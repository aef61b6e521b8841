package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// serveFunc writes the answer to a request. If it returns false, the connection is closed after that.
type serveFunc func(c net.Conn, r *received) bool

// appServer is an app server of the page on the protocol. It records each request that reached it whole.
type appServer struct {
	id       string
	addr     string
	zone     string
	listener net.Listener
	serve    serveFunc
	log      *record

	mu       sync.Mutex
	requests []*received
}

// received is a request that reached an app server whole.
type received struct {
	at     time.Time // of its last byte
	server string
	id     string // X-Trace-Id
	method string
	target string
	body   string
	header http.Header
}

// newAppServer starts an app server.
func newAppServer(id, zone string, log *record, serve serveFunc) (*appServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &appServer{id: id, addr: listener.Addr().String(), zone: zone, listener: listener, serve: serve, log: log}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go s.loop(c)
		}
	}()
	return s, nil
}

// work is the time that an app server needs for a request.
const work = 20 * time.Millisecond

// answerFor returns the body of the answer that is made for a request.
func answerFor(id string) string { return "quote " + id + " price=148250" }

// answerWell answers a request after its work with the answer made for it.
func answerWell(c net.Conn, r *received) bool {
	body := answerFor(r.id)
	return writeAnswer(c, len(body), body)
}

// writeAnswer writes an answer that announces the given length, after the work for it.
func writeAnswer(c net.Conn, length int, body string) bool {
	time.Sleep(work)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Settled: 1\r\n"+
		"Endpoint-Load-Metrics: TEXT inflight=1\r\n\r\n%s", length, body)
	return err == nil
}

// loop serves the requests on one connection.
func (s *appServer) loop(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		r := &received{
			at: time.Now(), server: s.id, id: request.Header.Get("X-Trace-Id"), method: request.Method,
			target: request.RequestURI, body: string(body), header: request.Header,
		}
		s.mu.Lock()
		s.requests = append(s.requests, r)
		s.mu.Unlock()
		s.log.add("app server %s got %s %.60s id=%s X-Expires-In=%s", s.id, r.method, r.target, r.id,
			r.header.Get("X-Expires-In"))
		if !s.serve(c, r) {
			return
		}
	}
}

// all returns the requests that have reached the app server so far.
func (s *appServer) all() []*received {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*received(nil), s.requests...)
}

// entry returns the app server's entry in the list.
func (s *appServer) entry(lifecycle string) map[string]any {
	return map[string]any{
		"instanceId": s.id, "hostPort": s.addr, "zone": s.zone, "machineType": "std-4c", "cell": 0,
		"lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0,
	}
}

// agent is discovery's agent on an edge node's machine. Its list does not change.
type agent struct {
	addr    string
	entries []map[string]any
}

// generation is the generation of the list.
const generation = 41

// newAgent starts an agent with a list of app servers, all up.
func newAgent(servers []*appServer) (*agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{addr: listener.Addr().String()}
	for _, s := range servers {
		a.entries = append(a.entries, s.entry("up"))
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", a.instances)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	return a, nil
}

// list returns the whole list as a message.
func (a *agent) list() map[string]any {
	return map[string]any{"generation": generation, "reset": true, "instances": a.entries}
}

// instances answers a call for the list, or a watch. A watch that does not continue from the list begins with it. An
// empty line follows every 2 s.
func (a *agent) instances(w http.ResponseWriter, r *http.Request) {
	watch, from := r.URL.Query().Get("watch") != "", r.URL.Query().Get("from")
	if !watch || from != strconv.Itoa(generation) {
		_ = json.NewEncoder(w).Encode(a.list())
	}
	for watch {
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
			_, _ = io.WriteString(w, "\n")
		}
	}
}
