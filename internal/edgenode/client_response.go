package edgenode

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

// writeResponse writes the final response of a request. It ignores write errors: they mean that the client
// has disconnected.
func (f *frontend) writeResponse(w http.ResponseWriter, response clientResponse) {
	h := w.Header()
	if f.draining.Load() { // the drain may have begun after the request arrived
		h.Set("Connection", "close")
	}
	switch response.kind {
	case responseServed:
		if response.server.ContentType != "" {
			h["Content-Type"] = []string{response.server.ContentType}
		} else {
			h["Content-Type"] = nil // keeps net/http from guessing a type
		}
		h["Content-Length"] = []string{strconv.Itoa(len(response.server.Body))}
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(response.server.Body)
	case responseRejected:
		if response.retryAfter > 0 {
			h["Retry-After"] = []string{strconv.FormatFloat(response.retryAfter.Seconds(), 'f', 3, 64)}
		}
		writeText(w, http.StatusTooManyRequests, "refused: trying again is harmless")
	default:
		writeText(w, http.StatusBadGateway, "failed")
	}
}

// writeText writes a response whose body is one line of plain text. It ignores write errors: they mean that
// the client has disconnected.
func writeText(w http.ResponseWriter, status int, text string) {
	h := w.Header()
	h["Content-Type"] = []string{"text/plain; charset=utf-8"}
	h["Content-Length"] = []string{strconv.Itoa(len(text) + 1)}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text+"\n")
}

// rejectMalformed answers a request that is malformed or invalid. err is a *badRequest, or an error that is
// answered with status 400. A request with a body has its connection closed, because the unread rest of the
// body would be taken for the next request.
func (f *frontend) rejectMalformed(w http.ResponseWriter, r *http.Request, err error) {
	malformed := &badRequest{status: http.StatusBadRequest}
	if errors.As(err, &malformed); malformed.allow != "" {
		w.Header().Set("Allow", malformed.allow)
	}
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
		// Before net/http closes the connection, it reads the rest of a short body, because a close with
		// unread bytes could destroy the response. The deadline ends that read if the client never sends the
		// rest. Setting the deadline fails only on a closed connection.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
	writeText(w, malformed.status, err.Error())
}
