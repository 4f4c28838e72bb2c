package foxlift_test

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/vatu-meals/foxlift"
)

var record = flag.Bool("record", false, "overwrite the recordings with the decisions of the current program")

// TestRecord writes the recordings that TestReplay replays. Run it only when decisions are meant to change:
// go test -run TestRecord -record .
func TestRecord(t *testing.T) {
	if !*record {
		return // it writes files, and so runs only with -record
	}
	for _, plan := range fleetPlans() {
		writeRecording(t, plan.name, func(r *recorder) { recordFleet(r, plan) })
	}
	for i, cfg := range foxlift.RandomHostConfigs() {
		if i%2 == 0 { // each file has two configurations with different numbers of dispatchers
			continue
		}
		other := foxlift.RandomHostConfigs()[i-1]
		writeRecording(t, "random-"+string(rune('a'+i/2)), func(r *recorder) {
			recordRandomHost(t, r, uint64(i), cfg)
			recordRandomHost(t, r, uint64(i+100), other)
		})
	}
}

// writeRecording runs a plan and writes its recording to a compressed file.
func writeRecording(t *testing.T, name string, runPlan func(*recorder)) {
	t.Helper()
	r := &recorder{t: t, archive: newWriter()}
	runPlan(r)
	r.write(&operation{kind: operationEOF})
	var compressed bytes.Buffer
	w, err := gzip.NewWriterLevel(&compressed, gzip.BestCompression)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := w.Write(r.archive.data); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(filepath.Dir(recordings), name+".gz")
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, compressed.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
	t.Logf("%s: %d steps, %d events, %d actions, %d bytes of %d", name, r.steps, r.events, r.actions, compressed.Len(),
		len(r.archive.data))
}

// A recorder starts and steps dispatchers and writes each operation to an archive.
type recorder struct {
	t           *testing.T
	archive     *archive
	dispatchers int

	steps, events, actions int
}

func (r *recorder) write(o *operation) { r.archive.operation(o) }

// nextIndex returns the index of a new dispatcher of the recording.
func (r *recorder) nextIndex() int {
	r.dispatchers++
	return r.dispatchers - 1
}

// start records and returns a new dispatcher at an index, which may replace an earlier one.
func (r *recorder) start(index int, cfg foxlift.Config, seed uint64) *foxlift.Dispatcher {
	d, err := foxlift.New(cfg, seed)
	if err != nil {
		r.t.Fatal(err)
	}
	r.write(&operation{kind: operationStart, dispatcher: index, config: cfg, seed: seed})
	return d
}

// step steps a dispatcher, records the step and returns the actions, which are valid until the next step.
func (r *recorder) step(index int, d *foxlift.Dispatcher, now int64, events []foxlift.Event) []foxlift.Action {
	actions := d.Step(now, events)
	r.log(index, now, events, actions)
	return actions
}

// log records a step that was made.
func (r *recorder) log(index int, now int64, events []foxlift.Event, actions []foxlift.Action) {
	r.write(&operation{kind: operationStep, dispatcher: index, now: now, events: events, actions: actions})
	r.steps++
	r.events += len(events)
	r.actions += len(actions)
}

// inspect records the results of the dispatcher's query methods.
func (r *recorder) inspect(index int, d *foxlift.Dispatcher) {
	o, err := inspect(d)
	if err != nil {
		r.t.Fatal(err)
	}
	o.dispatcher = index
	r.write(&o)
}

// snapshot records a dispatcher's snapshot and returns it as JSON.
func (r *recorder) snapshot(index int, d *foxlift.Dispatcher) []byte {
	text, err := json.Marshal(d.Snapshot())
	if err != nil {
		r.t.Fatal(err)
	}
	r.write(&operation{kind: operationSnapshot, dispatcher: index, snapshot: text})
	return text
}

// restore restores a dispatcher from text, which must be the snapshot that was recorded last.
func (r *recorder) restore(index int, d *foxlift.Dispatcher, text []byte) {
	if err := restore(d, text); err != nil {
		r.t.Fatal(err)
	}
	r.write(&operation{kind: operationRestore, dispatcher: index})
}

// recordRandomHost records a run of the random host of the fuzz tests.
func recordRandomHost(t *testing.T, r *recorder, seed uint64, cfg foxlift.Config) {
	const steps = 700
	index := r.nextIndex()
	r.start(index, cfg, seed)
	foxlift.RunRandomHost(t, seed, cfg, steps, func(now int64, events []foxlift.Event, actions []foxlift.Action) {
		r.log(index, now, events, actions)
	})
}
