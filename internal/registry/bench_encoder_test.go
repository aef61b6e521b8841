package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// naiveList is a list that encodes what each watch gets for that watch, and keeps it in memory alone: what the service
// is measured against.
type naiveList struct {
	mu      sync.Mutex
	state   *State
	updated chan struct{} // closed at the next change
}

// runEncoder serves a naive list until the process is told to end.
func runEncoder(text string) error {
	addr, number, _ := strings.Cut(text, " ")
	entries, err := strconv.Atoi(number)
	if err != nil {
		return fmt.Errorf("encoder: %w", err)
	}
	list := &naiveList{state: NewState(0), updated: make(chan struct{})}
	for n := range entries {
		list.apply(Command{Kind: Register, Entry: entry(fmt.Sprint("s-", n), n+1), Incarnation: 1})
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /registry/instances", list.handleRegister)
	mux.HandleFunc("GET /registry/instances", list.handleWatch)
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	server := &http.Server{Handler: mux}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })() // the process ends
	if err := server.Serve(smallBufferListener{listener}); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (l *naiveList) apply(c Command) Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.state.Apply(c)
	close(l.updated)
	l.updated = make(chan struct{})
	return o
}

// messagesSince returns what a watch at a generation gets, the generation after it, and the signal of the next change.
func (l *naiveList) messagesSince(from uint64) (messages []message, generation uint64, updated chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	generation = l.state.Generation()
	if from == 0 {
		return []message{{Generation: generation, Reset: true, Instances: l.state.List()}}, generation, l.updated
	}
	changes, ok := l.state.ChangesSince(from)
	if !ok {
		return []message{{Generation: generation, Reset: true}}, generation, l.updated
	}
	for _, c := range changes {
		messages = append(messages, message{Generation: c.Generation, Instances: c.Entries})
	}
	return messages, generation, l.updated
}

func (l *naiveList) handleRegister(w http.ResponseWriter, r *http.Request) {
	var registration Registration
	if decodeBody(w, r, &registration) {
		encodeTo(w, l.apply(Command{Kind: Register, Entry: registration.Entry, Incarnation: registration.Incarnation}))
	}
}

func (l *naiveList) handleWatch(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	for from := uint64(0); ; {
		messages, generation, updated := l.messagesSince(from)
		from = generation
		for _, m := range messages {
			text, err := json.Marshal(m)
			if err != nil {
				return
			}
			if controller.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
				return
			}
			if _, err := w.Write(append(text, '\n')); err != nil {
				return
			}
		}
		if controller.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-updated:
		}
	}
}
