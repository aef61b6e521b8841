package registry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"os/exec"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/procfs"
)

// Names of the variables that make the test binary another process of a benchmark.
const (
	watchersEnv = "OPALHOOK_REGISTRY_WATCHERS" // "ADDRESS COUNT": many watches of one replica
	encoderEnv  = "OPALHOOK_REGISTRY_ENCODER"  // "ADDRESS ENTRIES": a list that encodes each change for each watch
)

const watchCount = 10_000

// runWatchers opens watches and says when the last of them has had each generation, in Unix
// nanoseconds. A line on standard input makes all of them come again from nothing; its end is
// theirs.
func runWatchers(text string) error {
	addr, number, _ := strings.Cut(text, " ")
	n, err := strconv.Atoi(number)
	if err != nil {
		return fmt.Errorf("watchers: %w", err)
	}
	type heard struct {
		generation, at int64
		whole          bool // the first line of a watch
	}
	all := make(chan heard, n)
	commands := bufio.NewScanner(os.Stdin)
	for {
		var conns []net.Conn
		var mu sync.Mutex
		var work sync.WaitGroup
		for range n {
			work.Go(func() {
				for {
					c, lines, err := openWatch(addr)
					if err != nil && strings.Contains(err.Error(), " 503 ") {
						time.Sleep(time.Second + rand.N(2*time.Second)) // as it is advised
						continue
					}
					if err != nil { // the backlog is full
						time.Sleep(100 * time.Millisecond)
						continue
					}
					mu.Lock()
					conns = append(conns, c)
					mu.Unlock()
					go func() {
						for whole := true; ; {
							line, err := lines.ReadSlice('\n')
							at := time.Now().UnixNano()
							if bytes.HasPrefix(line, []byte(`{"generation":`)) {
								digits, _, _ := bytes.Cut(line[len(`{"generation":`):], []byte(","))
								g, _ := strconv.ParseInt(string(digits), 10, 64)
								all <- heard{g, at, whole}
								whole = false
							}
							for errors.Is(err, bufio.ErrBufferFull) {
								_, err = lines.ReadSlice('\n')
							}
							if err != nil {
								return
							}
						}
					}()
					return
				}
			})
		}
		work.Wait()
		// All have had the whole list once the first line of each has come; what follows are changes.
		first, last, count := map[int64]int64{}, map[int64]int64{}, map[int64]int{}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			whole := 0
			for h := range all {
				if h.generation < 0 {
					return
				}
				if h.whole {
					if whole++; whole == n {
						fmt.Println("whole", h.at)
					}
					continue
				}
				if count[h.generation]++; count[h.generation] == 1 {
					first[h.generation] = h.at
				}
				last[h.generation] = max(last[h.generation], h.at)
				if count[h.generation] == n {
					fmt.Println(h.generation, first[h.generation], last[h.generation])
				}
			}
		}()
		if !commands.Scan() {
			return nil
		}
		for _, c := range conns {
			c.Close()
		}
		all <- heard{generation: -1}
		<-ended
		for len(all) > 0 {
			<-all
		}
	}
}

// openWatch opens a watch from nothing and reads past its head.
func openWatch(addr string) (net.Conn, *bufio.Reader, error) {
	c, err := net.DialTimeout("tcp", addr, 10*time.Second)
	if err != nil {
		return nil, nil, err
	}
	if _, err := io.WriteString(c, "GET /registry/instances?watch=1&from=0 HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		c.Close()
		return nil, nil, err
	}
	lines := bufio.NewReaderSize(c, 1024)
	for i := 0; ; i++ {
		line, err := lines.ReadString('\n')
		if err == nil && i == 0 && !strings.Contains(line, " 200 ") {
			err = errors.New(line)
		}
		if err != nil {
			c.Close()
			return nil, nil, err
		}
		if line == "\r\n" {
			return c, bufio.NewReaderSize(httputil.NewChunkedReader(lines), 1024), nil
		}
	}
}

// runEncoder is a list that encodes what each watch gets for that watch, and keeps it in memory
// alone: what the service is measured against.
func runEncoder(text string) error {
	addr, number, _ := strings.Cut(text, " ")
	entries, err := strconv.Atoi(number)
	if err != nil {
		return fmt.Errorf("encoder: %w", err)
	}
	var mu sync.Mutex
	st, more := NewState(0), make(chan struct{})
	apply := func(c Command) Outcome {
		mu.Lock()
		defer mu.Unlock()
		o := st.Apply(c)
		close(more)
		more = make(chan struct{})
		return o
	}
	for n := range entries {
		apply(Command{Kind: Register, Entry: entry(fmt.Sprint("s-", n), n+1), Incarnation: 1})
	}
	m := http.NewServeMux()
	m.HandleFunc("POST /registry/instances", func(w http.ResponseWriter, r *http.Request) {
		var reg Registration
		if decodeBody(w, r, &reg) {
			json.NewEncoder(w).Encode(apply(Command{Kind: Register, Entry: reg.Entry, Incarnation: reg.Incarnation}))
		}
	})
	m.HandleFunc("GET /registry/instances", func(w http.ResponseWriter, r *http.Request) {
		rc, from := http.NewResponseController(w), uint64(0)
		for {
			mu.Lock()
			ms := []message{{Generation: st.Generation(), Reset: true}}
			if from == 0 {
				ms[0].Instances = st.List()
			} else if changes, ok := st.ChangesSince(from); ok {
				ms = nil
				for _, c := range changes {
					ms = append(ms, message{Generation: c.Generation, Instances: c.Entries})
				}
			}
			from = st.Generation()
			wait := more
			mu.Unlock()
			for _, x := range ms {
				text, err := json.Marshal(x)
				if err != nil {
					return
				}
				rc.SetWriteDeadline(time.Now().Add(writeTimeout))
				if _, err := w.Write(append(text, '\n')); err != nil {
					return
				}
			}
			if rc.Flush() != nil {
				return
			}
			select {
			case <-r.Context().Done():
				return
			case <-wait:
			}
		}
	})
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	go func() { <-ctx.Done(); ln.Close() }()
	err = (&http.Server{Handler: m}).Serve(smallBufferListener{ln})
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// watchers are the watches of one replica, as a process of their own.
type watchers struct {
	in  io.WriteCloser
	out *bufio.Scanner
}

func startWatchers(b *testing.B, addr string, n int) *watchers {
	b.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%s %d", watchersEnv, addr, n))
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
	w := &watchers{in, bufio.NewScanner(out)}
	w.next(b) // all are open
	return w
}

// next is what the watchers say next: numbers, after any word.
func (w *watchers) next(b *testing.B) (n []int64) {
	b.Helper()
	if !w.out.Scan() {
		b.Fatal("the watchers have ended")
	}
	for _, f := range strings.Fields(w.out.Text()) {
		if x, err := strconv.ParseInt(f, 10, 64); err == nil {
			n = append(n, x)
		}
	}
	return n
}

// used is what a process has used: CPU time and resident bytes.
func processUsage(b *testing.B, pid int) (cpu time.Duration, memory float64) {
	b.Helper()
	p, err := procfs.NewProc(pid)
	if err != nil {
		b.Fatal(err)
	}
	st, err := p.Stat()
	if err != nil {
		b.Fatal(err)
	}
	return time.Duration(st.CPUTime() * float64(time.Second)), float64(st.ResidentMemory())
}

func percentile(d []time.Duration, p float64) time.Duration {
	slices.Sort(d)
	return d[min(int(p*float64(len(d))), len(d)-1)]
}

// registerEntries fills the list over HTTP, at a replica that leads.
func registerEntries(b *testing.B, addr string, n int) {
	b.Helper()
	for i := range n {
		if status, text := call(b, "POST", "http://"+addr+"/registry/instances", registration(fmt.Sprint("s-", i), i+1, 1, 0)); status != http.StatusOK {
			b.Fatalf("%d %s", status, text)
		}
	}
}

// 200 entries and 10,000 watches of one replica. An operation is one change that has reached
// the last watch (one), 100 changes sent together (hundred), or all watches opened anew (whole).
func BenchmarkFanout(b *testing.B) {
	for _, kind := range []string{"shared", "each"} {
		b.Run(kind, func(b *testing.B) {
			m := newMember(b)
			m.joins = 1e6
			if kind == "shared" {
				m.start("")
				registerEntries(b, m.listen, 200)
			} else {
				m.cmd = exec.Command(os.Args[0])
				m.cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%s %d", encoderEnv, m.listen, 200))
				if _, err := m.cmd.StdinPipe(); err != nil { // open for as long as this process lives
					b.Fatal(err)
				}
				if err := m.cmd.Start(); err != nil {
					b.Fatal(err)
				}
			}
			waitFor(b, "the list", func() bool {
				c, _, err := openWatch(m.listen)
				if err != nil {
					return false
				}
				c.Close()
				return true
			})
			_, before := processUsage(b, m.cmd.Process.Pid)
			w := startWatchers(b, m.listen, watchCount)
			_, after := processUsage(b, m.cmd.Process.Pid)
			inc := 1
			change := func(n int) {
				inc++
				text := registration(fmt.Sprint("s-", n), n+1, inc, 0)
				if status, text := call(b, "POST", "http://"+m.listen+"/registry/instances", text); status != http.StatusOK {
					b.Errorf("%d %s", status, text)
				}
			}
			b.Run("one", func(b *testing.B) {
				var cpu time.Duration
				var late, spread []time.Duration
				for i := range b.N {
					time.Sleep(2 * notifyInterval) // changes that come alone
					sent := time.Now().UnixNano()
					was, _ := processUsage(b, m.cmd.Process.Pid)
					change(i % 200)
					x := w.next(b)
					is, _ := processUsage(b, m.cmd.Process.Pid)
					cpu += is - was
					late, spread = append(late, time.Duration(x[2]-sent)), append(spread, time.Duration(x[2]-x[1]))
				}
				b.ReportMetric(float64(cpu.Microseconds())/float64(b.N), "cpu-µs/change")
				b.ReportMetric(float64(percentile(late, 0.5).Microseconds())/1e3, "p50-ms")
				b.ReportMetric(float64(percentile(late, 0.99).Microseconds())/1e3, "p99-ms")
				b.ReportMetric(float64(percentile(spread, 0.5).Microseconds())/1e3, "first-to-last-ms")
				b.ReportMetric((after-before)/watchCount, "B/watch")
			})
			b.Run("hundred", func(b *testing.B) {
				cpu, _ := processUsage(b, m.cmd.Process.Pid)
				for range b.N {
					var work sync.WaitGroup
					var next atomic.Int64
					base := inc + 1
					inc += 100
					for range 20 {
						work.Go(func() {
							for i := int(next.Add(1) - 1); i < 100; i = int(next.Add(1) - 1) {
								call(b, "POST", "http://"+m.listen+"/registry/instances", registration(fmt.Sprint("s-", i), i+1, base+i, 0))
							}
						})
					}
					work.Wait()
					for range 100 {
						w.next(b)
					}
				}
				end, _ := processUsage(b, m.cmd.Process.Pid)
				b.ReportMetric(float64((end-cpu).Microseconds())/float64(100*b.N), "cpu-µs/change")
			})
			b.Run("whole", func(b *testing.B) {
				cpu, _ := processUsage(b, m.cmd.Process.Pid)
				for range b.N {
					fmt.Fprintln(w.in)
					w.next(b)
				}
				end, _ := processUsage(b, m.cmd.Process.Pid)
				b.ReportMetric(float64((end-cpu).Microseconds())/float64(b.N)/watchCount, "cpu-µs/watch")
			})
		})
	}
}

// Encoding alone: what one change costs 10,000 watches.
func BenchmarkEncoding(b *testing.B) {
	st := NewState(0)
	for n := range 200 {
		st.Apply(Command{Kind: Register, Entry: entry(fmt.Sprint("s-", n), n+1), Incarnation: 1})
	}
	change := st.changes[0]
	b.Run("shared", func(b *testing.B) {
		for b.Loop() {
			encodeChange(change)
		}
	})
	b.Run("each", func(b *testing.B) {
		for b.Loop() {
			for range watchCount {
				encodeChange(change)
			}
		}
	})
}

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

// Watches that come back at once to a replica with one core, beside a watch that is open
// already: how late that one is told of changes, with the pace of the service and without one.
func BenchmarkReconnect(b *testing.B) {
	for _, n := range []int{1000, watchCount} {
		for name, joins := range map[string]float64{"paced": 0, "unpaced": 1e6} {
			b.Run(fmt.Sprintf("watches=%d/%s", n, name), func(b *testing.B) { benchmarkReconnect(b, n, joins) })
		}
	}
}

func benchmarkReconnect(b *testing.B, n int, joins float64) {
	m := newMember(b)
	m.joins, m.env = joins, []string{"GOMAXPROCS=1"}
	m.start("")
	registerEntries(b, m.listen, 200)
	w := startWatchers(b, m.listen, n)
	open := startWatch(b, m.listen, 0)
	open.next(b)
	inc, all := 1, time.Duration(0)
	var late []time.Duration
	for range b.N {
		began := time.Now()
		fmt.Fprintln(w.in)
		back := make(chan struct{})
		go func() {
			defer close(back)
			w.next(b)
		}()
		for done := false; !done; {
			inc++
			sent := time.Now()
			call(b, "POST", "http://"+m.listen+"/registry/instances", registration("s-1", 2, inc, 0))
			open.next(b)
			late = append(late, time.Since(sent))
			select {
			case <-back:
				done = true
			default:
			}
		}
		all += time.Since(began)
	}
	b.ReportMetric(float64(percentile(late, 0.5).Microseconds())/1e3, "p50-ms")
	b.ReportMetric(float64(percentile(late, 1).Microseconds())/1e3, "worst-ms")
	b.ReportMetric(float64(all.Milliseconds())/float64(b.N), "all-back-ms")
}

// What the leader looks at after each change of a list of 200,000 leases: the lease that runs out
// first, by the queue and, as a measure, by a scan of all.
func BenchmarkNextLease(b *testing.B) {
	l := NewLeases(0, nil, defaultSelfPreservation)
	for n := range planEntries {
		l.Grant(time.Duration(n)*time.Microsecond, Lease{InstanceRef{numberedEntry(n).InstanceID, 1}, 10 * time.Second})
	}
	b.Run("queue", func(b *testing.B) {
		for b.Loop() {
			l.NextDue(time.Second)
		}
	})
	b.Run("scan", func(b *testing.B) {
		for b.Loop() {
			first := time.Duration(-1)
			for _, h := range l.entries {
				if !h.expiring && (first < 0 || h.expiresAt < first) {
					first = h.expiresAt
				}
			}
		}
	})
}
