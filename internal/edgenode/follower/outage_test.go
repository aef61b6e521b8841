package follower

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// outages are the ways in which discovery can't be reached. Each begins one and returns what ends it.
var outages = map[string]func(s *simulation) (end func()){
	"refuses connections": func(s *simulation) func() {
		s.refuse = errors.New("refused")
		s.reset()
		return func() { s.refuse = nil }
	},
	"answers no call": func(s *simulation) func() {
		s.silent = true
		return func() {
			s.silence() // the calls of that time get no answer later either
			s.silent = false
		}
	},
}

// What discovery has, a node has 6 s after discovery had it and could be reached, however many calls have failed
// or were given up before, for however long, and whatever longer pause the settings allow then.
func TestChangeArrivesInTimeAfterFailedCalls(t *testing.T) {
	for name, begin := range outages {
		for _, pushed := range []bool{true, false} {
			for _, fleet := range []int{1, 30, 350, 1024} {
				for _, lasts := range []time.Duration{2 * time.Second, 20 * time.Second, 5 * time.Minute} {
					play := fmt.Sprintf("discovery %s for %v, pushed %v, fleet of %d", name, lasts, pushed, fleet)
					s := newSim(min(fleet, 30), fleet, pushed)
					s.run(5500 * time.Millisecond)
					end := begin(s)
					s.run(lasts)
					end()
					s.drain()
					reached := s.now
					s.run(time.Minute)
					if late := s.latest(reached); late < 0 || late > reportedAfter+inTime {
						t.Errorf("%s: the last node has the change %v after it could be reached", play, late)
					}
				}
			}
		}
	}
}
