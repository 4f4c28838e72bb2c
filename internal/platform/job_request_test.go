package platform

import (
	"errors"
	"math"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"
)

func TestParseRemaining(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"480m": 480 * time.Millisecond, "480000u": 480 * time.Millisecond, "0m": 0, "1.5m": 1500 * time.Microsecond,
		"99999999999999999999m": math.MaxInt64 / 2, "1" + strings.Repeat("0", 400) + "u": math.MaxInt64 / 2,
	} {
		if got, err := parseRemaining(text); err != nil || got != want {
			t.Errorf("parseRemaining(%q) = %v, %v; want %v", text, got, err, want)
		}
	}
	for _, text := range []string{"", "m", "480", "480s", "-1m", "NaNm", "1e3m", "1.2.3m", " 5m", ".m"} {
		if got, err := parseRemaining(text); err == nil {
			t.Errorf("parseRemaining(%q) = %v, want an error", text, got)
		}
	}
}

func TestParseLabels(t *testing.T) {
	for _, c := range []struct {
		text          string
		slots, memory float64
	}{{"", 0, 0}, {"slots=2,memory=0.5", 2, 0.5}, {" memory=1 , novel=x", 0, 1}} {
		slots, memory, err := parseLabels(c.text)
		if err != nil || slots != c.slots || memory != c.memory {
			t.Errorf("parseLabels(%q) = %v, %v, %v; want %v, %v", c.text, slots, memory, err, c.slots, c.memory)
		}
	}
	for _, text := range []string{"slots", "slots=-1", "memory=NaN", "slots=Inf"} {
		if slots, memory, err := parseLabels(text); err == nil {
			t.Errorf("parseLabels(%q) = %v, %v, want an error", text, slots, memory)
		}
	}
}

// The affinity key must be the one that package url finds in the query, since workers may use that.
func TestQueryValue(t *testing.T) {
	for _, query := range []string{
		"", "user=a", "user=", "user", "x=1&user=a", "user=a&user=b", "user=%61+b", "us%65r=a", "user=%zz&user=b",
		"%zz=1&user=c", "user=a;b&user=c", "USER=a", "&&user=a=b&", strings.Repeat("a&", 4000) + "user=z",
	} {
		values, _ := url.ParseQuery(query)
		if got, want := queryValue(query, "user"), values.Get("user"); got != want {
			t.Errorf("queryValue(%.40q) = %q, want %q", query, got, want)
		}
	}
}

func TestParseJob(t *testing.T) {
	valid := func() *http.Request {
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/reading?user=00000000000000ff", nil)
		r.RequestURI = "/reading?user=00000000000000ff"
		r.Header = http.Header{
			headerID: {"j1"}, headerClass: {"reading"}, headerTenant: {"islands"},
			headerRemaining: {"480m"}, headerRetry: {"1"}, headerLabels: {"slots=2,memory=3"},
		}
		return r
	}
	j, err := parseJob(valid(), []byte("b"))
	if err != nil || j.ID != "j1" || j.Key != 255 || j.Slots != 2 || j.Memory != 3 || !j.ClientRetry ||
		j.Remaining != 480*time.Millisecond || j.Tenant != "islands" {
		t.Errorf("parseJob() = %+v, %v; want the job of the headers", j, err)
	}
	if got := j.Payload.(*payload).header; len(got) != 4 || got.Get(headerRemaining) != "" {
		t.Errorf("headers kept with the job are %v, want the 4 that are forwarded", got)
	}
	for name, c := range map[string]struct {
		corrupt func(h http.Header)
		counter string
	}{
		"no id":         {func(h http.Header) { h.Del(headerID) }, "bad.id"},
		"empty id":      {func(h http.Header) { h[headerID] = []string{""} }, "bad.id"},
		"two ids":       {func(h http.Header) { h.Add(headerID, "j2") }, "bad.id"},
		"no class":      {func(h http.Header) { h.Del(headerClass) }, "bad.class"},
		"other class":   {func(h http.Header) { h.Set(headerClass, "ratify") }, "bad.class"},
		"no remaining":  {func(h http.Header) { h.Del(headerRemaining) }, "bad.remaining"},
		"bad remaining": {func(h http.Header) { h.Set(headerRemaining, "5s") }, "bad.remaining"},
		"empty key":     {func(h http.Header) { h[headerKey] = []string{""} }, "bad.key"},
		"two keys":      {func(h http.Header) { h[headerKey] = []string{"a", "a"} }, "bad.key"},
		"long key":      {func(h http.Header) { h.Set(headerKey, strings.Repeat("k", maxKeyBytes+1)) }, "bad.key"},
		"key in words":  {func(h http.Header) { h.Set(headerKey, "a b") }, "bad.key"},
		"bad labels":    {func(h http.Header) { h.Set(headerLabels, "slots=many") }, "bad.labels"},
	} {
		r := valid()
		c.corrupt(r.Header)
		_, err := parseJob(r, nil)
		var input *inputError
		if !errors.As(err, &input) || input.counter != c.counter || input.status != http.StatusBadRequest {
			t.Errorf("%s: parseJob() returned error %+v, want status %d and counter %s", name, err,
				http.StatusBadRequest, c.counter)
		}
	}
}
