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

// Bounds of a request.
const (
	maxBody         = 64 << 10 // bytes (protocol: a body holds at most 64 KiB)
	maxIDLength     = 64       // characters of X-Trace-Id
	tenantDigits    = 16       // hex digits of a tenant
	maxTenant       = 1 << 33  // a tenant is a smaller number
	defaultMaxUnits = 1e6      // units of one request, where the settings have no limit
)

// transitAllowance is taken off the wait in X-Expires-In, which counts from the moment the client sent the request.
const transitAllowance = 10 * time.Millisecond

// badRequest is an error in what a client sent. None is worded as a rejection that invites a retry.
type badRequest struct {
	status int
	text   string
	allow  string // the method that the class wants
}

// Error implements error.
func (e *badRequest) Error() string { return e.text }

func badRequestf(format string, args ...any) error {
	return &badRequest{status: http.StatusBadRequest, text: fmt.Sprintf(format, args...)}
}

// checkFraming rejects what does not state its length in the one way that clients use. A request with a
// Transfer-Encoding as well as a Content-Length can hide another one in its body; the library lets the first win and
// hides the second, and ignores the first below HTTP/1.1.
func checkFraming(r *http.Request) error {
	if r.ProtoMajor != 1 || r.ProtoMinor != 1 {
		return &badRequest{status: http.StatusHTTPVersionNotSupported, text: "HTTP/1.1 is spoken here"}
	}
	if len(r.TransferEncoding) > 0 {
		return &badRequest{status: http.StatusLengthRequired, text: "Content-Length is wanted, not Transfer-Encoding"}
	}
	return nil
}

// The headers that every request has, and their indexes in what requiredHeaders returns.
var requiredNames = [...]string{"X-Trace-Id", "X-Qos", "X-Contract", "X-Expires-In", "X-Metering"}

const (
	headerID = iota
	headerClass
	headerPlan
	headerExpiresIn
	headerMetering
)

// parseRequest parses the head of a request: what the balancer is to know of it, and what is passed on.
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

// requiredHeaders returns the values of requiredNames.
func requiredHeaders(r *http.Request) (values [len(requiredNames)]string, err error) {
	for i, name := range requiredNames {
		if values[i], err = requiredHeader(r, name); err != nil {
			return values, err
		}
	}
	return values, nil
}

// requiredHeader returns a header that must stand once.
func requiredHeader(r *http.Request, name string) (string, error) {
	values := r.Header[name]
	if len(values) != 1 || values[0] == "" {
		return "", badRequestf("%s: %d values where one is wanted", name, len(values))
	}
	return values[0], nil
}

// checkNames checks the id, the class and the plan.
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

// parseTimeout returns how long the client still waits: no longer than the class's clients do, since requests must not
// pile up.
func parseTimeout(expiresIn string, class balancer.Class) (time.Duration, error) {
	seconds, ok := decimal.Parse(expiresIn)
	if !ok || seconds <= 0 {
		return 0, badRequestf("X-Expires-In: malformed")
	}
	seconds = math.Min(seconds, class.Deadline.Seconds())
	return time.Duration(seconds*float64(time.Second)) - transitAllowance, nil
}

// newMessage returns what is passed on of a request, without its body.
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

// validID tells whether an id is one word of ordinary characters.
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

// parseTenant returns the tenant in the query, where the protocol calls it the customer.
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

// parseMetering reads units, spread and first from X-Metering. What can't be of a usual client must not reach the
// balancer: it would count against the tenant's quota on every node.
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

// parseUnits parses the units of a request, at most maxUnits; 0: defaultMaxUnits.
func parseUnits(text string, maxUnits float64) (units float64, ok bool) {
	if maxUnits <= 0 {
		maxUnits = defaultMaxUnits
	}
	units, ok = decimal.Parse(text)
	return units, ok && units > 0 && units <= maxUnits
}

// parseInt parses a whole number within bounds.
func parseInt(text string, minimum, maximum int) (int, bool) {
	x, ok := decimal.Parse(text)
	return int(x), ok && x == math.Trunc(x) && x >= float64(minimum) && x <= float64(maximum)
}

// readBody reads the whole body, within a time so that one sent in part holds no socket for ever.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > maxBody {
		return nil, &badRequest{status: http.StatusRequestEntityTooLarge, text: "body: over 64 KiB"}
	}
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, fmt.Errorf("body: %w", err)
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
