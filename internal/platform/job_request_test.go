package platform

import (
	"errors"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"
)

func TestParseRemaining(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"480m": 480 * time.Millisecond, "480000u": 480 * time.Millisecond, "0m": 0, "1.5m": 1500 * time.Microsecond,
		"99999999999999999999m": math.MaxInt64 / 2, "1" + strings.Repeat("0", 400) + "u": math.MaxInt64 / 2,
		"": -1, "m": -1, "480": -1, "480s": -1, "-1m": -1, "NaNm": -1, "1e3m": -1, "1.2.3m": -1, " 5m": -1, ".m": -1,
	} {
		got, err := parseRemaining(text)
		if (err != nil) != (want < 0) || err == nil && got != want {
			t.Errorf("%q: %v, %v; want %v", text, got, err, want)
		}
	}
}

func TestParseLabels(t *testing.T) {
	for text, want := range map[string][2]float64{
		"": {}, "slots=2,memory=0.5": {2, 0.5}, " memory=1 , novel=x": {0, 1},
		"slots": {-1}, "slots=-1": {-1}, "memory=NaN": {-1}, "slots=Inf": {-1},
	} {
		slots, memory, err := parseLabels(text)
		if (err != nil) != (want[0] < 0) || err == nil && (slots != want[0] || memory != want[1]) {
			t.Errorf("%q: %v, %v, %v; want %v", text, slots, memory, err, want)
		}
	}
}

func TestParseJob(t *testing.T) {
	good := func() *http.Request {
		r, _ := http.NewRequest("POST", "/reading?user=00000000000000ff", nil)
		r.RequestURI = "/reading?user=00000000000000ff"
		r.Header = http.Header{
			headerID: {"j1"}, headerClass: {"reading"}, headerTenant: {"islands"},
			headerRemaining: {"480m"}, headerRepeat: {"1"}, headerLabels: {"slots=2,memory=3"},
		}
		return r
	}
	j, err := parseJob(good(), []byte("b"))
	if err != nil || j.ID != "j1" || j.Key != 255 || j.Slots != 2 || j.Memory != 3 || !j.ClientRetry ||
		j.Remaining != 480*time.Millisecond || j.Tenant != "islands" {
		t.Errorf("%+v, %v", j, err)
	}
	for name, c := range map[string]struct {
		spoil   func(h http.Header)
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
		"long key":      {func(h http.Header) { h.Set(headerKey, strings.Repeat("k", maxKey+1)) }, "bad.key"},
		"key in words":  {func(h http.Header) { h.Set(headerKey, "a b") }, "bad.key"},
		"bad labels":    {func(h http.Header) { h.Set(headerLabels, "slots=many") }, "bad.labels"},
	} {
		r := good()
		c.spoil(r.Header)
		_, err := parseJob(r, nil)
		var input *inputError
		if !errors.As(err, &input) || input.counter != c.counter || input.status != http.StatusBadRequest {
			t.Errorf("%s: %+v", name, err)
		}
	}
}
