package platform

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/fuzz"
)

var endpointSettings = func() *config.Settings {
	s, err := config.ParseSettings([]byte(testSettings))
	if err != nil {
		panic(err)
	}
	return s
}()

// checkEndpoints checks that a response of discovery is either rejected or applied completely, that the start times of
// its workers are not negative or in the future, and that it is unchanged after encoding and decoding.
func checkEndpoints(t testing.TB, data []byte) {
	response, err := parseEndpoints(data)
	if err != nil {
		return
	}
	watch := newEndpointWatch(t.Context(), "", endpointSettings, nil, zap.NewNop())
	workers := watch.applyLocked(response)
	if len(workers) != len(response.Endpoints) {
		t.Fatalf("%q: applyLocked() returned %d workers, want %d", data, len(workers), len(response.Endpoints))
	}
	latest := time.Now().Add(time.Minute).UnixNano()
	for i, w := range workers {
		if w.ID == "" || w.Zone < -1 || w.Kind < -1 || w.StartedAt < 0 || w.StartedAt > latest {
			t.Fatalf("%q: worker %d has an invalid value: %+v", data, i, w)
		}
	}
	// The same response applied again changes nothing: a start in the future must not count as a new start each time.
	for i, w := range watch.applyLocked(response) {
		if w.StartedAt != workers[i].StartedAt && countHost(response, w.ID) == 1 {
			t.Fatalf("%q: worker %d has start %d, after the same response again %d", data, i, workers[i].StartedAt, w.StartedAt)
		}
	}
	printed, err := json.Marshal(response)
	if err != nil {
		t.Fatal(err)
	}
	reparsed, err := parseEndpoints(printed)
	if err != nil {
		t.Fatalf("%q: parseEndpoints() of the encoded response %q: %v", data, printed, err)
	}
	if reprinted, _ := json.Marshal(reparsed); !bytes.Equal(printed, reprinted) {
		t.Fatalf("%q is encoded as %q, and after decoding as %q", data, printed, reprinted)
	}
}

// countHost returns the number of entries with a worker ID.
func countHost(response *endpointsResponse, id string) (n int) {
	for _, entry := range response.Endpoints {
		if entry.ID == id {
			n++
		}
	}
	return n
}

// endpointSeeds returns the seeds of FuzzEndpoints.
func endpointSeeds() (seeds [][]byte) {
	for _, s := range []string{
		`{"seq":41,"whole":true,"hosts":[{"host":"a","dial":"10.0.0.1:3000","site":"a","class":"k","block":3,` +
			`"health":"active","share":1.0,"born_ms":0}]}`,
		`{"seq":1,"whole":false,"hosts":[{"host":"a","health":"left"},` +
			`{"host":"a","dial":"x:1","health":"leaving","born_ms":-5}]}`,
		`{"seq":1,"hosts":[{"host":"a","dial":"x:1","health":"active","born_ms":9223372036854775807}]}`,
		`{"seq":1,"hosts":[{"host":"a","dial":"x:1","health":"active","born_ms":9000000000000}]}`,
		`{"seq":1e400}`, `{"seq":-1,"hosts":null}`, `{"seq":1,"seq":2}`, `{"hosts":[]}`,
		`{"seq":1,"hosts":[{"host":"","health":"active"}]}`,
		`{"seq":1,"hosts":[{"host":"a","dial":"nowhere","health":"active"}]}`,
		`{"seq":1,"hosts":[{"host":"a","dial":"x:1","health":"well"}]}`, `[`,
	} {
		seeds = append(seeds, []byte(s))
	}
	return seeds
}

func FuzzEndpoints(f *testing.F) {
	for _, s := range endpointSeeds() {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, data []byte) { checkEndpoints(t, data) })
}

func TestFuzzEndpoints(t *testing.T) {
	fuzz.Run(t, 3, 20000, endpointSeeds(), checkEndpoints)
	fuzz.Run(t, 5, 20000, endpointSeeds(), checkDecoder)
}
