package testbed

import (
	"time"
)

// slack is what the machine did not give: how long the testbed stood still and a node had no
// core, of late. Time limits are widened by it, so that a verdict does not depend on what
// else the machine does.
func (env *environment) slack(node int) time.Duration {
	env.lagMu.Lock()
	lag := env.lag
	env.lagMu.Unlock()
	if node < 0 || node >= len(env.nodes) {
		return lag
	}
	n := env.nodes[node]
	n.mu.Lock()
	starved := n.starved
	n.mu.Unlock()
	return lag + starved
}

// peakSlack is the most that slack has been in the run.
func (env *environment) peakSlack() time.Duration {
	env.lagMu.Lock()
	defer env.lagMu.Unlock()
	return env.withheld
}

// monitorLag measures how long the testbed stands still. A lag counts for some seconds.
func (env *environment) monitorLag() {
	for env.measureLag() {
	}
}

func (env *environment) measureLag() bool {
	began := time.Now()
	if !env.sleep(lagTick) {
		return false
	}
	late := time.Since(began) - lagTick
	env.lagMu.Lock()
	defer env.lagMu.Unlock()
	env.lag -= env.lag / 500 // falls to a third in five seconds
	env.lag = max(env.lag, late)
	return true
}

// sample reads what the nodes use. What a node was starved of counts for some seconds.
func (env *environment) sample() {
	const kept = 10
	most := int64(0)
	defer func() {
		env.lagMu.Lock()
		defer env.lagMu.Unlock()
		for sec := int(env.now() / time.Second); len(env.memory) <= sec; {
			env.memory = append(env.memory, 0)
		}
		last := &env.memory[len(env.memory)-1]
		*last = max(*last, float64(most)/(1<<20))
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
		most = max(most, u.memory)
		n.usageSamples = append(n.usageSamples, u)
		if len(n.usageSamples) > kept {
			n.usageSamples = n.usageSamples[1:]
		}
		n.starved = u.starved - n.usageSamples[0].starved
		n.mu.Unlock()
		slack := env.slack(n.number)
		env.lagMu.Lock()
		env.withheld = max(env.withheld, slack)
		env.lagMu.Unlock()
	}
}
