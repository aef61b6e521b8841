package registry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Client calls the replicas of a list service. Every call may be sent again: a replica that
// can't be reached, or that says later, costs another try until the context ends.
type Client struct {
	Replicas []string // HTTP addresses
}

const (
	callTimeout      = 3 * time.Second // for one try at one replica
	maxResponseBytes = 256 << 20       // bytes of an answer, or of a line of a watch: a full list and some
)

// Refused is an answer that no further try can change.
type RejectedError struct {
	Status  int
	Outcome Outcome
}

func (e *RejectedError) Error() string {
	if e.Outcome.Message == "" {
		return fmt.Sprintf("the list service answers %d", e.Status)
	}
	return e.Outcome.Message
}

// do sends a request to one replica after another until one answers for good.
func (c *Client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	if len(c.Replicas) == 0 {
		return nil, errors.New("no replica is named")
	}
	// A redirect to the leader is followed with the body; each hop has a bound of its own.
	hc := &http.Client{Timeout: callTimeout, Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: callTimeout / 3}).DialContext, DisableKeepAlives: true}}
	var last error
	for i := 0; ; i++ {
		wait := 200 * time.Millisecond
		req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Replicas[i%len(c.Replicas)]+path, bytes.NewReader(body))
		if err != nil {
			return nil, fmt.Errorf("replica %q: %w", c.Replicas[i%len(c.Replicas)], err)
		}
		resp, err := hc.Do(req)
		if err == nil {
			text, rerr := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
			resp.Body.Close()
			switch {
			case rerr != nil:
				err = rerr
			case resp.StatusCode == http.StatusOK:
				return text, nil
			case resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTemporaryRedirect:
				r := &RejectedError{Status: resp.StatusCode}
				json.Unmarshal(text, &r.Outcome) // an answer of another form has no message to show
				return nil, r
			default:
				err = errors.New(strings.TrimSpace(string(text)))
				if s, perr := strconv.Atoi(resp.Header.Get("Retry-After")); perr == nil && s > 0 && s <= 60 {
					wait = time.Duration(s) * time.Second
				}
			}
		}
		last = err
		if (i+1)%len(c.Replicas) != 0 {
			wait = 0 // the others first
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("no replica of %s answers for good: %w", strings.Join(c.Replicas, ", "), last)
		case <-time.After(wait):
		}
	}
}

func (c *Client) outcome(ctx context.Context, method, path string, body []byte) (o Outcome, err error) {
	text, err := c.do(ctx, method, path, body)
	if err != nil {
		return o, err
	}
	if err := json.Unmarshal(text, &o); err != nil {
		return o, fmt.Errorf("answer: %w", err)
	}
	return o, nil
}

func ownerPath(o InstanceRef, verb string) string {
	p := "/registry/instances/" + url.PathEscape(o.ID) + verb
	if o.Incarnation > 0 {
		p += "?incarnation=" + strconv.FormatUint(o.Incarnation, 10)
	}
	return p
}

// Register puts an instance into the list.
func (c *Client) Register(ctx context.Context, r Registration) (Outcome, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return Outcome{}, fmt.Errorf("registration: %w", err)
	}
	return c.outcome(ctx, http.MethodPost, "/registry/instances", body)
}

// Renew extends an instance's lease by its term.
func (c *Client) Renew(ctx context.Context, o InstanceRef) (Outcome, error) {
	return c.outcome(ctx, http.MethodPost, ownerPath(o, "/renew"), nil)
}

// Drain lets an instance finish what it has. Incarnation 0 is whichever is there.
func (c *Client) Drain(ctx context.Context, o InstanceRef) (Outcome, error) {
	return c.outcome(ctx, http.MethodPost, ownerPath(o, "/drain"), nil)
}

// Remove takes an instance out of the list.
func (c *Client) Remove(ctx context.Context, o InstanceRef) (Outcome, error) {
	return c.outcome(ctx, http.MethodDelete, ownerPath(o, ""), nil)
}

// Show is one instance as it stands after all writes that were acknowledged before the call.
func (c *Client) Show(ctx context.Context, id string) (st InstanceStatus, err error) {
	text, err := c.do(ctx, http.MethodGet, "/registry/instances/"+url.PathEscape(id), nil)
	if err != nil {
		return st, err
	}
	if err := json.Unmarshal(text, &st); err != nil {
		return st, fmt.Errorf("instance: %w", err)
	}
	return st, nil
}

// RemoveReplica takes a replica out of the service.
func (c *Client) RemoveReplica(ctx context.Context, id string) (Outcome, error) {
	return c.outcome(ctx, http.MethodDelete, "/registry/replicas/"+url.PathEscape(id), nil)
}

// List is the whole list as one replica has it.
func (c *Client) List(ctx context.Context) (generation uint64, entries []Entry, err error) {
	text, err := c.do(ctx, http.MethodGet, "/registry/instances", nil)
	if err != nil {
		return 0, nil, err
	}
	var m message
	if err := json.Unmarshal(text, &m); err != nil {
		return 0, nil, fmt.Errorf("list: %w", err)
	}
	return m.Generation, m.Instances, nil
}

// Status asks each replica for itself; one that does not answer has an error in its place.
func (c *Client) Status(ctx context.Context) (all []Status, errs []error) {
	for _, r := range c.Replicas {
		var s Status
		one := Client{[]string{r}}
		text, err := one.do(ctx, http.MethodGet, "/registry/status", nil)
		if err == nil {
			err = json.Unmarshal(text, &s)
		}
		all, errs = append(all, s), append(errs, err)
	}
	return all, errs
}

// Backup writes the list as the leader has it.
func (c *Client) Backup(ctx context.Context, out io.Writer) error {
	text, err := c.do(ctx, http.MethodGet, "/registry/backup", nil)
	if err != nil {
		return err
	}
	var s State
	if err := json.Unmarshal(text, &s); err != nil {
		return fmt.Errorf("backup: %w", err)
	}
	if _, err := out.Write(text); err != nil {
		return fmt.Errorf("backup: %w", err)
	}
	return nil
}

// Watch follows the list from a version until ctx ends or the watch does, at the first replica
// that takes it, and hands on each message.
func (c *Client) Watch(ctx context.Context, from uint64, heard func(generation uint64, reset bool, entries []Entry)) error {
	var last error
	for _, r := range c.Replicas {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/registry/instances?watch=1&from=%d", r, from), nil)
		if err != nil {
			return fmt.Errorf("replica %q: %w", r, err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			last = err
			continue
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			last = fmt.Errorf("%s answers %s", r, resp.Status)
			continue
		}
		lines := bufio.NewScanner(resp.Body)
		lines.Buffer(nil, maxResponseBytes)
		for lines.Scan() {
			if len(lines.Bytes()) == 0 {
				continue
			}
			var m message
			if err := json.Unmarshal(lines.Bytes(), &m); err != nil {
				return fmt.Errorf("%s: malformed line: %w", r, err)
			}
			heard(m.Generation, m.Reset, m.Instances)
		}
		return errors.Join(lines.Err(), fmt.Errorf("%s: the watch ended", r))
	}
	return last
}
