package follower

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// outages has the ways in which discovery can be unreachable. Each function begins an outage and returns a
// function that ends it.
var outages = map[string]func(s *simulation) (end func()){
	"refuses connections": func(s *simulation) func() {
		s.dialErr = errors.New("refused")
		s.resetCalls()
		return func() { s.dialErr = nil }
	},
	"answers no call": func(s *simulation) func() {
		s.silent = true
		return func() {
			s.silenceCalls() // calls of the outage are not answered later either
			s.silent = false
		}
	},
}

// After an outage, a change must reach every node within deliveryLimit plus maxDrainDelay of the time at
// which discovery is reachable again. This must not depend on the duration of the outage or the number of
// failed calls, even if the settings allow longer backoffs.
func TestChangeArrivesInTimeAfterOutage(t *testing.T) {
	for name, begin := range outages {
		for _, pushed := range []bool{true, false} {
			for _, fleet := range []int{1, 30, 350, 1024} {
				for _, duration := range []time.Duration{2 * time.Second, 20 * time.Second, 5 * time.Minute} {
					scenario := fmt.Sprintf("discovery %s for %v, pushed %v, fleet of %d", name, duration, pushed, fleet)
					s := newSim(min(fleet, 30), fleet, pushed)
					s.advance(5500 * time.Millisecond)
					end := begin(s)
					s.advance(duration)
					end()
					s.startDrain()
					reachable := s.now
					s.advance(time.Minute)
					if delay := s.drainDelay(reachable); delay < 0 || delay > deliveryLimit+maxDrainDelay {
						t.Errorf("%s: last node learned of the change %v after the outage, want at most %v",
							scenario, delay, deliveryLimit+maxDrainDelay)
					}
				}
			}
		}
	}
}
