package testbed

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// service is the project's own list service, in place of the lab's list: replicas as processes,
// to which the lab writes what happens to the app servers and from which the agents tell the
// nodes.
type service struct {
	w        *world
	program  string
	replicas []*replica
	writes   [writers]chan Entry // by server, in the order in which they happened
	waiting  atomic.Int64
	calls    *http.Client

	mu   sync.Mutex
	incs map[string]uint64 // starts of an instance
}

// replica is one process of the list service.
type replica struct {
	name, listen, raft, dir string

	mu   sync.Mutex
	proc *process
}

// Bounds on calls of the list service.
const (
	serviceCall  = 3 * time.Second
	servicePause = 100 * time.Millisecond
	watchSilent  = 3 * time.Second // the service writes a line every 2 s
	writers      = 16
	writesQueued = 1 << 12 // of each
)

// startService starts the replicas, one after another.
func startService(w *world, program string) (*service, error) {
	s := &service{w: w, program: program, incs: map[string]uint64{}, calls: &http.Client{Timeout: serviceCall}}
	for i := range w.s.Fleet.ListReplicas {
		r := &replica{name: fmt.Sprintf("list-%d", i), listen: w.block.hostPort(10, i), raft: w.block.peerPort(10, i)}
		r.dir = filepath.Join(w.dir, r.name)
		if err := os.RemoveAll(r.dir); err != nil {
			return s, fmt.Errorf("%s: %w", r.name, err)
		}
		s.replicas = append(s.replicas, r)
		if err := s.start(r); err != nil {
			return s, err
		}
		if err := s.answers(r); err != nil {
			return s, err
		}
	}
	for i := range s.writes {
		s.writes[i] = make(chan Entry, writesQueued)
		w.spawn(func() { s.write(s.writes[i]) })
	}
	return s, nil
}

// start starts a replica's process; one whose folder is new joins the first.
func (s *service) start(r *replica) error {
	args := []string{"registry", "serve", "-v", "--listen", r.listen, "--raft", r.raft, "--data", r.dir}
	if r != s.replicas[0] {
		args = append(args, "--join", s.replicas[0].listen)
	}
	p, err := startProcess(s.w.starter, s.w.dir, r.name, s.program, 0, nil, args...)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.proc = p
	r.mu.Unlock()
	return nil
}

// answers waits until a replica knows a leader.
func (s *service) answers(r *replica) error {
	for end := time.Now().Add(readyWithin); time.Now().Before(end); {
		if st, err := s.status(r); err == nil && st.Leader != "" {
			return nil
		}
		if r.proc.crashed() {
			return fmt.Errorf("%s has ended: %s", r.name, tail(filepath.Join(s.w.dir, r.name+".log")))
		}
		if !s.w.sleep(servicePause) {
			return errors.New("the run has ended")
		}
	}
	return fmt.Errorf("%s: no leader: %s", r.name, tail(filepath.Join(s.w.dir, r.name+".log")))
}

// replicaStatus is what the lab reads of a replica's status.
type replicaStatus struct {
	State  string `json:"state"`
	Leader string `json:"leader"`
}

func (s *service) status(r *replica) (st replicaStatus, err error) {
	resp, err := s.calls.Get("http://" + r.listen + "/registry/status")
	if err != nil {
		return st, err
	}
	defer func() { _ = resp.Body.Close() }()
	return st, json.NewDecoder(resp.Body).Decode(&st)
}

// put takes in what happened to an app server; it is written after what happened to it before.
func (s *service) put(e Entry) {
	select {
	case s.writes[e.number%writers] <- e:
		s.waiting.Add(1)
	default:
		s.w.fail(fmt.Errorf("the list service takes no writes: %d wait", writesQueued))
	}
}

// write brings what happened to the service, one after another, each until it is done.
func (s *service) write(happened <-chan Entry) {
	for {
		select {
		case <-s.w.over:
			return
		case e := <-happened:
			if err := s.do(e); err != nil {
				s.w.fail(fmt.Errorf("list service: %s %s: %w", e.InstanceID, e.Lifecycle, err))
				return
			}
			s.waiting.Add(-1)
		}
	}
}

// written waits until everything that has happened is written.
func (s *service) written() bool {
	for end := time.Now().Add(readyWithin); time.Now().Before(end); {
		if s.waiting.Load() == 0 {
			return true
		}
		if !s.w.sleep(servicePause) {
			break
		}
	}
	return false
}

// do carries out one write, at one replica after another.
func (s *service) do(e Entry) error {
	s.mu.Lock()
	if e.Lifecycle == "up" {
		s.incs[e.InstanceID]++
	}
	inc := s.incs[e.InstanceID]
	s.mu.Unlock()
	method, path, body := http.MethodPost, "/registry/instances", []byte(nil)
	own := "/" + url.PathEscape(e.InstanceID)
	mark := "?incarnation=" + strconv.FormatUint(inc, 10)
	switch e.Lifecycle {
	case "up":
		var err error
		if body, err = json.Marshal(struct {
			Entry
			Incarnation uint64 `json:"incarnation"`
		}{e, inc}); err != nil {
			return err
		}
	case "draining":
		path += own + "/drain" + mark
	default:
		method, path = http.MethodDelete, path+own+mark
	}
	for i := 0; ; i++ {
		req, err := http.NewRequestWithContext(s.w.ctx, method, "http://"+s.replicas[i%len(s.replicas)].listen+path, bytes.NewReader(body))
		if err != nil {
			return err
		}
		resp, err := s.calls.Do(req)
		if err == nil {
			text, _ := io.ReadAll(io.LimitReader(resp.Body, 4096)) // for the error's text
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			if resp.StatusCode < 500 && resp.StatusCode != http.StatusTemporaryRedirect {
				return fmt.Errorf("%s: %s", resp.Status, text)
			}
		}
		if !s.w.sleep(servicePause) {
			return nil // the run has ended
		}
	}
}

// kill ends the replica that leads with SIGKILL, if one does, or all.
func (s *service) kill(all bool) error {
	for _, r := range s.replicas {
		r.mu.Lock()
		p := r.proc
		r.mu.Unlock()
		st, err := s.status(r)
		if !all && (err != nil || st.State != "leader") {
			continue
		}
		if err := p.signal(syscall.SIGKILL); err != nil {
			return err
		}
	}
	return nil
}

// revive starts the replicas again that were killed.
func (s *service) revive() error {
	for _, r := range s.replicas {
		r.mu.Lock()
		p := r.proc
		r.mu.Unlock()
		if p.wasKilled() {
			<-p.ended
			if err := s.start(r); err != nil {
				return err
			}
		}
	}
	return nil
}

// startAgent starts the project's agent beside a node.
func (s *service) startAgent(node int, addr string) (*process, error) {
	args := []string{"agent", "-v", "--listen", addr, "--name", fmt.Sprintf("n%d", node), "--replicas", strings.Join(s.addresses(), ",")}
	return startProcess(s.w.starter, s.w.dir, fmt.Sprintf("agent-%d", node), s.program, 0, nil, args...)
}

func (s *service) addresses() (out []string) {
	for _, r := range s.replicas {
		out = append(out, r.listen)
	}
	return out
}

// follow hands on each message from a generation on, from one address after another, until ctx
// ends or heard is false. An empty line is a message of none. It believes what it hears.
func (s *service) follow(ctx context.Context, addrs []string, first int, from uint64, heard func(m *listMessage) bool) {
	for i := first; ; i++ {
		if !s.followOne(ctx, addrs[i%len(addrs)], &from, heard) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(servicePause + time.Duration(rand.Int64N(int64(servicePause)))):
		}
	}
}

// followOne follows one watch to its end; it is false where nobody listens any more.
func (s *service) followOne(ctx context.Context, addr string, from *uint64, heard func(m *listMessage) bool) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(watchSilent, cancel)
	defer silence.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/registry/instances?watch=1&from=%d", addr, *from), nil)
	if err != nil {
		return true
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return true
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return true
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		silence.Reset(watchSilent)
		if len(lines.Bytes()) == 0 {
			if !heard(nil) {
				return false
			}
			continue
		}
		var m listMessage
		if err := json.Unmarshal(lines.Bytes(), &m); err != nil {
			s.w.fail(fmt.Errorf("list service: %w in %q", err, clip(lines.Text())))
			return false
		}
		*from = m.Generation
		if !heard(&m) {
			return false
		}
	}
	return true
}

// stop ends the replicas.
func (s *service) stop() {
	var stops sync.WaitGroup
	for _, r := range s.replicas {
		if r.proc != nil {
			stops.Go(func() { r.proc.stop(stopWithin) })
		}
	}
	stops.Wait()
	s.calls.CloseIdleConnections()
}
