package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// operation is an input of a history.
type operation struct {
	kind string
	id   string
	inc  uint64
}

// result is the output of an operation; unknown where the client can't tell whether it was carried out.
type result struct {
	code       Code
	generation uint64
	unknown    bool
	seen       instanceModel // of showKind
}

// instanceModel is the state of one instance in the model.
type instanceModel struct {
	here, drained bool
	inc, gone     uint64
}

// showKind is an operation that reads one instance at the leader.
const showKind = "read"

// applyModel is the sequential specification of the writes of one instance. It shares nothing with the state machine.
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
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byInstance := map[string][]porcupine.Operation{}
		for _, o := range history {
			id := o.Input.(operation).id
			byInstance[id] = append(byInstance[id], o)
		}
		return slices.Collect(maps.Values(byInstance))
	},
	Init: func() any { return instanceModel{} },
	Step: func(state, input, output any) (bool, any) {
		before, op, res := state.(instanceModel), input.(operation), output.(result)
		if op.kind == showKind {
			return res.unknown || res.seen == instanceModel{here: before.here, drained: before.drained, inc: before.inc}, before
		}
		after, code := applyModel(before, op)
		return res.unknown || res.code == code, after
	},
	Equal: func(a, b any) bool { return a == b },
}

// Settings of the clients of a history.
const (
	clientCount      = 6
	clientTimeout    = 4 * time.Second
	clientPause      = 50 * time.Millisecond // after a request that failed, not to flood a service without a leader
	incarnationEvery = 500 * time.Millisecond
	neverReturned    = int64(1 << 62) // the return time of an operation that may be carried out at any time yet
)

// recorder collects the operations of concurrent clients.
type recorder struct {
	start      time.Time
	mu         sync.Mutex
	operations []porcupine.Operation
}

func (r *recorder) now() int64 { return time.Since(r.start).Nanoseconds() }

func (r *recorder) add(o porcupine.Operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, o)
}

// runClients runs clients against the replicas until ctx ends and returns what they saw.
func runClients(ctx context.Context, all []*testReplica) []porcupine.Operation {
	rec := &recorder{start: time.Now()}
	var clients sync.WaitGroup
	for client := range clientCount {
		clients.Go(func() { rec.runClient(ctx, client, all) })
	}
	clients.Wait()
	return rec.operations
}

// runClient sends random operations one after another until ctx ends.
func (r *recorder) runClient(ctx context.Context, client int, all []*testReplica) {
	rng := rand.New(rand.NewPCG(uint64(client), 7))
	httpClient := &http.Client{Timeout: clientTimeout}
	for ctx.Err() == nil {
		op := randomOperation(rng, time.Since(r.start))
		recorded := porcupine.Operation{ClientId: client, Input: op, Call: r.now()}
		res := op.run(httpClient, all[rng.IntN(len(all))].listen)
		recorded.Output, recorded.Return = res, r.now()
		if res.unknown {
			recorded.Return = neverReturned
		}
		notDone := res.code == Unavailable || op.kind == showKind && res.unknown
		if !notDone {
			r.add(recorded)
		}
		if res.unknown || res.code == Unavailable {
			time.Sleep(clientPause)
		}
	}
}

// randomOperation draws from few instances and from incarnations that grow with time.
func randomOperation(rng *rand.Rand, elapsed time.Duration) operation {
	kinds := []string{Register, Register, Drain, Remove, showKind, showKind}
	return operation{
		kind: kinds[rng.IntN(len(kinds))],
		id:   fmt.Sprint("s-", rng.IntN(8)),
		inc:  1 + rng.Uint64N(1000)/100 + uint64(elapsed/incarnationEvery),
	}
}

// port is the port that an operation registers its instance with.
func (op operation) port() int {
	number, err := strconv.Atoi(strings.TrimPrefix(op.id, "s-"))
	if err != nil {
		panic(err)
	}
	return 100 + number
}

// request returns the HTTP request of an operation.
func (op operation) request(addr string) *http.Request {
	url := "http://" + addr + "/registry/instances"
	method, body := http.MethodPost, ""
	switch op.kind {
	case Register:
		body = registration(op.id, op.port(), int(op.inc), 0)
	case showKind:
		method, url = http.MethodGet, url+"/"+op.id
	case Drain:
		url = fmt.Sprintf("%s/%s/drain?incarnation=%d", url, op.id, op.inc)
	default:
		method, url = http.MethodDelete, fmt.Sprintf("%s/%s?incarnation=%d", url, op.id, op.inc)
	}
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	return req
}

// run carries out an operation, once.
func (op operation) run(httpClient *http.Client, addr string) result {
	resp, err := httpClient.Do(op.request(addr))
	if errors.Is(err, syscall.ECONNREFUSED) {
		return result{code: Unavailable}
	}
	if err != nil {
		return result{unknown: true}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return result{unknown: true}
	}
	if op.kind == showKind && resp.StatusCode == http.StatusOK {
		return shownResult(text)
	}
	var o Outcome
	switch err := json.Unmarshal(text, &o); {
	case err != nil || o.Code == OutcomeUnknown:
		return result{unknown: true}
	case resp.StatusCode == http.StatusTemporaryRedirect:
		return result{code: Unavailable} // in a circle
	}
	return result{code: o.Code, generation: o.Generation}
}

// shownResult is the result of reading an instance that is registered.
func shownResult(text []byte) result {
	var status InstanceStatus
	if err := json.Unmarshal(text, &status); err != nil {
		return result{unknown: true}
	}
	seen := instanceModel{here: true, drained: status.Lifecycle == Draining, inc: status.Incarnation}
	return result{code: Unchanged, seen: seen}
}

// Faults of a history, as [checkHistory] finds them.
var (
	errNotLinearizable     = errors.New("the history is not linearizable")
	errGenerationUsedTwice = errors.New("a generation is that of two changes")
	errGenerationOrder     = errors.New("generations do not follow the order of time")
)

// checkHistory checks that the model could have given a history, that no generation identifies two changes, and that
// generations follow the order of time.
func checkHistory(operations []porcupine.Operation) error {
	if res := porcupine.CheckOperationsTimeout(linearizabilityModel, operations, testTimeout); res != porcupine.Ok {
		return fmt.Errorf("%w: %v", errNotLinearizable, res)
	}
	changes := slices.DeleteFunc(slices.Clone(operations), func(o porcupine.Operation) bool { return o.Output.(result).code != Done })
	byGeneration := map[uint64]operation{}
	for i, a := range changes {
		generation := a.Output.(result).generation
		if other, twice := byGeneration[generation]; twice {
			return fmt.Errorf("%w: %d of %v and of %v", errGenerationUsedTwice, generation, other, a.Input)
		}
		byGeneration[generation] = a.Input.(operation)
		for _, b := range changes[i+1:] {
			if !inOrder(a, b) || !inOrder(b, a) {
				return errGenerationOrder
			}
		}
	}
	return nil
}

// inOrder reports whether a has the smaller generation, if it returned before b was called.
func inOrder(a, b porcupine.Operation) bool {
	return a.Return >= b.Call || a.Output.(result).generation < b.Output.(result).generation
}

// simulatedHistory is the history of one client of a state machine.
func simulatedHistory(apply func(*State, Command) Outcome) []porcupine.Operation {
	s := NewState(0)
	rng := rand.New(rand.NewPCG(1, 2))
	kinds := []string{Register, Register, Drain, Remove}
	var operations []porcupine.Operation
	for i := range int64(400) {
		op := operation{kind: kinds[rng.IntN(4)], id: fmt.Sprint("s-", rng.IntN(3)), inc: 1 + rng.Uint64N(6) + uint64(i/80)}
		c := Command{Kind: op.kind, ID: op.id, Incarnation: op.inc}
		if op.kind == Register {
			c.Entry = entry(op.id, op.port())
		}
		o := apply(s, c)
		res := result{code: o.Code, generation: o.Generation}
		operations = append(operations, porcupine.Operation{Input: op, Output: res, Call: 10 * i, Return: 10*i + 5})
	}
	return operations
}

// The checker accepts the history of the state machine and rejects those of broken ones.
func TestCheckHistoryCatchesBrokenHistories(t *testing.T) {
	if err := checkHistory(simulatedHistory((*State).Apply)); err != nil {
		t.Errorf("the right one: %v", err)
	}
	acceptOlder := func(s *State, c Command) Outcome {
		if r := s.records[c.Entry.InstanceID]; c.Kind == Register && r != nil && c.Incarnation < r.Incarnation {
			r.Incarnation = c.Incarnation
			return s.commit(r.Entry)
		}
		return s.Apply(c)
	}
	reuseGeneration := func(s *State, c Command) Outcome {
		o := s.Apply(c)
		if o.Code == Done && c.Kind == Drain {
			s.changeCount--
			o.Generation--
		}
		return o
	}
	staleRead := []porcupine.Operation{
		{Input: operation{Register, "s-1", 1}, Output: result{code: Done, generation: 1}, Call: 0, Return: 5},
		{Input: operation{showKind, "s-1", 0}, Output: result{code: NotFound}, Call: 10, Return: 15},
	}
	for name, history := range map[string][]porcupine.Operation{
		"an older incarnation accepted": simulatedHistory(acceptOlder),
		"a generation used twice":       simulatedHistory(reuseGeneration),
		"a read of the past":            staleRead,
	} {
		if checkHistory(history) == nil {
			t.Errorf("%s was not caught", name)
		}
	}
}
