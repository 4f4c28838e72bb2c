package platform

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/core"
)

// A payload holds the parts of a client's request that are sent to a worker.
type payload struct {
	method, target string
	header         http.Header // only forwardedHeaders
	body           []byte
}

// forwardedHeaders are the headers of a client's request that are sent to a worker as they are.
var forwardedHeaders = []string{headerID, headerKey, headerClass, headerTenant, headerLabels, "Content-Type"}

// parseJob returns the job of a request that has been read completely. Its error is an *inputError.
func parseJob(req *http.Request, body []byte) (*core.Job, error) {
	if ids := req.Header[headerID]; len(ids) != 1 || !isVisibleASCII(ids[0]) || len(ids[0]) > maxIDBytes {
		return nil, newInputError(http.StatusBadRequest, "id",
			"%s must be there once, in up to %d printable characters", headerID, maxIDBytes)
	}
	for _, name := range []string{headerClass, headerTenant, headerRemaining, headerLabels, headerRetry} {
		if len(req.Header[name]) > 1 {
			return nil, newInputError(http.StatusBadRequest, "head", "%s is there more than once", name)
		}
	}
	keys := req.Header[headerKey]
	if len(keys) > 1 || len(keys) == 1 && (!isVisibleASCII(keys[0]) || len(keys[0]) > maxKeyBytes) {
		return nil, newInputError(http.StatusBadRequest, "key",
			"%s must be there once, in up to %d printable characters", headerKey, maxKeyBytes)
	}
	class := req.Header.Get(headerClass)
	// The target is sent to the worker unchanged, so its undecoded first path segment must equal the class.
	path, _, _ := strings.Cut(req.RequestURI, "?")
	if first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/"); path == first || class != first {
		return nil, newInputError(http.StatusBadRequest, "class", "%s and the path's first part differ", headerClass)
	}
	remaining, err := parseRemaining(req.Header.Get(headerRemaining))
	if err != nil {
		return nil, newInputError(http.StatusBadRequest, "remaining", "%s: %v", headerRemaining, err)
	}
	slots, memory, err := parseLabels(req.Header.Get(headerLabels))
	if err != nil {
		return nil, newInputError(http.StatusBadRequest, "labels", "%s: %v", headerLabels, err)
	}
	return &core.Job{
		ID:                req.Header.Get(headerID),
		Class:             class,
		Tenant:            req.Header.Get(headerTenant),
		Remaining:         remaining,
		Key:               config.ParseAffinityKey([]byte(queryValue(req.URL.RawQuery, queryKey))),
		Slots:             slots,
		Memory:            memory,
		ClientRetry:       req.Header.Get(headerRetry) == "1",
		HasIdempotencyKey: len(keys) > 0,
		Payload: &payload{
			method: req.Method, target: req.RequestURI, header: selectHeaders(req.Header, forwardedHeaders), body: body,
		},
	}, nil
}

// queryValue returns the first value of a parameter in a query; "" if there is none. It gives the same result as
// url.Values.Get, without a map of all the parameters.
func queryValue(query, name string) string {
	for parameter := range strings.SplitSeq(query, "&") {
		key, value, _ := strings.Cut(parameter, "=")
		if strings.Contains(parameter, ";") {
			continue // invalid, as for package url
		}
		if key, err := url.QueryUnescape(key); err != nil || key != name {
			continue
		}
		if value, err := url.QueryUnescape(value); err == nil {
			return value
		}
	}
	return ""
}

// isVisibleASCII reports whether s is not empty and holds only visible ASCII characters, as the headers sent to workers
// require.
func isVisibleASCII(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' })
}

var errInvalidRemaining = errors.New("not a number with the unit m or u")

// parseRemaining parses a number with the unit m (milliseconds) or u (microseconds). A value that would overflow
// becomes half the largest duration.
func parseRemaining(text string) (time.Duration, error) {
	unit := time.Millisecond
	switch {
	case strings.HasSuffix(text, "m"):
	case strings.HasSuffix(text, "u"):
		unit = time.Microsecond
	default:
		return 0, errInvalidRemaining
	}
	// Only digits and points are allowed: ParseFloat also accepts "NaN", "0x1p4" and "-1".
	digits := text[:len(text)-1]
	if digits == "" || strings.Trim(digits, "0123456789.") != "" {
		return 0, errInvalidRemaining
	}
	number, err := strconv.ParseFloat(digits, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0, errInvalidRemaining
	}
	if number > float64(math.MaxInt64/unit/2) {
		return math.MaxInt64 / 2, nil
	}
	return time.Duration(number * float64(unit)), nil
}

// parseLabels parses "name=value,name=value" and returns the values of the slots and memory labels, 0 if absent and the
// last one if repeated. It ignores other labels. A label without "=" and a slots or memory value that is not a finite
// number of 0 or more are errors.
func parseLabels(labels string) (slots, memory float64, err error) {
	if labels == "" {
		return 0, 0, nil
	}
	for label := range strings.SplitSeq(labels, ",") {
		name, text, ok := strings.Cut(strings.TrimSpace(label), "=")
		if !ok {
			return 0, 0, fmt.Errorf("%q is not name=value", label)
		}
		var target *float64
		switch name {
		case labelSlots:
			target = &slots
		case labelMemory:
			target = &memory
		default:
			continue
		}
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
			return 0, 0, fmt.Errorf("%s is not a number of 0 or more", name)
		}
		*target = value
	}
	return slots, memory, nil
}

// formatRemaining formats a duration in whole microseconds for a worker; a negative one as 0.
func formatRemaining(d time.Duration) string {
	return strconv.FormatInt(max(0, int64(d/time.Microsecond)), 10) + "u"
}
