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

// joinRetryInterval is the pause between attempts to join a service.
const joinRetryInterval = time.Second

// joinRejectedError is a response that no further attempt to join can change.
type joinRejectedError struct {
	status string
	body   string
}

// Error implements error.
func (e *joinRejectedError) Error() string { return e.status + ": " + e.body }

// join asks the service to add this replica until it is added or rejected, or the replica closes.
func (s *Server) join(raftAddr string) error {
	body, err := json.Marshal(Replica{ID: s.id, Raft: raftAddr})
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: applyTimeout}
	for {
		err := s.tryJoin(client, body)
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

// tryJoin asks once.
func (s *Server) tryJoin(client *http.Client, body []byte) error {
	resp, err := client.Post("http://"+s.cfg.Join+"/registry/replicas", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxRequestBody)) // the status says enough
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	if resp.StatusCode < http.StatusInternalServerError {
		return &joinRejectedError{resp.Status, strings.TrimSpace(string(text))}
	}
	return errors.New(resp.Status)
}
