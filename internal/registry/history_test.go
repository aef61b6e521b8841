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

// operation is one request of a client in a history.
type operation struct {
	kind        string
	id          string
	incarnation uint64
}

// result is the outcome of an operation. It is unknown if the client cannot tell whether the operation was
// executed.
type result struct {
	code       Code
	generation uint64
	unknown    bool
	seen       instanceModel // instance that a showKind operation returned
}

// instanceModel is the state of one instance in the model.
type instanceModel struct {
	registered, drained             bool
	incarnation, removedIncarnation uint64
}

// showKind is the kind of an operation that reads one instance from the leader.
const showKind = "read"

// applyModel is the sequential specification of writes to one instance. It shares no code with [State].
func applyModel(s instanceModel, w operation) (instanceModel, Code) {
	if w.kind == Register {
		switch {
		case w.incarnation <= s.removedIncarnation || s.registered && w.incarnation < s.incarnation:
			return s, StaleIncarnation
		case s.registered && w.incarnation == s.incarnation:
			return s, Unchanged
		}
		return instanceModel{registered: true, incarnation: w.incarnation, removedIncarnation: s.removedIncarnation}, Done
	}
	switch {
	case !s.registered && w.incarnation <= s.removedIncarnation:
		return s, Unchanged
	case !s.registered || w.incarnation > s.incarnation:
		return s, NotFound
	case w.incarnation < s.incarnation:
		return s, StaleIncarnation
	case w.kind == Drain && s.drained:
		return s, Unchanged
	case w.kind == Drain:
		s.drained = true
		return s, Done
	}
	return instanceModel{removedIncarnation: s.incarnation}, Done
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
			return res.unknown || res.seen == instanceModel{registered: before.registered, drained: before.drained, incarnation: before.incarnation}, before
		}
		after, code := applyModel(before, op)
		return res.unknown || res.code == code, after
	},
	Equal: func(a, b any) bool { return a == b },
}

// Settings of the clients that produce a history.
const (
	clientCount   = 6
	clientTimeout = 4 * time.Second
	// clientBackoff is the delay after a failed request, so that the clients do not flood a service without a
	// leader.
	clientBackoff       = 50 * time.Millisecond
	incarnationInterval = 500 * time.Millisecond
	neverReturned       = int64(1 << 62) // return time of an operation that may still be executed at any time
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

// runClients runs clients against the replicas until ctx ends and returns their operations.
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
		ignored := res.code == Unavailable || op.kind == showKind && res.unknown
		if !ignored {
			r.add(recorded)
		}
		if res.unknown || res.code == Unavailable {
			time.Sleep(clientBackoff)
		}
	}
}

// randomOperation chooses from few instances and from incarnations that grow with time, so that operations
// conflict.
func randomOperation(rng *rand.Rand, elapsed time.Duration) operation {
	kinds := []string{Register, Register, Drain, Remove, showKind, showKind}
	return operation{
		kind:        kinds[rng.IntN(len(kinds))],
		id:          fmt.Sprint("s-", rng.IntN(8)),
		incarnation: 1 + rng.Uint64N(1000)/100 + uint64(elapsed/incarnationInterval),
	}
}

// port returns the port at which an operation registers its instance.
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
		body = registration(op.id, op.port(), int(op.incarnation), 0)
	case showKind:
		method, url = http.MethodGet, url+"/"+op.id
	case Drain:
		url = fmt.Sprintf("%s/%s/drain?incarnation=%d", url, op.id, op.incarnation)
	default:
		method, url = http.MethodDelete, fmt.Sprintf("%s/%s?incarnation=%d", url, op.id, op.incarnation)
	}
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	return req
}

// run sends the request of an operation once and returns its result.
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
		return result{code: Unavailable} // too many redirects between replicas
	}
	return result{code: o.Code, generation: o.Generation}
}

// shownResult returns the result of reading a registered instance.
func shownResult(text []byte) result {
	var status InstanceStatus
	if err := json.Unmarshal(text, &status); err != nil {
		return result{unknown: true}
	}
	seen := instanceModel{registered: true, drained: status.Lifecycle == Draining, incarnation: status.Incarnation}
	return result{code: Unchanged, seen: seen}
}

// Errors of [checkHistory].
var (
	errNotLinearizable     = errors.New("the history is not linearizable")
	errGenerationUsedTwice = errors.New("two changes have the same generation")
	errGenerationOrder     = errors.New("the generations of two consecutive changes do not grow")
)

// checkHistory checks that a history is linearizable, that no two changes have the same generation, and that
// a change has a larger generation than every change that ended before it began.
func checkHistory(operations []porcupine.Operation) error {
	if res := porcupine.CheckOperationsTimeout(linearizabilityModel, operations, testTimeout); res != porcupine.Ok {
		return fmt.Errorf("%w: %v", errNotLinearizable, res)
	}
	changes := slices.DeleteFunc(slices.Clone(operations), func(o porcupine.Operation) bool { return o.Output.(result).code != Done })
	byGeneration := map[uint64]operation{}
	for i, a := range changes {
		generation := a.Output.(result).generation
		if other, twice := byGeneration[generation]; twice {
			return fmt.Errorf("%w: generation %d of %v and of %v", errGenerationUsedTwice, generation, other, a.Input)
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

// inOrder reports whether a has the smaller generation. It is true if a did not end before b began.
func inOrder(a, b porcupine.Operation) bool {
	return a.Return >= b.Call || a.Output.(result).generation < b.Output.(result).generation
}

// simulatedHistory returns the history of one client that calls apply on a state.
func simulatedHistory(apply func(*State, Command) Outcome) []porcupine.Operation {
	s := NewState(0)
	rng := rand.New(rand.NewPCG(1, 2))
	kinds := []string{Register, Register, Drain, Remove}
	var operations []porcupine.Operation
	for i := range int64(400) {
		op := operation{kind: kinds[rng.IntN(4)], id: fmt.Sprint("s-", rng.IntN(3)), incarnation: 1 + rng.Uint64N(6) + uint64(i/80)}
		c := Command{Kind: op.kind, ID: op.id, Incarnation: op.incarnation}
		if op.kind == Register {
			c.Entry = entry(op.id, op.port())
		}
		o := apply(s, c)
		res := result{code: o.Code, generation: o.Generation}
		operations = append(operations, porcupine.Operation{Input: op, Output: res, Call: 10 * i, Return: 10*i + 5})
	}
	return operations
}

// checkHistory must accept the history of the state machine and reject the histories of faulty ones.
func TestCheckHistoryRejectsFaultyHistories(t *testing.T) {
	if err := checkHistory(simulatedHistory((*State).Apply)); err != nil {
		t.Errorf("history of the state machine: %v", err)
	}
	acceptOlder := func(s *State, c Command) Outcome {
		if r := s.records[c.Entry.ID]; c.Kind == Register && r != nil && c.Incarnation < r.Incarnation {
			r.Incarnation = c.Incarnation
			return s.appendChange(r.Entry)
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
		"a read of an older state":      staleRead,
	} {
		if checkHistory(history) == nil {
			t.Errorf("%s: not detected", name)
		}
	}
}
