package testbed

import (
	"time"
)

// slack returns the time that the machine recently withheld from the testbed and from a node: the testbed's
// scheduling lag plus the time for which the node was runnable but had no core. Time limits are extended by
// it, so that the result of a run does not depend on other load of the machine. For a number that is not a
// node's, it returns the lag alone.
func (env *environment) slack(node int) time.Duration {
	env.resultMu.Lock()
	lag := env.lag
	env.resultMu.Unlock()
	if node < 0 || node >= len(env.nodes) {
		return lag
	}
	n := env.nodes[node]
	n.mu.Lock()
	cpuWait := n.cpuWait
	n.mu.Unlock()
	return lag + cpuWait
}

// peakSlack returns the largest slack of the run so far.
func (env *environment) peakSlack() time.Duration {
	env.resultMu.Lock()
	defer env.resultMu.Unlock()
	return env.maxSlack
}

// monitorLag measures the testbed's scheduling lag until the run ends.
func (env *environment) monitorLag() {
	for env.measureLag() {
	}
}

// measureLag sleeps for a short interval and updates the lag by the time overslept. The lag decays
// exponentially, so that a peak still counts for some seconds. It returns false if the run has ended.
func (env *environment) measureLag() bool {
	start := time.Now()
	if !env.sleep(lagInterval) {
		return false
	}
	overslept := time.Since(start) - lagInterval
	env.resultMu.Lock()
	defer env.resultMu.Unlock()
	env.lag -= env.lag / 500 // decays to about a third in 5 s
	env.lag = max(env.lag, overslept)
	return true
}

// sampleUsage reads the resource usage of the nodes and updates their peak memory, their CPU wait and the
// run's peak slack. The CPU wait is measured over the last maxSamples samples, which are taken every 500 ms.
func (env *environment) sampleUsage() {
	const maxSamples = 10
	peakMemory := int64(0)
	defer func() {
		env.resultMu.Lock()
		defer env.resultMu.Unlock()
		for sec := int(env.now() / time.Second); len(env.peakMemoryMB) <= sec; {
			env.peakMemoryMB = append(env.peakMemoryMB, 0)
		}
		current := &env.peakMemoryMB[len(env.peakMemoryMB)-1]
		*current = max(*current, float64(peakMemory)/(1<<20))
	}()
	for _, n := range env.nodes {
		p := n.process()
		if p == nil {
			continue
		}
		u := p.usage()
		if u.memory == 0 {
			continue
		}
		n.mu.Lock()
		n.lastUsage = u
		n.peakMemory = max(n.peakMemory, u.memory)
		peakMemory = max(peakMemory, u.memory)
		n.usageSamples = append(n.usageSamples, u)
		if len(n.usageSamples) > maxSamples {
			n.usageSamples = n.usageSamples[1:]
		}
		n.cpuWait = u.cpuWait - n.usageSamples[0].cpuWait
		n.mu.Unlock()
		slack := env.slack(n.number)
		env.resultMu.Lock()
		env.maxSlack = max(env.maxSlack, slack)
		env.resultMu.Unlock()
	}
}
