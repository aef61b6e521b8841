package registry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// joinRetryInterval is the delay between attempts to join a service.
const joinRetryInterval = time.Second

// joinRejectedError is the error of a join request that the service rejected. Retrying the request cannot
// succeed.
type joinRejectedError struct {
	status string // HTTP status line, such as "409 Conflict"
	body   string
}

// Error implements error.
func (e *joinRejectedError) Error() string { return e.status + ": " + e.body }

// join requests that the service add this replica. It retries until the replica has been added or rejected,
// or the server closes.
func (s *Server) join(raftAddr string) error {
	body, err := json.Marshal(Replica{ID: s.id, Raft: raftAddr})
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: operationTimeout}
	for {
		err := s.joinOnce(client, body)
		if err == nil {
			return nil
		}
		var rejected *joinRejectedError
		if errors.As(err, &rejected) {
			return fmt.Errorf("joining %s: %w", s.cfg.Join, err)
		}
		s.logger.Warn("join failed, retrying", "replica", s.id, "endpoint", s.cfg.Join, "err", err)
		select {
		case <-s.ctx.Done():
			return fmt.Errorf("joining %s: %w", s.cfg.Join, s.ctx.Err())
		case <-time.After(joinRetryInterval):
		}
	}
}

// joinOnce sends one join request.
func (s *Server) joinOnce(client *http.Client, body []byte) error {
	resp, err := client.Post("http://"+s.cfg.Join+"/registry/replicas", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxRequestBody)) // optional: the status is sufficient
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	if resp.StatusCode < http.StatusInternalServerError {
		return &joinRejectedError{resp.Status, strings.TrimSpace(string(text))}
	}
	return errors.New(resp.Status)
}
