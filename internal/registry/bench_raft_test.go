package registry

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Measures the rate of committed writes, with fsync. Each client sends its next write after the response to
// the previous one.
func BenchmarkWrites(b *testing.B) {
	for _, n := range []int{1, 3, 5} {
		all := startService(b, n)
		leader := leaderOf(b, all)
		for _, clients := range []int{1, 64} {
			b.Run(fmt.Sprintf("replicas=%d/clients=%d", n, clients), func(b *testing.B) {
				benchmarkWrites(b, leader.listen, clients)
			})
		}
		for _, m := range all {
			m.kill()
		}
	}
}

func benchmarkWrites(b *testing.B, addr string, clients int) {
	var next atomic.Int64
	var writing sync.WaitGroup
	httpClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}}
	for range clients {
		writing.Go(func() {
			for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
				if err := writeOnce(httpClient, addr, int(i%1000)); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	writing.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "writes/s")
}

// writeOnce registers a new incarnation of an instance. A conflict is accepted, since another client may have
// registered a newer one.
func writeOnce(httpClient *http.Client, addr string, n int) error {
	body := registration(fmt.Sprint("s-", n), n+1, int(time.Now().UnixNano()), 0)
	resp, err := httpClient.Post("http://"+addr+"/registry/instances", "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	if err := errors.Join(err, resp.Body.Close()); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return errors.New(resp.Status)
	}
	return nil
}

// Measures the time from a SIGKILL of the leader to the next acknowledged write, as a multiple of the
// election timeout.
func BenchmarkFailover(b *testing.B) {
	all := startService(b, 3)
	var gaps []time.Duration
	for i := range b.N {
		leader := leaderOf(b, all)
		rest := without(all, leader)
		httpClient := &http.Client{Timeout: time.Second}
		killed := time.Now()
		leader.kill()
		for n := 0; ; n++ {
			if (operation{Register, "s-1", uint64(i + 1)}).run(httpClient, rest[n%2].listen).code == Done {
				break
			}
			if time.Since(killed) > testTimeout {
				b.Fatal("no write acknowledged after the leader was killed")
			}
			time.Sleep(5 * time.Millisecond)
		}
		gaps = append(gaps, time.Since(killed))
		leader.start("")
		waitForSameList(b, all)
	}
	for _, p := range []float64{0.5, 0.99, 1} {
		b.ReportMetric(float64(percentile(gaps, p))/float64(defaultElectionTimeout), fmt.Sprintf("p%g-timeouts", 100*p))
	}
}

// recoveryCase describes the stored state that a replica recovers.
type recoveryCase struct {
	entries  int
	log      int // number of commands
	snapshot bool
}

// Measures the time from the start of a replica until it has recovered its state, by the length of its log
// and the size of its snapshot.
func BenchmarkRecovery(b *testing.B) {
	for _, c := range []recoveryCase{
		{200, 1_000, false},
		{200, 10_000, false},
		{200, 100_000, false},
		{200, 10_000, true},
		{10_000, 10_000, true},
		{100_000, 100_000, true},
	} {
		b.Run(fmt.Sprintf("entries=%d/log=%d/snapshot=%v", c.entries, c.log, c.snapshot), c.run)
	}
}

func (c recoveryCase) run(b *testing.B) {
	b.StopTimer()
	dir := b.TempDir()
	s := startReplica(b, dir, "")
	waitFor(b, "a leader", s.hasTakenOver)
	c.fill(b, s)
	if c.snapshot {
		if err := s.Snapshot(); err != nil {
			b.Fatal(err)
		}
	}
	listen, raftListen, generation := s.Addr(), raftAddr(s), s.Generation()
	for range b.N {
		if err := s.Close(); err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
		s = startReplica(b, dir, "", func(cfg *Config) { cfg.Listen, cfg.Raft = listen, raftListen })
		for s.Generation() < generation {
			time.Sleep(time.Millisecond)
		}
		b.StopTimer()
	}
	if err := s.Close(); err != nil {
		b.Error(err)
	}
}

// fill commits the commands of the case from 256 concurrent clients.
func (c recoveryCase) fill(b *testing.B, s *Server) {
	b.Helper()
	var writing sync.WaitGroup
	var next atomic.Int64
	for range 256 {
		writing.Go(func() {
			for i := int(next.Add(1) - 1); i < c.log; i = int(next.Add(1) - 1) {
				n := i % c.entries
				e := entry(fmt.Sprint("s-", n), 0)
				e.Addr = fmt.Sprintf("127.%d.%d.%d:%d", n/50_000, n/200%250, n%200, 1+n%60_000)
				o, err := s.commit(Command{Kind: Register, Entry: e, Incarnation: uint64(i + 1)})
				if err != nil || o.Code != Done && o.Code != StaleIncarnation {
					b.Errorf("registration of entry %d: outcome %+v, error %v", n, o, err)
				}
			}
		})
	}
	writing.Wait()
}
