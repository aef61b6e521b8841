package registry

import (
	"context"
	"encoding/json"
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

// runEncoder is a list that encodes what each watch gets for that watch, and keeps it in memory
// alone: what the service is measured against.
func runEncoder(text string) error {
	addr, number, _ := strings.Cut(text, " ")
	entries, err := strconv.Atoi(number)
	if err != nil {
		return fmt.Errorf("encoder: %w", err)
	}
	var mu sync.Mutex
	st, more := NewState(0), make(chan struct{})
	apply := func(c Command) Outcome {
		mu.Lock()
		defer mu.Unlock()
		o := st.Apply(c)
		close(more)
		more = make(chan struct{})
		return o
	}
	for n := range entries {
		apply(Command{Kind: Register, Entry: entry(fmt.Sprint("s-", n), n+1), Incarnation: 1})
	}
	m := http.NewServeMux()
	m.HandleFunc("POST /registry/instances", func(w http.ResponseWriter, r *http.Request) {
		var reg Registration
		if decodeBody(w, r, &reg) {
			json.NewEncoder(w).Encode(apply(Command{Kind: Register, Entry: reg.Entry, Incarnation: reg.Incarnation}))
		}
	})
	m.HandleFunc("GET /registry/instances", func(w http.ResponseWriter, r *http.Request) {
		rc, from := http.NewResponseController(w), uint64(0)
		for {
			mu.Lock()
			ms := []message{{Generation: st.Generation(), Reset: true}}
			if from == 0 {
				ms[0].Instances = st.List()
			} else if changes, ok := st.ChangesSince(from); ok {
				ms = nil
				for _, c := range changes {
					ms = append(ms, message{Generation: c.Generation, Instances: c.Entries})
				}
			}
			from = st.Generation()
			wait := more
			mu.Unlock()
			for _, x := range ms {
				text, err := json.Marshal(x)
				if err != nil {
					return
				}
				rc.SetWriteDeadline(time.Now().Add(writeTimeout))
				if _, err := w.Write(append(text, '\n')); err != nil {
					return
				}
			}
			if rc.Flush() != nil {
				return
			}
			select {
			case <-r.Context().Done():
				return
			case <-wait:
			}
		}
	})
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	go func() { <-ctx.Done(); ln.Close() }()
	err = (&http.Server{Handler: m}).Serve(smallBufferListener{ln})
	if ctx.Err() != nil {
		return nil
	}
	return err
}
