package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"

	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/pollpacing"
	"github.com/vatu-meals/foxlift/internal/standin"
)

// Guards against accepting a response with an invalid entry, without a version, truncated or with data after its end.
func TestParseEndpoints(t *testing.T) {
	const validEntry = `{"host":"h","dial":"1.2.3.4:5","site":"a","class":"k","block":3,"health":"leaving",` +
		`"share":1.0,"born_ms":7}`
	for text, valid := range map[string]bool{
		`{"seq":4,"whole":true,"hosts":[` + validEntry + `]}`:                         true,
		`{"seq":4,"whole":false,"hosts":[]}`:                                          true,
		`{"seq":4,"hosts":[{"host":"h","health":"left"}]}`:                            true,
		`{"seq":4,"whole":true,"hosts":[` + validEntry:                                false,
		`{"whole":true,"hosts":[]}`:                                                   false,
		`{"seq":4,"hosts":[{"host":"","dial":"1.2.3.4:5","health":"active"}]}`:        false,
		`{"seq":4,"hosts":[{"host":"h","dial":"1.2.3.4","health":"active"}]}`:         false,
		`{"seq":4,"hosts":[{"host":"h","dial":"1.2.3.4:5","health":"well"}]}`:         false,
		`{"seq":"4","hosts":[]}`:                                                      false,
		`{"seq":4,"hosts":[{"host":"h","dial":"1.2.3.4:5","health":"active"}]} extra`: false,
	} {
		if _, err := parseEndpoints([]byte(text)); (err == nil) != valid {
			t.Errorf("parseEndpoints(%s) error = %v, want valid: %t", text, err, valid)
		}
	}
}

// Guards against a bound that rejects the fleet of the design with a memory limit of 96 MB or without a limit, and
// against one that lets a list use more than half of a smaller memory.
func TestResponseBound(t *testing.T) {
	for _, memory := range []int64{96 << 20, math.MaxInt64} {
		bound := newResponseBound(memory)
		check(t, "bytes", bound.bytes, int64(designEndpoints*bytesPerEntry))
		if bound.entries < designEndpoints {
			t.Errorf("newResponseBound(%d).entries = %d, want at least %d", memory, bound.entries, designEndpoints)
		}
	}
	bound := newResponseBound(16 << 20)
	check(t, "bytes in 16 MB", bound.bytes, int64(2<<20))
	check(t, "entries in 16 MB", bound.entries, int64(4096))
	text := longEndpoints(1, 10, newTestWorker(t, serveJob), healthActive)
	if _, err := decodeResponse(strings.NewReader(text), 10); err != nil {
		t.Error(err)
	}
	_, err := decodeResponse(strings.NewReader(text), 9)
	check(t, "outcome of a list with one entry too many",
		callOutcome(fmt.Errorf("%w: %w", errInvalidEndpoints, err)), pollpacing.Oversized)
}

// checkDecoder checks that parseEndpoints accepts the same responses as json.Unmarshal and decodes the same values,
// except for a response with a second "hosts".
func checkDecoder(t testing.TB, data []byte) {
	var want endpointsResponse
	wantErr := json.Unmarshal(data, &want)
	for i := range want.Endpoints {
		wantErr = errors.Join(wantErr, want.Endpoints[i].validate())
	}
	if want.Version == nil {
		wantErr = errors.Join(wantErr, errors.New("no version"))
	}
	got, err := parseEndpoints(data)
	if err != nil && strings.Contains(err.Error(), "twice") {
		return
	}
	if (err == nil) != (wantErr == nil) {
		t.Fatalf("parseEndpoints(%q) error = %v, json.Unmarshal: %v", data, err, wantErr)
	}
	if err == nil && (*got.Version != *want.Version || got.Complete != want.Complete ||
		len(got.Endpoints) != len(want.Endpoints) ||
		len(got.Endpoints) > 0 && !reflect.DeepEqual(got.Endpoints, want.Endpoints)) {
		t.Fatalf("parseEndpoints(%q) = %+v, json.Unmarshal: %+v", data, got, want)
	}
}

// BenchmarkDecodeEndpoints decodes and applies complete lists. A process reads such a list when it starts, so it must
// take much less than the time that a start may take.
func BenchmarkDecodeEndpoints(b *testing.B) {
	for _, entries := range []int{60, 200, 600, 2000, 6000, designEndpoints} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			l, err := standin.Listen()
			if err != nil {
				b.Fatal(err)
			}
			worker := standin.Serve(l, serveJob)
			defer worker.Close()
			text := longEndpoints(1, entries, worker, healthActive)
			watch := newEndpointWatch(b.Context(), "", &config.Settings{}, nil, nil)
			b.SetBytes(int64(len(text)))
			b.ReportAllocs()
			for b.Loop() {
				response, err := decodeResponse(strings.NewReader(text), int64(entries))
				if err != nil {
					b.Fatal(err)
				}
				watch.applyLocked(response)
			}
		})
	}
}
