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

// Bounds of the Retry-After header, in seconds. The value is random, so that clients that were rejected at
// the same time do not all retry at the same time.
const (
	minRetryAfter = 1
	maxRetryAfter = 3
)

// errTrailingData is the error of a body that has data after its JSON value.
var errTrailingData = errors.New("more than one JSON value")

// statusByCode maps the codes that [State.Apply] returns to HTTP statuses.
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

// writeJSON responds with a status and a value encoded as JSON.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encodeTo(w, v)
}

// encodeTo encodes a value as JSON into the body of a response.
func encodeTo(w io.Writer, v any) {
	_ = json.NewEncoder(w).Encode(v) // a write fails only if the client has disconnected
}

// writeError responds with an error: a code for programs and a message for people.
func writeError(w http.ResponseWriter, status int, code Code, format string, args ...any) {
	writeJSON(w, status, Outcome{Code: code, Message: fmt.Sprintf(format, args...)})
}

// writeUnavailable responds that a request was not executed and may be sent again.
func writeUnavailable(w http.ResponseWriter, format string, args ...any) {
	writeRetryable(w, Unavailable, format, args...)
}

// writeRetryable responds with status 503 and a Retry-After header.
func writeRetryable(w http.ResponseWriter, code Code, format string, args ...any) {
	w.Header().Set("Retry-After", strconv.Itoa(minRetryAfter+rand.IntN(maxRetryAfter-minRetryAfter+1)))
	writeError(w, http.StatusServiceUnavailable, code, format, args...)
}

// decodeBody strictly decodes a JSON body of up to maxRequestBody bytes. If that fails, it responds with the
// error and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	// The error is ignored: a response recorder in a test has no deadlines, and a broken connection fails at
	// the read.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(requestReadTimeout))
	err := decodeStrictly(http.MaxBytesReader(w, r.Body, maxRequestBody), into)
	if err == nil {
		return true
	}
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, Invalid, "body: must be at most %d bytes", maxRequestBody)
	} else {
		writeError(w, http.StatusBadRequest, Invalid, "body: %v", err)
	}
	return false
}

// decodeStrictly decodes exactly one JSON value and rejects unknown keys.
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
