package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"opalhook/internal/registry"
)

// listWriter writes changes to the leader over persistent connections.
type listWriter struct {
	addr string
	http *http.Client
}

func newListWriter(addr string) *listWriter {
	return &listWriter{addr, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: zoneClients}, Timeout: serviceTimeout}}
}

func (w *listWriter) close() { w.http.CloseIdleConnections() }

// drain marks an instance as draining.
func (w *listWriter) drain(ctx context.Context, n int) (generation uint64, err error) {
	return w.send(ctx, http.MethodPost, listEntry(n).ID+"/drain")
}

// remove removes an instance from the list.
func (w *listWriter) remove(ctx context.Context, n int) (generation uint64, err error) {
	return w.send(ctx, http.MethodDelete, listEntry(n).ID)
}

// renew renews the lease of an instance, which does not change the generation of the list.
func (w *listWriter) renew(ctx context.Context, n int) (generation uint64, err error) {
	return w.send(ctx, http.MethodPost, listEntry(n).ID+"/renew")
}

// send sends a change for the first incarnation of an instance and returns the resulting generation. change
// is the path of the change, relative to the path of the instances.
func (w *listWriter) send(ctx context.Context, method, change string) (generation uint64, err error) {
	path := fmt.Sprintf("instances/%s?incarnation=%d", change, firstIncarnation)
	var o registry.Outcome
	httpStatus, err := w.call(ctx, method, path, &o)
	if err != nil {
		return 0, err
	}
	if o.Code != registry.Done {
		return 0, fmt.Errorf("writing %s: got status %s with outcome %s (%s), want outcome %s", change, httpStatus, o.Code, o.Message, registry.Done)
	}
	return o.Generation, nil
}

// status requests the replica's status.
func (w *listWriter) status(ctx context.Context) (status registry.Status, err error) {
	_, err = w.call(ctx, http.MethodGet, "status", &status)
	return status, err
}

// call sends a request, decodes the JSON body of the response and returns its HTTP status.
func (w *listWriter) call(ctx context.Context, method, path string, result any) (status string, err error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+w.addr+"/registry/"+path, nil)
	if err != nil {
		return "", err
	}
	resp, err := w.http.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	if err := json.Unmarshal(text, result); err != nil {
		return "", fmt.Errorf("decoding the response for %s with status %s: %w", path, resp.Status, err)
	}
	return resp.Status, nil
}

// removeZone removes the instances of the lost zone, each with a separate change.
func (w *listWriter) removeZone(ctx context.Context, entries int) error {
	return forEachInZone(ctx, entries, w.remove)
}

// zoneEntries returns the number of entries of the lost zone in a list.
func zoneEntries(entries int) int { return (entries - lostZone + plannedZones - 1) / plannedZones }

// forEachInZone calls write for each instance of the lost zone, by its number, from zoneClients concurrent
// goroutines. It stops at the first error and returns it.
func forEachInZone(ctx context.Context, entries int, write func(context.Context, int) (uint64, error)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	count := zoneEntries(entries)
	var next atomic.Int64
	var wg sync.WaitGroup
	for range zoneClients {
		wg.Go(func() {
			for ctx.Err() == nil {
				n := int(next.Add(1)) - 1
				if n >= count {
					return
				}
				if _, err := write(ctx, n*plannedZones+lostZone); err != nil {
					cancel(err)
				}
			}
		})
	}
	wg.Wait()
	return context.Cause(ctx)
}
