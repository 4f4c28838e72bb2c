package foxlift_test

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"os"
	"reflect"
	"strings"

	"github.com/vatu-meals/foxlift"
)

// recordings matches the files written by TestRecord. Each has the events that some dispatchers received and the
// actions that they returned.
const recordings = "testdata/decisions/*.gz"

func readRecording(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	unpacked, err := gzip.NewReader(file)
	if err != nil {
		return nil, err
	}
	return io.ReadAll(unpacked)
}

// A replayer replays one recording.
type replayer struct {
	archive     *archive
	dispatchers []*foxlift.Dispatcher
	snapshot    []byte // the snapshot that was compared last, as JSON

	operations, events, actions int
}

// run replays the whole recording and returns an error for the first difference.
func (r *replayer) run() error {
	for {
		var o operation
		r.archive.operation(&o)
		if r.archive.err != nil {
			return r.archive.err
		}
		if o.kind == operationEOF {
			return nil
		}
		if err := r.apply(&o); err != nil {
			return fmt.Errorf("dispatcher %d: %w", o.dispatcher, err)
		}
		r.operations++
	}
}

func (r *replayer) apply(o *operation) error {
	if o.kind == operationStart {
		return r.start(o)
	}
	if o.dispatcher < 0 || o.dispatcher >= len(r.dispatchers) {
		return errCorrupt
	}
	d := r.dispatchers[o.dispatcher]
	switch o.kind {
	case operationStep:
		return r.step(d, o)
	case operationInspect:
		return compareInspection(d, o)
	case operationSnapshot:
		got, err := json.Marshal(d.Snapshot())
		if err != nil {
			return err
		}
		if !bytes.Equal(got, o.snapshot) {
			return fmt.Errorf("snapshot\n%s\nwant\n%s", got, o.snapshot)
		}
		r.snapshot = got
	case operationRestore:
		return restore(d, r.snapshot)
	}
	return nil
}

func (r *replayer) start(o *operation) error {
	d, err := foxlift.New(o.config, o.seed)
	if err != nil {
		return err
	}
	switch {
	case o.dispatcher == len(r.dispatchers):
		r.dispatchers = append(r.dispatchers, d)
	case o.dispatcher >= 0 && o.dispatcher < len(r.dispatchers):
		r.dispatchers[o.dispatcher] = d
	default:
		return errCorrupt
	}
	return nil
}

func (r *replayer) step(d *foxlift.Dispatcher, o *operation) error {
	got := d.Step(o.now, o.events)
	r.events += len(o.events)
	r.actions += len(o.actions)
	for i := range max(len(got), len(o.actions)) {
		if i >= len(got) || i >= len(o.actions) || !reflect.DeepEqual(got[i], o.actions[i]) {
			return fmt.Errorf("Step(%d) differs at action %d\nevents:\n%sgot:\n%swant:\n%s",
				o.now, i, lines(o.events), lines(got), lines(o.actions))
		}
	}
	return nil
}

// compareInspection compares the results of the dispatcher's query methods with the recorded ones.
func compareInspection(d *foxlift.Dispatcher, want *operation) error {
	got, err := inspect(d)
	if err != nil {
		return err
	}
	got.kind, got.dispatcher = want.kind, want.dispatcher
	if !reflect.DeepEqual(got, *want) {
		text, err := json.Marshal(d.Snapshot())
		return fmt.Errorf("Idle() %v, EndpointsUsable() %v, Ejected() %d, snapshot digest %x, want %v, %v, %d and %x: "+
			"snapshot %s, %v", got.idle, got.endpointsUsable, got.ejected, got.digest,
			want.idle, want.endpointsUsable, want.ejected, want.digest, text, err)
	}
	return nil
}

// inspect returns the operation that records a dispatcher's current state.
func inspect(d *foxlift.Dispatcher) (operation, error) {
	text, err := json.Marshal(d.Snapshot())
	if err != nil {
		return operation{}, err
	}
	digest := fnv.New64a()
	digest.Write(text)
	return operation{
		kind: operationInspect, idle: d.Idle(), endpointsUsable: d.EndpointsUsable(), ejected: d.Ejected(),
		digest: digest.Sum64(),
	}, nil
}

func restore(d *foxlift.Dispatcher, text []byte) error {
	snapshot := &foxlift.Snapshot{}
	if err := json.Unmarshal(text, snapshot); err != nil {
		return err
	}
	d.Restore(snapshot)
	return nil
}

// lines returns the values as text, one on each line.
func lines[T any](values []T) string {
	var b strings.Builder
	for i := range values {
		fmt.Fprintf(&b, "\t%+v\n", values[i])
	}
	return b.String()
}
