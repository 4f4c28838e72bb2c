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

// checkEndpoints checks that discovery's responses are rejected or applied as a whole, with times that can be
// computed with, and are the same again when printed and read.
func checkEndpoints(t testing.TB, data []byte) {
	response, err := parseEndpoints(data)
	if err != nil {
		return
	}
	watch := newEndpointWatch(t.Context(), "", endpointSettings, nil, zap.NewNop())
	workers := watch.applyLocked(response)
	if len(workers) != len(response.Endpoints) {
		t.Fatalf("%q: %d of %d hosts", data, len(workers), len(response.Endpoints))
	}
	latest := time.Now().Add(time.Minute).UnixNano()
	for i, w := range workers {
		if w.ID == "" || w.Zone < -1 || w.Kind < -1 || w.StartedAt < 0 || w.StartedAt > latest {
			t.Fatalf("%q: host %d is %+v", data, i, w)
		}
	}
	// The same announced again is no change: a start in the future must not look new each time.
	for i, w := range watch.applyLocked(response) {
		if w.StartedAt != workers[i].StartedAt && countHost(response, w.ID) == 1 {
			t.Fatalf("%q: host %d started at %d, told again at %d", data, i, workers[i].StartedAt, w.StartedAt)
		}
	}
	printed, err := json.Marshal(response)
	if err != nil {
		t.Fatal(err)
	}
	reparsed, err := parseEndpoints(printed)
	if err != nil {
		t.Fatalf("%q, printed %q: %v", data, printed, err)
	}
	if reprinted, _ := json.Marshal(reparsed); !bytes.Equal(printed, reprinted) {
		t.Fatalf("%q is printed as %q, then %q", data, printed, reprinted)
	}
}

func countHost(response *endpointsResponse, id string) (n int) {
	for _, entry := range response.Endpoints {
		if entry.ID == id {
			n++
		}
	}
	return n
}

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
