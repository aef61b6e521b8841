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

// listService runs the replicas of the project's own list service as processes. The testbed writes the
// changes of the app servers to the service, and the discovery agents relay the service's list to the nodes.
type listService struct {
	env           *environment
	binary        string
	replicas      []*replica
	writes        [writerCount]chan Entry // queued changes; those of one server are in one queue, in order
	pendingWrites atomic.Int64            // number of changes that the service has not yet accepted
	client        *http.Client

	mu           sync.Mutex
	incarnations map[string]uint64 // number of starts of each instance, by instance id
}

// replica is one process of the list service.
type replica struct {
	name, listen, raft, dir string

	mu   sync.Mutex
	proc *process
}

// Limits for the communication with the list service.
const (
	serviceCallTimeout = 3 * time.Second
	serviceRetryPause  = 100 * time.Millisecond
	watchIdleTimeout   = 3 * time.Second // the service writes at least a heartbeat every 2 s
	writerCount        = 16
	writeQueueCapacity = 1 << 12  // per writer
	maxWatchLine       = 16 << 20 // bytes
)

// startListService starts the replicas one after another. Each must report a leader before the next one
// starts.
func startListService(env *environment, binary string) (*listService, error) {
	s := &listService{env: env, binary: binary, incarnations: map[string]uint64{}, client: &http.Client{Timeout: serviceCallTimeout}}
	for i := range env.scenario.Fleet.ListReplicas {
		r := &replica{name: fmt.Sprintf("list-%d", i), listen: env.addresses.hostPort(10, i), raft: env.addresses.peerHostPort(10, i)}
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
		s.writes[i] = make(chan Entry, writeQueueCapacity)
		env.spawn(func() { s.writeLoop(s.writes[i]) })
	}
	return s, nil
}

// start starts a replica's process. All replicas except the first get the first one as the replica to join.
func (s *listService) start(r *replica) error {
	args := []string{"registry", "serve", "-v", "--listen", r.listen, "--raft", r.raft, "--data", r.dir}
	if r != s.replicas[0] {
		args = append(args, "--join", s.replicas[0].listen)
	}
	p, err := startProcess(s.env.starter, s.env.dir, r.name, s.binary, 0, nil, args...)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.proc = p
	r.mu.Unlock()
	return nil
}

// awaitLeader waits until a replica reports a leader.
func (s *listService) awaitLeader(r *replica) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); {
		if st, err := s.status(r); err == nil && st.Leader != "" {
			return nil
		}
		if r.proc.crashed() {
			return fmt.Errorf("%s ended before it reported a leader: %s", r.name, tail(filepath.Join(s.env.dir, r.name+".log")))
		}
		if !s.env.sleep(serviceRetryPause) {
			return errors.New("the run ended before the list service had a leader")
		}
	}
	return fmt.Errorf("%s did not report a leader within %v: %s", r.name, readyTimeout,
		tail(filepath.Join(s.env.dir, r.name+".log")))
}

// replicaStatus contains the fields of a replica's status that the testbed uses.
type replicaStatus struct {
	State  string `json:"state"`
	Leader string `json:"leader"`
}

// status requests a replica's status.
func (s *listService) status(r *replica) (st replicaStatus, err error) {
	resp, err := s.client.Get("http://" + r.listen + "/registry/status")
	if err != nil {
		return st, err
	}
	defer func() { _ = resp.Body.Close() }()
	return st, json.NewDecoder(resp.Body).Decode(&st)
}

// enqueue queues a change of an app server. It is written after the earlier changes of the same server.
func (s *listService) enqueue(e Entry) {
	select {
	case s.writes[e.number%writerCount] <- e:
		s.pendingWrites.Add(1)
	default:
		s.env.fail(fmt.Errorf("list service: write queue is full with %d changes", writeQueueCapacity))
	}
}

// writeLoop writes queued changes to the service, one after another, until the run ends. It retries each
// change until the service accepts it.
func (s *listService) writeLoop(changes <-chan Entry) {
	for {
		select {
		case <-s.env.done:
			return
		case e := <-changes:
			if err := s.apply(e); err != nil {
				s.env.fail(fmt.Errorf("list service: %s %s: %w", e.InstanceID, e.Lifecycle, err))
				return
			}
			s.pendingWrites.Add(-1)
		}
	}
}

// awaitWritten waits until the service has accepted all queued changes. It returns false after readyTimeout
// or if the run ends first.
func (s *listService) awaitWritten() bool {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); {
		if s.pendingWrites.Load() == 0 {
			return true
		}
		if !s.env.sleep(serviceRetryPause) {
			break
		}
	}
	return false
}

// apply writes a change to the service. It tries the replicas one after another until one accepts the change.
// It returns an error if a replica rejects the change as invalid, and nil if the run ends.
func (s *listService) apply(e Entry) error {
	s.mu.Lock()
	if e.Lifecycle == lifecycleUp {
		s.incarnations[e.InstanceID]++
	}
	incarnation := s.incarnations[e.InstanceID]
	s.mu.Unlock()
	method, path, body := http.MethodPost, "/registry/instances", []byte(nil)
	instance := "/" + url.PathEscape(e.InstanceID)
	query := "?incarnation=" + strconv.FormatUint(incarnation, 10)
	switch e.Lifecycle {
	case lifecycleUp:
		var err error
		if body, err = json.Marshal(struct {
			Entry
			Incarnation uint64 `json:"incarnation"`
		}{e, incarnation}); err != nil {
			return err
		}
	case lifecycleDraining:
		path += instance + "/drain" + query
	default:
		method, path = http.MethodDelete, path+instance+query
	}
	for i := 0; ; i++ {
		req, err := http.NewRequestWithContext(s.env.ctx, method, "http://"+s.replicas[i%len(s.replicas)].listen+path, bytes.NewReader(body))
		if err != nil {
			return err
		}
		resp, err := s.client.Do(req)
		if err == nil {
			text, _ := io.ReadAll(io.LimitReader(resp.Body, 4096)) // used in the error text
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			if resp.StatusCode < 500 && resp.StatusCode != http.StatusTemporaryRedirect {
				return fmt.Errorf("%s: %s", resp.Status, text)
			}
		}
		if !s.env.sleep(serviceRetryPause) {
			return nil // the run has ended
		}
	}
}

// kill ends the leader with SIGKILL, if there is one. If all is true, it ends all replicas.
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

// restartKilled starts the killed replicas again.
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

// startAgent starts the project's agent for a node, listening on addr.
func (s *listService) startAgent(node int, addr string) (*process, error) {
	args := []string{"agent", "-v", "--listen", addr, "--name", fmt.Sprintf("n%d", node), "--replicas", strings.Join(s.addresses(), ",")}
	return startProcess(s.env.starter, s.env.dir, fmt.Sprintf("agent-%d", node), s.binary, 0, nil, args...)
}

// addresses returns the addresses on which the replicas serve requests.
func (s *listService) addresses() (out []string) {
	for _, r := range s.replicas {
		out = append(out, r.listen)
	}
	return out
}

// follow watches the list from a generation on and calls handle for each message, with nil for a heartbeat.
// It begins with addrs[first%len(addrs)] and continues at the next address when a watch ends. follow returns
// when ctx ends, when handle returns false or when a line is malformed. It does not check the order of
// generations: the caller counts rollbacks.
func (s *listService) follow(ctx context.Context, addrs []string, first int, from uint64, handle func(m *listMessage) bool) {
	for i := first; ; i++ {
		if !s.followOne(ctx, addrs[i%len(addrs)], &from, handle) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(serviceRetryPause + time.Duration(rand.Int64N(int64(serviceRetryPause)))):
		}
	}
}

// followOne handles the messages of one watch until the watch ends or is idle for watchIdleTimeout. It
// stores the last generation in *from. It returns false if handle returned false, or if a line was malformed,
// which aborts the run.
func (s *listService) followOne(ctx context.Context, addr string, from *uint64, handle func(m *listMessage) bool) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := time.AfterFunc(watchIdleTimeout, cancel)
	defer idle.Stop()
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
		idle.Reset(watchIdleTimeout)
		if heartbeat {
			if !handle(nil) {
				return false
			}
			continue
		}
		*from = m.Generation
		if !handle(toListMessage(m)) {
			return false
		}
	}
}

// toListMessage converts a message of the list service to the testbed's type.
func toListMessage(m discovery.Message) *listMessage {
	var entries []Entry
	if m.Entries != nil {
		entries = make([]Entry, 0, len(m.Entries)) // encodes an empty list as [], not as null
	}
	for _, e := range m.Entries {
		entries = append(entries, Entry{
			InstanceID: e.ID, HostPort: e.Addr, Zone: e.Zone, MachineType: e.MachineType, Cell: e.Cell,
			Lifecycle: lifecycle(e.Lifecycle), Weight: e.Weight, StartedAtMs: e.StartedAtMs,
		})
	}
	return &listMessage{Generation: m.Generation, Reset: m.Snapshot, Instances: entries}
}

// stop stops the replicas and waits for their end.
func (s *listService) stop() {
	var stops sync.WaitGroup
	for _, r := range s.replicas {
		if r.proc != nil {
			stops.Go(func() { r.proc.stop(stopTimeout) })
		}
	}
	stops.Wait()
	s.client.CloseIdleConnections()
}
