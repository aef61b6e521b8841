package registry

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Committed writes, with fsync on, by clients that write one after another.
func BenchmarkWrites(b *testing.B) {
	for _, n := range []int{1, 3, 5} {
		all := startService(b, n)
		leader := leaderOf(b, all)
		for _, clients := range []int{1, 64} {
			b.Run(fmt.Sprintf("replicas=%d/clients=%d", n, clients), func(b *testing.B) {
				var next atomic.Int64
				var work sync.WaitGroup
				hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}}
				for range clients {
					work.Go(func() {
						for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
							id := int(i % 1000)
							resp, err := hc.Post("http://"+leader.listen+"/registry/instances", "application/json",
								strings.NewReader(registration(fmt.Sprint("s-", id), id+1, int(time.Now().UnixNano()), 0)))
							if err != nil {
								b.Error(err)
								return
							}
							io.Copy(io.Discard, resp.Body)
							resp.Body.Close()
							if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
								b.Errorf("status %s", resp.Status)
								return
							}
						}
					})
				}
				work.Wait()
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "writes/s")
			})
		}
		for _, m := range all {
			m.kill()
		}
	}
}

// Time from a leader's SIGKILL to the next write that is acknowledged, as a multiple of the
// election time-out.
func BenchmarkFailover(b *testing.B) {
	all := startService(b, 3)
	var gaps []time.Duration
	for i := range b.N {
		l := leaderOf(b, all)
		rest := slices.DeleteFunc(slices.Clone(all), func(m *testReplica) bool { return m == l })
		hc := &http.Client{Timeout: time.Second}
		killed := time.Now()
		l.kill()
		for n := 0; ; n++ {
			if runOperation(hc, rest[n%2].listen, operation{Register, "s-1", uint64(i + 1)}).code == Done {
				break
			}
			if time.Since(killed) > testTimeout {
				b.Fatal("no leader")
			}
			time.Sleep(5 * time.Millisecond)
		}
		gaps = append(gaps, time.Since(killed))
		l.start("")
		sameLists(b, all)
	}
	for _, p := range []float64{0.5, 0.99, 1} {
		b.ReportMetric(float64(percentile(gaps, p))/float64(defaultElectionTimeout), fmt.Sprintf("p%g-timeouts", 100*p))
	}
}

// Time from a replica's start to its whole state, by the length of its log and by the size of
// its snapshot.
func BenchmarkRecovery(b *testing.B) {
	for _, c := range []struct {
		entries, log int
		snapshot     bool
	}{{200, 1_000, false}, {200, 10_000, false}, {200, 100_000, false}, {200, 10_000, true}, {10_000, 10_000, true}, {100_000, 100_000, true}} {
		b.Run(fmt.Sprintf("entries=%d/log=%d/snapshot=%v", c.entries, c.log, c.snapshot), func(b *testing.B) {
			b.StopTimer()
			dir := b.TempDir()
			s := startReplica(b, dir, "")
			waitFor(b, "a leader", s.hasTakenOver)
			var work sync.WaitGroup
			var next atomic.Int64
			for range 256 {
				work.Go(func() {
					for i := int(next.Add(1) - 1); i < c.log; i = int(next.Add(1) - 1) {
						e := entry(fmt.Sprint("s-", i%c.entries), 0)
						n := i % c.entries
						e.HostPort = fmt.Sprintf("127.%d.%d.%d:%d", n/50_000, n/200%250, n%200, 1+n%60_000)
						if o, err := s.commit(Command{Kind: Register, Entry: e, Incarnation: uint64(i + 1)}); err != nil || o.Code != Done && o.Code != StaleIncarnation {
							b.Error(o, err)
						}
					}
				})
			}
			work.Wait()
			if c.snapshot {
				if err := s.raft.Snapshot().Error(); err != nil {
					b.Fatal(err)
				}
			}
			at, raftAt, generation := s.Addr(), raftAddr(s), s.fsm.generation()
			for range b.N {
				if err := s.Close(); err != nil {
					b.Fatal(err)
				}
				b.StartTimer()
				s = startReplica(b, dir, "", func(cfg *Config) { cfg.Listen, cfg.Raft = at, raftAt })
				for s.fsm.generation() < generation {
					time.Sleep(time.Millisecond)
				}
				b.StopTimer()
			}
			s.Close()
		})
	}
}
