package edgenode

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

// writeResponse writes a final response. A client that is gone by now has nothing to be told, so errors of the write
// are dropped.
func (f *frontend) writeResponse(w http.ResponseWriter, response clientResponse) {
	h := w.Header()
	if f.draining.Load() { // also where the request came before the drain
		h.Set("Connection", "close")
	}
	switch response.kind {
	case responseServed:
		if response.server.ContentType != "" {
			h["Content-Type"] = []string{response.server.ContentType}
		} else {
			h["Content-Type"] = nil // or the library guesses one
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

// writeText writes a response of one line. A client that is gone by now has nothing to be told.
func writeText(w http.ResponseWriter, status int, text string) {
	h := w.Header()
	h["Content-Type"] = []string{"text/plain; charset=utf-8"}
	h["Content-Length"] = []string{strconv.Itoa(len(text) + 1)}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text+"\n")
}

// rejectMalformed answers a request that is the client's mistake. A body that was not read is not waited for: what is
// left of it would be read as the next request.
func (f *frontend) rejectMalformed(w http.ResponseWriter, r *http.Request, err error) {
	malformed := &badRequest{status: http.StatusBadRequest}
	if errors.As(err, &malformed); malformed.allow != "" {
		w.Header().Set("Allow", malformed.allow)
	}
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
		// The library reads a short rest before it closes, or the client could miss the response. Half a body would keep
		// it reading for ever. The deadline can't be set on a closed connection only.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
	writeText(w, malformed.status, err.Error())
}
