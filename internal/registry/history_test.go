package registry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// write is one operation of a history.
type operation struct {
	kind string
	id   string
	inc  uint64
}

// ending is how it came out; unknown where the client can't tell whether it was done.
type result struct {
	code       Code
	generation uint64
	unknown    bool
	seen       instanceModel // of a read
}

// life1 is what the list knows of one instance, as the page of its writes promises.
type instanceModel struct {
	here, drained bool
	inc, gone     uint64
}

// readKind is an operation that reads one instance at the leader.
const showKind = "read"

// promised is the sequential specification of the writes of one instance. It is written apart
// from the state machine.
func applyModel(s instanceModel, w operation) (instanceModel, Code) {
	if w.kind == Register {
		switch {
		case w.inc <= s.gone || s.here && w.inc < s.inc:
			return s, StaleIncarnation
		case s.here && w.inc == s.inc:
			return s, Unchanged
		}
		return instanceModel{here: true, inc: w.inc, gone: s.gone}, Done
	}
	switch {
	case !s.here && w.inc <= s.gone:
		return s, Unchanged
	case !s.here || w.inc > s.inc:
		return s, NotFound
	case w.inc < s.inc:
		return s, StaleIncarnation
	case w.kind == Drain && s.drained:
		return s, Unchanged
	case w.kind == Drain:
		s.drained = true
		return s, Done
	}
	return instanceModel{gone: s.inc}, Done
}

var linearizabilityModel = porcupine.Model{
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, o := range h {
			id := o.Input.(operation).id
			by[id] = append(by[id], o)
		}
		var out [][]porcupine.Operation
		for _, part := range by {
			out = append(out, part)
		}
		return out
	},
	Init: func() any { return instanceModel{} },
	Step: func(state, input, output any) (bool, any) {
		end := output.(result)
		if now := state.(instanceModel); input.(operation).kind == showKind {
			return end.unknown || end.seen == instanceModel{here: now.here, drained: now.drained, inc: now.inc}, now
		}
		next, code := applyModel(state.(instanceModel), input.(operation))
		return end.unknown || end.code == code, next
	},
	Equal: func(a, b any) bool { return a == b },
}

// history runs clients against the replicas until stop and returns what they saw.
func runClients(t *testing.T, all []*testReplica, stop <-chan struct{}) []porcupine.Operation {
	t.Helper()
	began := time.Now()
	var mu sync.Mutex
	var ops []porcupine.Operation
	var work sync.WaitGroup
	const never = int64(1 << 62)
	for client := range 6 {
		work.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(client), 7))
			hc := &http.Client{Timeout: 4 * time.Second}
			for {
				select {
				case <-stop:
					return
				default:
				}
				w := operation{kind: []string{Register, Register, Drain, Remove, showKind, showKind}[rng.IntN(6)], id: fmt.Sprint("s-", rng.IntN(8)), inc: 1 + rng.Uint64N(1000)/100 + uint64(time.Since(began)/(500*time.Millisecond))}
				op := porcupine.Operation{ClientId: client, Input: w, Call: time.Since(began).Nanoseconds()}
				end := runOperation(hc, all[rng.IntN(len(all))].listen, w)
				op.Output, op.Return = end, time.Since(began).Nanoseconds()
				if end.unknown {
					op.Return = never // it may be done at any time yet
				}
				if end.code != Unavailable && (w.kind != showKind || !end.unknown) {
					mu.Lock()
					ops = append(ops, op)
					mu.Unlock()
				}
				if end.unknown || end.code == Unavailable {
					time.Sleep(50 * time.Millisecond) // not to flood a service that has no leader
				}
			}
		})
	}
	work.Wait()
	return ops
}

// send carries out one write, once.
func runOperation(hc *http.Client, addr string, w operation) result {
	base := "http://" + addr + "/registry/instances"
	var req *http.Request
	var err error
	switch w.kind {
	case Register:
		var n int
		fmt.Sscanf(w.id, "s-%d", &n)
		req, err = http.NewRequest("POST", base, bytes.NewReader([]byte(registration(w.id, 100+n, int(w.inc), 0))))
	case showKind:
		req, err = http.NewRequest("GET", base+"/"+w.id, nil)
	case Drain:
		req, err = http.NewRequest("POST", fmt.Sprintf("%s/%s/drain?incarnation=%d", base, w.id, w.inc), nil)
	default:
		req, err = http.NewRequest("DELETE", fmt.Sprintf("%s/%s?incarnation=%d", base, w.id, w.inc), nil)
	}
	if err != nil {
		panic(err)
	}
	resp, err := hc.Do(req)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return result{code: Unavailable}
	}
	if err != nil {
		return result{unknown: true}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	var o Outcome
	if err != nil || json.Unmarshal(text, &o) != nil || o.Code == OutcomeUnknown {
		return result{unknown: true}
	}
	if resp.StatusCode == http.StatusTemporaryRedirect {
		return result{code: Unavailable} // in a circle
	}
	if w.kind == showKind && resp.StatusCode == http.StatusOK {
		var st InstanceStatus
		if err := json.Unmarshal(text, &st); err != nil {
			return result{unknown: true}
		}
		return result{code: Unchanged, seen: instanceModel{here: true, drained: st.Lifecycle == Draining, inc: st.Incarnation}}
	}
	return result{code: o.Code, generation: o.Generation}
}

// judge checks a history: it must be one that the promised order of writes could have given,
// no generation may name two changes, and generations must follow the order of time.
func checkHistory(ops []porcupine.Operation) error {
	res := porcupine.CheckOperationsTimeout(linearizabilityModel, ops, testTimeout)
	if res != porcupine.Ok {
		return fmt.Errorf("the history is not linearizable: %v", res)
	}
	used := map[uint64]operation{}
	for i, a := range ops {
		ea := a.Output.(result)
		if ea.code != Done {
			continue
		}
		if w, twice := used[ea.generation]; twice {
			return fmt.Errorf("generation %d is that of %v and of %v", ea.generation, w, a.Input)
		}
		used[ea.generation] = a.Input.(operation)
		for _, b := range ops[i+1:] {
			if eb := b.Output.(result); eb.code == Done && (a.Return < b.Call && ea.generation >= eb.generation || b.Return < a.Call && eb.generation >= ea.generation) {
				return errors.New("generations do not follow the order of time")
			}
		}
	}
	return nil
}

// The judge catches histories that a broken state machine gives.
func TestCheckHistoryCatchesBrokenHistories(t *testing.T) {
	run := func(apply func(*State, Command) Outcome) error {
		s := NewState(0)
		rng := rand.New(rand.NewPCG(1, 2))
		var ops []porcupine.Operation
		for i := range int64(400) {
			w := operation{kind: []string{Register, Register, Drain, Remove}[rng.IntN(4)], id: fmt.Sprint("s-", rng.IntN(3)), inc: 1 + rng.Uint64N(6) + uint64(i/80)}
			c := Command{Kind: w.kind, ID: w.id, Incarnation: w.inc}
			if w.kind == Register {
				var n int
				fmt.Sscanf(w.id, "s-%d", &n)
				c.Entry = entry(w.id, 100+n)
			}
			o := apply(s, c)
			ops = append(ops, porcupine.Operation{Input: w, Output: result{code: o.Code, generation: o.Generation}, Call: 10 * i, Return: 10*i + 5})
		}
		return checkHistory(ops)
	}
	if err := run((*State).Apply); err != nil {
		t.Errorf("the right one: %v", err)
	}
	if run(func(s *State, c Command) Outcome {
		if r := s.records[c.Entry.InstanceID]; c.Kind == Register && r != nil && c.Incarnation < r.Incarnation {
			r.Incarnation = c.Incarnation
			return s.commit(r.Entry)
		}
		return s.Apply(c)
	}) == nil {
		t.Error("an older incarnation accepted was not caught")
	}
	stale := []porcupine.Operation{
		{Input: operation{Register, "s-1", 1}, Output: result{code: Done, generation: 1}, Call: 0, Return: 5},
		{Input: operation{showKind, "s-1", 0}, Output: result{code: NotFound}, Call: 10, Return: 15},
	}
	if checkHistory(stale) == nil {
		t.Error("a read of the past was not caught")
	}
	if run(func(s *State, c Command) Outcome {
		o := s.Apply(c)
		if o.Code == Done && c.Kind == Drain {
			s.changeCount--
			o.Generation--
		}
		return o
	}) == nil {
		t.Error("a generation used twice was not caught")
	}
}
