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

// perWatchEncoder is a list in memory that encodes each message again for each watch. The benchmarks compare
// the service with it.
type perWatchEncoder struct {
	mu      sync.Mutex
	state   *State
	updated chan struct{} // closed at the next change
}

// runEncoder serves a perWatchEncoder until the process gets SIGTERM. text is the value of encoderEnv.
func runEncoder(text string) error {
	addr, number, _ := strings.Cut(text, " ")
	entries, err := strconv.Atoi(number)
	if err != nil {
		return fmt.Errorf("encoder: %w", err)
	}
	list := &perWatchEncoder{state: NewState(0), updated: make(chan struct{})}
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
	defer context.AfterFunc(ctx, func() { _ = server.Close() })() // the process ends anyway
	if err := server.Serve(smallBufferListener{listener}); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (l *perWatchEncoder) apply(c Command) Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.state.Apply(c)
	close(l.updated)
	l.updated = make(chan struct{})
	return o
}

// messagesSince returns the messages for a watch at a generation, the generation after them, and a channel
// that the next change closes.
func (l *perWatchEncoder) messagesSince(from uint64) (messages []message, generation uint64, updated chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	generation = l.state.Generation()
	if from == 0 {
		return []message{{Generation: generation, Snapshot: true, Entries: l.state.List()}}, generation, l.updated
	}
	changes, ok := l.state.ChangesSince(from)
	if !ok {
		return []message{{Generation: generation, Snapshot: true}}, generation, l.updated
	}
	for _, c := range changes {
		messages = append(messages, message{Generation: c.Generation, Entries: c.Entries})
	}
	return messages, generation, l.updated
}

func (l *perWatchEncoder) handleRegister(w http.ResponseWriter, r *http.Request) {
	var registration Registration
	if decodeBody(w, r, &registration) {
		encodeTo(w, l.apply(Command{Kind: Register, Entry: registration.Entry, Incarnation: registration.Incarnation}))
	}
}

func (l *perWatchEncoder) handleWatch(w http.ResponseWriter, r *http.Request) {
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
