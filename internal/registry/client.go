package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
)

// Client calls the replicas of the service. All its requests are safe to repeat: if a replica cannot be
// reached or responds that it is unavailable, a call is retried at the next replica until its context ends. A
// [RejectedError] is final. [Client.Watch] tries each replica once.
type Client struct {
	Replicas []string // HTTP addresses, host:port
}

// callOutcome sends a request and decodes the outcome in the response.
func (c *Client) callOutcome(ctx context.Context, method, path string, body []byte) (Outcome, error) {
	text, err := c.call(ctx, method, path, body)
	if err != nil {
		return Outcome{}, err
	}
	var o Outcome
	if err := json.Unmarshal(text, &o); err != nil {
		return o, fmt.Errorf("decoding the response: %w", err)
	}
	return o, nil
}

// path returns the URL path of the instance followed by suffix. It includes the incarnation as a query
// parameter, unless the incarnation is 0.
func (ref InstanceRef) path(suffix string) string {
	path := "/registry/instances/" + url.PathEscape(ref.ID) + suffix
	if ref.Incarnation > 0 {
		path += "?incarnation=" + strconv.FormatUint(ref.Incarnation, 10)
	}
	return path
}

// Register adds an instance to the list, or replaces an earlier incarnation of it.
func (c *Client) Register(ctx context.Context, r Registration) (Outcome, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return Outcome{}, fmt.Errorf("registration: %w", err)
	}
	return c.callOutcome(ctx, http.MethodPost, "/registry/instances", body)
}

// Renew extends the lease of an incarnation to its full term.
func (c *Client) Renew(ctx context.Context, ref InstanceRef) (Outcome, error) {
	return c.callOutcome(ctx, http.MethodPost, ref.path("/renew"), nil)
}

// Drain marks an instance as draining: it gets no new requests and finishes those in progress. Incarnation 0
// matches any incarnation.
func (c *Client) Drain(ctx context.Context, ref InstanceRef) (Outcome, error) {
	return c.callOutcome(ctx, http.MethodPost, ref.path("/drain"), nil)
}

// Remove removes an instance from the list. Incarnation 0 matches any incarnation.
func (c *Client) Remove(ctx context.Context, ref InstanceRef) (Outcome, error) {
	return c.callOutcome(ctx, http.MethodDelete, ref.path(""), nil)
}

// Show returns the state of one instance. The state includes all writes that were acknowledged before the
// call.
func (c *Client) Show(ctx context.Context, id string) (InstanceStatus, error) {
	text, err := c.call(ctx, http.MethodGet, "/registry/instances/"+url.PathEscape(id), nil)
	if err != nil {
		return InstanceStatus{}, err
	}
	var status InstanceStatus
	if err := json.Unmarshal(text, &status); err != nil {
		return status, fmt.Errorf("decoding the instance: %w", err)
	}
	return status, nil
}

// RemoveReplica removes a replica from the service.
func (c *Client) RemoveReplica(ctx context.Context, id string) (Outcome, error) {
	return c.callOutcome(ctx, http.MethodDelete, "/registry/replicas/"+url.PathEscape(id), nil)
}

// List returns the full list and its generation as one replica has them. The replica may be behind the
// leader.
func (c *Client) List(ctx context.Context) (generation uint64, entries []Entry, err error) {
	text, err := c.call(ctx, http.MethodGet, "/registry/instances", nil)
	if err != nil {
		return 0, nil, err
	}
	var m message
	if err := json.Unmarshal(text, &m); err != nil {
		return 0, nil, fmt.Errorf("decoding the list: %w", err)
	}
	return m.Generation, m.Entries, nil
}

// Status requests the status of each replica, one after another. The results are in the order of Replicas.
// For a replica that does not respond, the error is set and the status is empty. Status waits for such a
// replica until ctx ends, and the requests to the replicas after it then fail, too.
func (c *Client) Status(ctx context.Context) (statuses []Status, errs []error) {
	for _, replica := range c.Replicas {
		status, err := replicaStatus(ctx, replica)
		statuses, errs = append(statuses, status), append(errs, err)
	}
	return statuses, errs
}

// replicaStatus requests the status of one replica.
func replicaStatus(ctx context.Context, replica string) (status Status, err error) {
	one := Client{Replicas: []string{replica}}
	text, err := one.call(ctx, http.MethodGet, "/registry/status", nil)
	if err != nil {
		return status, err
	}
	err = json.Unmarshal(text, &status)
	return status, err
}

// Backup writes the state of the leader to out, in the format that [Restore] reads.
func (c *Client) Backup(ctx context.Context, out io.Writer) error {
	text, err := c.call(ctx, http.MethodGet, "/registry/backup", nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, new(State)); err != nil {
		return fmt.Errorf("backup: %w", err)
	}
	if _, err := out.Write(text); err != nil {
		return fmt.Errorf("backup: %w", err)
	}
	return nil
}
