package edgenode

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"opalhook/balancer"
	"opalhook/internal/edgenode/decimal"
	"opalhook/internal/edgenode/upstream"
)

// Limits of a request.
const (
	maxBody         = 64 << 10 // largest body, in bytes; the protocol allows 64 KiB
	maxIDLength     = 64       // longest X-Trace-Id, in characters
	tenantDigits    = 16       // number of hexadecimal digits of a tenant
	maxTenant       = 1 << 33  // exclusive upper bound of a tenant
	defaultMaxUnits = 1e6      // most units of one request if the settings give no limit
)

// transitAllowance is subtracted from the time in X-Expires-In, which counts from the moment the client sent
// the request, to account for the request's time on the network.
const transitAllowance = 10 * time.Millisecond

// badRequest is the error for a request that is malformed or invalid. Its text is the body of the response,
// and must not read like a rejection after which the client may retry.
type badRequest struct {
	status int    // HTTP status of the response
	text   string // body of the response
	allow  string // method that the class requires, for the Allow header; "": no such header
}

// Error implements error.
func (e *badRequest) Error() string { return e.text }

// badRequestf returns a badRequest with status 400.
func badRequestf(format string, args ...any) error {
	return &badRequest{status: http.StatusBadRequest, text: fmt.Sprintf(format, args...)}
}

// checkFraming accepts only HTTP/1.1 requests without a Transfer-Encoding, the framing that clients use. A
// request with both a Transfer-Encoding and a Content-Length can smuggle a second request in its body.
// net/http does not reveal that both were present: it drops the Content-Length, and below HTTP/1.1 it ignores
// the Transfer-Encoding.
func checkFraming(r *http.Request) error {
	if r.ProtoMajor != 1 || r.ProtoMinor != 1 {
		return &badRequest{status: http.StatusHTTPVersionNotSupported, text: "HTTP/1.1 is spoken here"}
	}
	if len(r.TransferEncoding) > 0 {
		return &badRequest{status: http.StatusLengthRequired, text: "Content-Length is wanted, not Transfer-Encoding"}
	}
	return nil
}

// requiredHeaderNames lists the headers that every request must have.
var requiredHeaderNames = [...]string{"X-Trace-Id", "X-Qos", "X-Contract", "X-Expires-In", "X-Metering"}

// Indexes in requiredHeaderNames and in the result of requiredHeaders.
const (
	headerID = iota
	headerClass
	headerPlan
	headerExpiresIn
	headerMetering
)

// parseRequest parses and validates the head of a request. It returns the request for the balancer, and the
// message for the app server, still without its body.
func (f *frontend) parseRequest(r *http.Request) (q balancer.Request, m upstream.Message, err error) {
	headers, err := requiredHeaders(r)
	if err != nil {
		return q, m, err
	}
	q.ID, q.Class, q.Plan = headers[headerID], headers[headerClass], headers[headerPlan]
	if err := f.checkNames(r, q); err != nil {
		return q, m, err
	}
	class := f.classes[q.Class]
	if q.Timeout, err = parseTimeout(headers[headerExpiresIn], class); err != nil {
		return q, m, err
	}
	if q.Tenant, err = parseTenant(r.URL.RawQuery); err != nil {
		return q, m, err
	}
	if err := f.parseMetering(headers[headerMetering], &q); err != nil {
		return q, m, err
	}
	m, err = newMessage(r, q.ID, class)
	return q, m, err
}

// requiredHeaders returns the values of the headers in requiredHeaderNames, in that order.
func requiredHeaders(r *http.Request) (values [len(requiredHeaderNames)]string, err error) {
	for i, name := range requiredHeaderNames {
		if values[i], err = requiredHeader(r, name); err != nil {
			return values, err
		}
	}
	return values, nil
}

// requiredHeader returns the value of a header that must occur exactly once and must not be empty.
func requiredHeader(r *http.Request, name string) (string, error) {
	values := r.Header[name]
	if len(values) != 1 || values[0] == "" {
		return "", badRequestf("%s: %d values where one is wanted", name, len(values))
	}
	return values[0], nil
}

// checkNames checks that the id is well-formed, that the class and the plan exist, and that the target is a
// path that begins with the class.
func (f *frontend) checkNames(r *http.Request, q balancer.Request) error {
	_, known := f.classes[q.Class]
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch {
	case !validID(q.ID):
		return badRequestf("X-Trace-Id: malformed")
	case !known:
		return badRequestf("X-Qos: unknown class")
	case first != q.Class || !strings.HasPrefix(r.RequestURI, "/"):
		return badRequestf("path: does not begin with the class")
	case !f.plans[q.Plan]:
		return badRequestf("X-Contract: unknown plan")
	}
	return nil
}

// parseTimeout returns how long the client still waits for the response. The deadline of the class caps it,
// so that requests cannot pile up.
func parseTimeout(expiresIn string, class balancer.Class) (time.Duration, error) {
	seconds, ok := decimal.Parse(expiresIn)
	if !ok || seconds <= 0 {
		return 0, badRequestf("X-Expires-In: malformed")
	}
	seconds = math.Min(seconds, class.Deadline.Seconds())
	return time.Duration(seconds*float64(time.Second)) - transitAllowance, nil
}

// newMessage returns the message for the app server, without its body. The method, the body and the
// Idempotency-Key of the request must fit the idempotency of its class.
func newMessage(r *http.Request, id string, class balancer.Class) (upstream.Message, error) {
	m := upstream.Message{Target: r.RequestURI, Host: r.Host, ID: id, ContentType: r.Header.Get("Content-Type")}
	m.Method = http.MethodPost
	if class.Idempotency == balancer.Idempotent {
		m.Method = http.MethodGet
	}
	if r.Method != m.Method {
		return m, &badRequest{http.StatusMethodNotAllowed, "method: the class wants " + m.Method, m.Method}
	}
	if class.Idempotency == balancer.Idempotent && r.ContentLength != 0 {
		return m, badRequestf("body: the class has none")
	}
	if class.Idempotency != balancer.IdempotentWithKey {
		m.Key = r.Header.Get("Idempotency-Key")
		return m, nil
	}
	var err error
	m.Key, err = requiredHeader(r, "Idempotency-Key")
	return m, err
}

// validID reports whether an id has 1 to maxIDLength characters, all of them ASCII letters, digits, '-', '_'
// or '.'.
func validID(id string) bool {
	for i := range len(id) {
		switch c := id[i]; {
		case '0' <= c && c <= '9', 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', c == '-', c == '_', c == '.':
		default:
			return false
		}
	}
	return len(id) > 0 && len(id) <= maxIDLength
}

// parseTenant returns the tenant in the query of a request. The protocol calls the tenant "customer".
func parseTenant(query string) (uint64, error) {
	values, err := url.ParseQuery(query)
	if err != nil || len(values["customer"]) != 1 {
		return 0, badRequestf("customer: missing or malformed")
	}
	digits := values["customer"][0]
	tenant, err := strconv.ParseUint(digits, 16, 64)
	if err != nil || len(digits) != tenantDigits || tenant >= maxTenant {
		return 0, badRequestf("customer: missing or malformed")
	}
	return tenant, nil
}

// parseMetering parses units, spread and first from X-Metering and ignores other names. It rejects values
// that no conforming client sends, because the balancer would count them against the tenant's quota on every
// edge node.
func (f *frontend) parseMetering(text string, q *balancer.Request) error {
	settings := f.settings
	seen := map[string]bool{}
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if seen[name] {
			return badRequestf("X-Metering: %q stands twice", name)
		}
		seen[name] = true
		ok := true
		switch name {
		case "units":
			q.Units, ok = parseUnits(value, settings.MaxUnits)
		case "spread":
			q.EntryNodes, ok = parseInt(value, 1, settings.NodeCount)
		case "first":
			q.FirstEntryNode, ok = parseInt(value, 0, settings.NodeCount-1)
		}
		if !ok {
			return badRequestf("X-Metering: %s is malformed or out of range", name)
		}
	}
	if !seen["units"] || !seen["spread"] || !seen["first"] {
		return badRequestf("X-Metering: units, spread or first is missing")
	}
	if (settings.NodeIndex-q.FirstEntryNode+settings.NodeCount)%settings.NodeCount >= q.EntryNodes {
		return badRequestf("X-Metering: the customer does not come through this node")
	}
	return nil
}

// parseUnits parses the units of a request. ok is false unless they are positive and at most maxUnits. A
// maxUnits of 0 means defaultMaxUnits.
func parseUnits(text string, maxUnits float64) (units float64, ok bool) {
	if maxUnits <= 0 {
		maxUnits = defaultMaxUnits
	}
	units, ok = decimal.Parse(text)
	return units, ok && units > 0 && units <= maxUnits
}

// parseInt parses an integer. It returns false unless the integer is between minimum and maximum, inclusive.
func parseInt(text string, minimum, maximum int) (int, bool) {
	x, ok := decimal.Parse(text)
	return int(x), ok && x == math.Trunc(x) && x >= float64(minimum) && x <= float64(maximum)
}

// readBody reads the whole body. It fails after bodyTimeout, so that a client that sends only part of a body
// cannot hold the socket indefinitely. There is no limit on reading while the request is in flight.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength > maxBody {
		return nil, &badRequest{status: http.StatusRequestEntityTooLarge, text: "body: over 64 KiB"}
	}
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(bodyDeadline(r)); err != nil {
		return nil, fmt.Errorf("body: %w", err)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, badRequestf("body: incomplete")
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		return nil, fmt.Errorf("body: %w", err)
	}
	return body, nil
}

// bodyDeadline returns the time by which the body of a request must be complete; zero: it has no body.
func bodyDeadline(r *http.Request) time.Time {
	if r.ContentLength == 0 {
		return time.Time{}
	}
	return time.Now().Add(bodyTimeout)
}
