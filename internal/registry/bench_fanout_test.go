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
