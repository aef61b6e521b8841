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

// listWriter writes to one replica that leads, over connections that stay open.
type listWriter struct {
	addr string
	http *http.Client
}

func newListWriter(addr string) *listWriter {
	return &listWriter{addr, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: zoneWriters}, Timeout: serviceWithin}}
}

func (w *listWriter) close() { w.http.CloseIdleConnections() }

// drain lets an instance finish what it has.
func (w *listWriter) drain(ctx context.Context, n int) (generation uint64, err error) {
	return w.send(ctx, http.MethodPost, listEntry(n).InstanceID+"/drain")
}

// remove takes an instance out of the list.
func (w *listWriter) remove(ctx context.Context, n int) (generation uint64, err error) {
	return w.send(ctx, http.MethodDelete, listEntry(n).InstanceID)
}

// renew renews the lease of an instance. The list stays as it is.
func (w *listWriter) renew(ctx context.Context, n int) (generation uint64, err error) {
	return w.send(ctx, http.MethodPost, listEntry(n).InstanceID+"/renew")
}

// send sends a change of an instance that is as it was at the start.
func (w *listWriter) send(ctx context.Context, method, what string) (generation uint64, err error) {
	path := fmt.Sprintf("instances/%s?incarnation=%d", what, firstIncarnation)
	var o registry.Outcome
	answered, err := w.call(ctx, method, path, &o)
	if err != nil {
		return 0, err
	}
	if o.Code != registry.Done {
		return 0, fmt.Errorf("%s: %s: %s %s", what, answered, o.Code, o.Message)
	}
	return o.Generation, nil
}

// status asks the replica for what it says of itself.
func (w *listWriter) status(ctx context.Context) (status registry.Status, err error) {
	_, err = w.call(ctx, http.MethodGet, "status", &status)
	return status, err
}

// call sends a request and reads its answer, whose HTTP status it returns.
func (w *listWriter) call(ctx context.Context, method, path string, answer any) (status string, err error) {
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
	if err := json.Unmarshal(text, answer); err != nil {
		return "", fmt.Errorf("%s: %s: %w", path, resp.Status, err)
	}
	return resp.Status, nil
}

// removeZone removes the instances of the lost zone.
func (w *listWriter) removeZone(ctx context.Context, entries int) error {
	return eachOfZone(ctx, entries, w.remove)
}

// zoneEntries is how many entries of a list are of the lost zone.
func zoneEntries(entries int) int { return (entries - lostZone + planZones - 1) / planZones }

// eachOfZone writes something of each instance of the lost zone, by writers that go on one after another.
func eachOfZone(ctx context.Context, entries int, write func(context.Context, int) (uint64, error)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	count := zoneEntries(entries)
	var next atomic.Int64
	var work sync.WaitGroup
	for range zoneWriters {
		work.Go(func() {
			for ctx.Err() == nil {
				n := int(next.Add(1)) - 1
				if n >= count {
					return
				}
				if _, err := write(ctx, n*planZones+lostZone); err != nil {
					cancel(err)
				}
			}
		})
	}
	work.Wait()
	return context.Cause(ctx)
}
