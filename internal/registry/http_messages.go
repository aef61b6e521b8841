package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// Bounds of the Retry-After header, in seconds. It is random, so that clients that were rejected together don't come
// back together.
const (
	minRetryAfter = 1
	maxRetryAfter = 3
)

// errTrailingData is the error of a body that goes on after its JSON value.
var errTrailingData = errors.New("more than one JSON value")

// statusByCode has the HTTP statuses of outcomes.
var statusByCode = map[Code]int{
	Done:                 http.StatusOK,
	Unchanged:            http.StatusOK,
	StaleIncarnation:     http.StatusConflict,
	NotFound:             http.StatusNotFound,
	AddressConflict:      http.StatusConflict,
	RegistrationConflict: http.StatusConflict,
	Invalid:              http.StatusBadRequest,
	ListFull:             http.StatusInsufficientStorage,
}

// writeJSON responds with a value.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encodeTo(w, v)
}

// encodeTo writes a value as the body of a response.
func encodeTo(w io.Writer, v any) {
	_ = json.NewEncoder(w).Encode(v) // a client that is gone needs no response
}

// writeError responds with an error and what to do about it.
func writeError(w http.ResponseWriter, status int, code Code, format string, args ...any) {
	writeJSON(w, status, Outcome{Code: code, Message: fmt.Sprintf(format, args...)})
}

// writeUnavailable responds that a request was not carried out and may be sent again.
func writeUnavailable(w http.ResponseWriter, format string, args ...any) {
	writeRetryable(w, Unavailable, format, args...)
}

// writeRetryable responds with 503 and when to send the request again.
func writeRetryable(w http.ResponseWriter, code Code, format string, args ...any) {
	w.Header().Set("Retry-After", strconv.Itoa(minRetryAfter+rand.IntN(maxRetryAfter-minRetryAfter+1)))
	writeError(w, http.StatusServiceUnavailable, code, format, args...)
}

// decodeBody decodes a small JSON body strictly. If that fails, it responds with the error and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	// A recorder in a test has no connection; a connection that can't have a deadline fails at the read.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(requestHeaderTimeout))
	err := decodeStrictly(http.MaxBytesReader(w, r.Body, maxRequestBody), into)
	if err == nil {
		return true
	}
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, Invalid, "body: over %d bytes", maxRequestBody)
	} else {
		writeError(w, http.StatusBadRequest, Invalid, "body: %v", err)
	}
	return false
}

// decodeStrictly decodes exactly one JSON value without unknown keys.
func decodeStrictly(in io.Reader, into any) error {
	decoder := json.NewDecoder(in)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if err := decoder.Decode(&struct{}{}); !errors.Is(err, io.EOF) {
		return errTrailingData
	}
	return nil
}
