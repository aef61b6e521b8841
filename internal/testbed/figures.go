package testbed

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// tally contains the totals over the arrivals of a part of a run.
type tally struct {
	requests, attempts, served        int
	rejected, rejectedInQuota, failed int // numbers of attempts
	value, offeredValue               float64
	latency, lateness                 *hdrhistogram.Histogram // in microseconds
	seconds                           map[int]secondTally     // by second of the run
}

// secondTally counts the arrivals that are due in one second of the run.
type secondTally struct{ requests, served int }

// tally returns the totals over the arrivals that are due at or after from and before to.
func (env *environment) tally(from, to time.Duration) *tally {
	t := &tally{latency: newHistogram(), lateness: newHistogram(), seconds: map[int]secondTally{}}
	for i := range env.checker.records {
		if r := &env.checker.records[i]; r.Due >= from && r.Due < to {
			t.add(r, time.Duration(env.scenario.Load.LatencyObjective))
		}
	}
	return t
}

// add adds an arrival to the totals.
func (t *tally) add(r *Record, objective time.Duration) {
	second := t.seconds[int(r.Due/time.Second)]
	second.requests++
	t.requests++
	t.attempts += r.Attempts
	t.rejected += r.Rejected
	t.rejectedInQuota += r.RejectedInQuota
	t.failed += r.Failed
	t.offeredValue += r.OfferedValue
	if r.Attempts > 0 {
		recordDuration(t.lateness, r.Lateness)
	}
	if r.Served {
		t.served++
		second.served++
		recordDuration(t.latency, r.Done-r.Due)
		if r.Done-r.Due <= objective && r.InQuota {
			t.value += r.Value
		}
	}
	t.seconds[int(r.Due/time.Second)] = second
}

// worstSecond returns the lowest share of requests served in any second with arrivals, and 1 if there are
// none.
func (t *tally) worstSecond() float64 {
	worst := 1.0
	for _, s := range t.seconds {
		worst = math.Min(worst, float64(s.served)/float64(s.requests))
	}
	return worst
}

// nodeUsage returns the CPU time of all nodes and the peak resident memory of a node, in bytes, over the
// whole run.
func (env *environment) nodeUsage() (cpu time.Duration, peakMemory int64) {
	for _, n := range env.nodes {
		n.mu.Lock()
		cpu += n.endedCPU + n.lastUsage.cpu
		peakMemory = max(peakMemory, n.peakMemory)
		n.mu.Unlock()
	}
	return cpu, peakMemory
}

// ratio returns part divided by total. A total of 0 counts as 1, so that 0 of 0 results in 0.
func ratio(part float64, total int) float64 { return part / math.Max(float64(total), 1) }

// figures computes figures over the arrivals that are due at or after from and before to. The figures that
// are not computed by tally cover the whole run. The caller adds the figures of figureNames that are only
// known at the end of the run.
func (env *environment) figures(from, to time.Duration) map[string]float64 {
	t := env.tally(from, to)
	cpu, peakMemory := env.nodeUsage()
	violations := 0
	for _, n := range env.checker.violationCount {
		violations += n
	}
	attempts := 0
	for i := range env.checker.records {
		attempts += env.checker.records[i].Attempts
	}
	env.udp.mu.Lock()
	datagrams := env.udp.counts
	env.udp.mu.Unlock()
	units := env.checker.unitsInQuota + env.checker.unitsOverQuota
	return map[string]float64{
		"goodput":        t.value / math.Max(t.offeredValue, 1e-9),
		"served":         ratio(float64(t.served), t.requests),
		"refused":        ratio(float64(t.rejected), t.attempts),
		"refused_room":   ratio(float64(t.rejectedInQuota), t.attempts),
		"failed":         ratio(float64(t.failed), t.attempts),
		"beyond_quota":   env.checker.unitsOverQuota / math.Max(units, 1),
		"answers":        float64(t.served + t.rejected + t.failed),
		"violations":     float64(violations),
		"crashes":        float64(env.crashes.Load()),
		"p50_ms":         quantile(t.latency, 50).Seconds() * 1000,
		"p99_ms":         quantile(t.latency, 99).Seconds() * 1000,
		"lateness_ms":    quantile(t.lateness, 99).Seconds() * 1000,
		"datagrams_lost": ratio(float64(datagrams.lost+datagrams.refused), datagrams.sent),
		"connections":    ratio(float64(env.connections.Load()), attempts),
		"memory_mb":      float64(peakMemory) / (1 << 20),
		"cpu_us":         ratio(float64(cpu.Microseconds()), attempts),
		"servers_fell":   float64(env.overloadFailures.Load()),
		"worst_second":   t.worstSecond(),
	}
}
