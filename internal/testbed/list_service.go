package testbed

import (
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

	"opalhook/internal/discovery"
)

// listService is the project's own list service, in place of the testbed's list: replicas as processes,
// to which the testbed writes what happens to the app servers and from which the agents tell the
// nodes.
type listService struct {
	env           *environment
	program       string
	replicas      []*replica
	writes        [writers]chan Entry // by server, in the order in which they happened
	pendingWrites atomic.Int64
	calls         *http.Client

	mu           sync.Mutex
	incarnations map[string]uint64 // starts of an instance
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
	writesQueued = 1 << 12  // of each
	maxWatchLine = 16 << 20 // bytes
)

// startListService starts the replicas, one after another.
func startListService(env *environment, program string) (*listService, error) {
	s := &listService{env: env, program: program, incarnations: map[string]uint64{}, calls: &http.Client{Timeout: serviceCall}}
	for i := range env.scenario.Fleet.ListReplicas {
		r := &replica{name: fmt.Sprintf("list-%d", i), listen: env.addresses.hostPort(10, i), raft: env.addresses.peerPort(10, i)}
		r.dir = filepath.Join(env.dir, r.name)
		if err := os.RemoveAll(r.dir); err != nil {
			return s, fmt.Errorf("%s: %w", r.name, err)
		}
		s.replicas = append(s.replicas, r)
		if err := s.start(r); err != nil {
			return s, err
		}
		if err := s.awaitLeader(r); err != nil {
			return s, err
		}
	}
	for i := range s.writes {
		s.writes[i] = make(chan Entry, writesQueued)
		env.spawn(func() { s.write(s.writes[i]) })
	}
	return s, nil
}

// start starts a replica's process; one whose folder is new joins the first.
func (s *listService) start(r *replica) error {
	args := []string{"registry", "serve", "-v", "--listen", r.listen, "--raft", r.raft, "--data", r.dir}
	if r != s.replicas[0] {
		args = append(args, "--join", s.replicas[0].listen)
	}
	p, err := startProcess(s.env.starter, s.env.dir, r.name, s.program, 0, nil, args...)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.proc = p
	r.mu.Unlock()
	return nil
}

// awaitLeader waits until a replica knows a leader.
func (s *listService) awaitLeader(r *replica) error {
	for end := time.Now().Add(readyWithin); time.Now().Before(end); {
		if st, err := s.status(r); err == nil && st.Leader != "" {
			return nil
		}
		if r.proc.crashed() {
			return fmt.Errorf("%s has ended: %s", r.name, tail(filepath.Join(s.env.dir, r.name+".log")))
		}
		if !s.env.sleep(servicePause) {
			return errors.New("the run has ended")
		}
	}
	return fmt.Errorf("%s: no leader: %s", r.name, tail(filepath.Join(s.env.dir, r.name+".log")))
}

// replicaStatus is what the testbed reads of a replica's status.
type replicaStatus struct {
	State  string `json:"state"`
	Leader string `json:"leader"`
}

func (s *listService) status(r *replica) (st replicaStatus, err error) {
	resp, err := s.calls.Get("http://" + r.listen + "/registry/status")
	if err != nil {
		return st, err
	}
	defer func() { _ = resp.Body.Close() }()
	return st, json.NewDecoder(resp.Body).Decode(&st)
}

// enqueue takes in what happened to an app server; it is written after what happened to it before.
func (s *listService) enqueue(e Entry) {
	select {
	case s.writes[e.number%writers] <- e:
		s.pendingWrites.Add(1)
	default:
		s.env.fail(fmt.Errorf("the list service takes no writes: %d wait", writesQueued))
	}
}

// write brings what happened to the service, one after another, each until it is done.
func (s *listService) write(happened <-chan Entry) {
	for {
		select {
		case <-s.env.over:
			return
		case e := <-happened:
			if err := s.carryOut(e); err != nil {
				s.env.fail(fmt.Errorf("list service: %s %s: %w", e.InstanceID, e.Lifecycle, err))
				return
			}
			s.pendingWrites.Add(-1)
		}
	}
}

// awaitWritten waits until everything that has happened is written.
func (s *listService) awaitWritten() bool {
	for end := time.Now().Add(readyWithin); time.Now().Before(end); {
		if s.pendingWrites.Load() == 0 {
			return true
		}
		if !s.env.sleep(servicePause) {
			break
		}
	}
	return false
}

// carryOut carries out one write, at one replica after another.
func (s *listService) carryOut(e Entry) error {
	s.mu.Lock()
	if e.Lifecycle == lifecycleUp {
		s.incarnations[e.InstanceID]++
	}
	inc := s.incarnations[e.InstanceID]
	s.mu.Unlock()
	method, path, body := http.MethodPost, "/registry/instances", []byte(nil)
	own := "/" + url.PathEscape(e.InstanceID)
	mark := "?incarnation=" + strconv.FormatUint(inc, 10)
	switch e.Lifecycle {
	case lifecycleUp:
		var err error
		if body, err = json.Marshal(struct {
			Entry
			Incarnation uint64 `json:"incarnation"`
		}{e, inc}); err != nil {
			return err
		}
	case lifecycleDraining:
		path += own + "/drain" + mark
	default:
		method, path = http.MethodDelete, path+own+mark
	}
	for i := 0; ; i++ {
		req, err := http.NewRequestWithContext(s.env.ctx, method, "http://"+s.replicas[i%len(s.replicas)].listen+path, bytes.NewReader(body))
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
		if !s.env.sleep(servicePause) {
			return nil // the run has ended
		}
	}
}

// kill ends the replica that leads with SIGKILL, if one does, or all.
func (s *listService) kill(all bool) error {
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

// restartKilled starts the replicas again that were killed.
func (s *listService) restartKilled() error {
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
func (s *listService) startAgent(node int, addr string) (*process, error) {
	args := []string{"agent", "-v", "--listen", addr, "--name", fmt.Sprintf("n%d", node), "--replicas", strings.Join(s.addresses(), ",")}
	return startProcess(s.env.starter, s.env.dir, fmt.Sprintf("agent-%d", node), s.program, 0, nil, args...)
}

func (s *listService) addresses() (out []string) {
	for _, r := range s.replicas {
		out = append(out, r.listen)
	}
	return out
}

// follow hands on each message from a generation on, from one address after another, until ctx
// ends or heard is false. An empty line is a message of none. It believes what it hears.
func (s *listService) follow(ctx context.Context, addrs []string, first int, from uint64, heard func(m *listMessage) bool) {
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
func (s *listService) followOne(ctx context.Context, addr string, from *uint64, heard func(m *listMessage) bool) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(watchSilent, cancel)
	defer silence.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, discovery.WatchURL(addr, *from), nil)
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
	lines := discovery.NewLineReader(resp.Body, maxWatchLine)
	for {
		m, heartbeat, err := lines.Next()
		var malformed *discovery.MalformedLineError
		if errors.As(err, &malformed) {
			s.env.fail(fmt.Errorf("list service: %w in %q", malformed.Err, clip(malformed.Line)))
			return false
		}
		if err != nil {
			return true
		}
		silence.Reset(watchSilent)
		if heartbeat {
			if !heard(nil) {
				return false
			}
			continue
		}
		*from = m.Generation
		if !heard(messageOf(m)) {
			return false
		}
	}
}

// messageOf is a message of the list service as the testbed books it.
func messageOf(m discovery.Message) *listMessage {
	var entries []Entry
	if m.Instances != nil {
		entries = make([]Entry, 0, len(m.Instances)) // an empty list is written as such, not as null
	}
	for _, e := range m.Instances {
		entries = append(entries, Entry{
			InstanceID: e.InstanceID, HostPort: e.HostPort, Zone: e.Zone, MachineType: e.MachineType, Cell: e.Cell,
			Lifecycle: lifecycle(e.Lifecycle), Weight: e.Weight, StartedAtMs: e.StartedAtMs,
		})
	}
	return &listMessage{Generation: m.Generation, Reset: m.Reset, Instances: entries}
}

// stop ends the replicas.
func (s *listService) stop() {
	var stops sync.WaitGroup
	for _, r := range s.replicas {
		if r.proc != nil {
			stops.Go(func() { r.proc.stop(stopWithin) })
		}
	}
	stops.Wait()
	s.calls.CloseIdleConnections()
}
