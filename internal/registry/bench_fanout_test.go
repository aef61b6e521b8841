package registry

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/procfs"
)

// processUsage returns the CPU time and the resident memory, in bytes, of a process.
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

// registerEntries registers n instances over HTTP at the replica with the given address.
func registerEntries(b *testing.B, addr string, n int) {
	b.Helper()
	for i := range n {
		if status, text := call(b, "POST", "http://"+addr+"/registry/instances", registration(fmt.Sprint("s-", i), i+1, 1, 0)); status != http.StatusOK {
			b.Fatalf("registration: %d %s", status, text)
		}
	}
}

const fanoutEntries = 200

// fanoutBenchmark is a process that serves a list, and a second one with many watches of it.
type fanoutBenchmark struct {
	list        *testReplica
	watchers    *watchers
	watchBytes  float64 // resident memory per watch
	incarnation int     // largest registered incarnation
}

// startPerWatchEncoder starts a [perWatchEncoder] in place of the replica.
func (m *testReplica) startPerWatchEncoder(b *testing.B) {
	b.Helper()
	m.cmd = exec.Command(os.Args[0])
	m.cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%s %d", encoderEnv, m.listen, fanoutEntries))
	if _, err := m.cmd.StdinPipe(); err != nil { // stays open until this process ends
		b.Fatal(err)
	}
	if err := m.cmd.Start(); err != nil {
		b.Fatal(err)
	}
}

// startFanout waits until the list is served and opens the watches.
func startFanout(b *testing.B, list *testReplica) *fanoutBenchmark {
	b.Helper()
	waitFor(b, "the list accepts a watch", func() bool {
		conn, _, err := openWatch(list.listen)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
	pid := list.cmd.Process.Pid
	_, before := processUsage(b, pid)
	w := startWatchers(b, list.listen, watchCount)
	_, after := processUsage(b, pid)
	return &fanoutBenchmark{list: list, watchers: w, watchBytes: (after - before) / watchCount, incarnation: 1}
}

// register registers an incarnation of an instance.
func (f *fanoutBenchmark) register(b *testing.B, n, incarnation int) {
	b.Helper()
	body := registration(fmt.Sprint("s-", n), n+1, incarnation, 0)
	if status, text := call(b, "POST", "http://"+f.list.listen+"/registry/instances", body); status != http.StatusOK {
		b.Errorf("registration: %d %s", status, text)
	}
}

// cpu returns the CPU time of the process that serves the list.
func (f *fanoutBenchmark) cpu(b *testing.B) time.Duration {
	b.Helper()
	cpu, _ := processUsage(b, f.list.cmd.Process.Pid)
	return cpu
}

// measureSingleChanges measures separate changes, each until the last watch has received it.
func (f *fanoutBenchmark) measureSingleChanges(b *testing.B) {
	var cpu time.Duration
	var latency, spread []time.Duration
	for i := range b.N {
		time.Sleep(2 * notifyInterval)
		sent := time.Now().UnixNano()
		before := f.cpu(b)
		f.incarnation++
		f.register(b, i%fanoutEntries, f.incarnation)
		received := f.watchers.next(b)
		first, last := received[1], received[2]
		cpu += f.cpu(b) - before
		latency = append(latency, time.Duration(last-sent))
		spread = append(spread, time.Duration(last-first))
	}
	b.ReportMetric(float64(cpu.Microseconds())/float64(b.N), "cpu-µs/change")
	b.ReportMetric(milliseconds(percentile(latency, 0.5)), "p50-ms")
	b.ReportMetric(milliseconds(percentile(latency, 0.99)), "p99-ms")
	b.ReportMetric(milliseconds(percentile(spread, 0.5)), "first-to-last-ms")
	b.ReportMetric(f.watchBytes, "B/watch")
}

// measureBursts measures bursts of 100 changes from 20 concurrent clients.
func (f *fanoutBenchmark) measureBursts(b *testing.B) {
	const changes, clients = 100, 20
	before := f.cpu(b)
	for range b.N {
		var sending sync.WaitGroup
		var next atomic.Int64
		base := f.incarnation + 1
		f.incarnation += changes
		for range clients {
			sending.Go(func() {
				for i := int(next.Add(1) - 1); i < changes; i = int(next.Add(1) - 1) {
					f.register(b, i, base+i)
				}
			})
		}
		sending.Wait()
		for range changes {
			f.watchers.next(b)
		}
	}
	b.ReportMetric(float64((f.cpu(b)-before).Microseconds())/float64(changes*b.N), "cpu-µs/change")
}

// measureReconnects measures the reconnection of all watches with no generation.
func (f *fanoutBenchmark) measureReconnects(b *testing.B) {
	before := f.cpu(b)
	for range b.N {
		f.watchers.reconnect(b)
		f.watchers.next(b)
	}
	b.ReportMetric(float64((f.cpu(b)-before).Microseconds())/float64(b.N)/watchCount, "cpu-µs/watch")
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1e3 }

// Measures one replica with 200 entries and 10,000 watches (shared) and, for comparison, a [perWatchEncoder]
// (each). An operation is one change until the last watch has received it (one), 100 concurrent changes
// (hundred), or the reconnection of all watches, which then read the full list (whole).
func BenchmarkFanout(b *testing.B) {
	for _, kind := range []string{"shared", "each"} {
		b.Run(kind, func(b *testing.B) {
			list := newTestReplica(b)
			list.watchOpensPerSecond = 1e6
			if kind == "shared" {
				list.start("")
				registerEntries(b, list.listen, fanoutEntries)
			} else {
				list.startPerWatchEncoder(b)
			}
			f := startFanout(b, list)
			b.Run("one", f.measureSingleChanges)
			b.Run("hundred", f.measureBursts)
			b.Run("whole", f.measureReconnects)
		})
	}
}

// Measures only the encoding of one change for 10,000 watches: once for all of them (shared), or once for
// each (each).
func BenchmarkEncoding(b *testing.B) {
	st := NewState(0)
	for n := range fanoutEntries {
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

// All watches of a replica with one core reconnect at once. Measures how long changes take to reach another
// watch that is open already, with the service's limit on opening watches (paced) and without it (unpaced).
func BenchmarkReconnect(b *testing.B) {
	for _, n := range []int{1000, watchCount} {
		for name, opensPerSecond := range map[string]float64{"paced": 0, "unpaced": 1e6} {
			b.Run(fmt.Sprintf("watches=%d/%s", n, name), func(b *testing.B) { benchmarkReconnect(b, n, opensPerSecond) })
		}
	}
}

func benchmarkReconnect(b *testing.B, n int, opensPerSecond float64) {
	m := newTestReplica(b)
	m.watchOpensPerSecond, m.env = opensPerSecond, []string{"GOMAXPROCS=1"}
	m.start("")
	registerEntries(b, m.listen, fanoutEntries)
	w := startWatchers(b, m.listen, n)
	open := startWatch(b, m.listen, 0)
	open.next(b)
	incarnation, total := 1, time.Duration(0)
	var latency []time.Duration
	for range b.N {
		began := time.Now()
		w.reconnect(b)
		reconnected := make(chan struct{})
		go func() {
			defer close(reconnected)
			w.next(b)
		}()
		for done := false; !done; {
			incarnation++
			sent := time.Now()
			call(b, "POST", "http://"+m.listen+"/registry/instances", registration("s-1", 2, incarnation, 0))
			open.next(b)
			latency = append(latency, time.Since(sent))
			select {
			case <-reconnected:
				done = true
			default:
			}
		}
		total += time.Since(began)
	}
	b.ReportMetric(milliseconds(percentile(latency, 0.5)), "p50-ms")
	b.ReportMetric(milliseconds(percentile(latency, 1)), "worst-ms")
	b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "all-back-ms")
}
