package foxlift_test

import (
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/golden"
)

const snapshotFile = "snapshot.json"

// filledSnapshot returns a snapshot in which no field is zero except the name of the last tenant, the entry of
// requests without a known tenant.
func filledSnapshot() *foxlift.Snapshot {
	s := &foxlift.Snapshot{}
	golden.Fill(s)
	s.Tenants[len(s.Tenants)-1].Name = ""
	return s
}

// TestSnapshotJSON checks that the JSON form of a snapshot does not change: processes of other versions read it.
func TestSnapshotJSON(t *testing.T) {
	text, err := json.Marshal(filledSnapshot())
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, snapshotFile, text)
}

// TestStoredSnapshotIsRestored checks that a dispatcher restored from the stored snapshot returns the same snapshot,
// so that Restore and Snapshot agree on every field.
func TestStoredSnapshotIsRestored(t *testing.T) {
	text, err := os.ReadFile("testdata/" + snapshotFile)
	if err != nil {
		t.Fatal(err)
	}
	stored := &foxlift.Snapshot{}
	if err := json.Unmarshal(text, stored); err != nil {
		t.Fatal(err)
	}
	if want := filledSnapshot(); !reflect.DeepEqual(stored, want) {
		t.Fatalf("%s decodes to %+v, want %+v", snapshotFile, stored, want)
	}
	d := dispatcherOf(t, stored)
	d.Restore(stored)
	got, err := json.Marshal(d.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != string(text) {
		t.Errorf("Snapshot() after Restore() is\n%s\nwant\n%s", got, text)
	}
}

// dispatcherOf returns a dispatcher that has the classes, tenants and workers of a snapshot.
func dispatcherOf(t *testing.T, s *foxlift.Snapshot) *foxlift.Dispatcher {
	t.Helper()
	cfg := foxlift.Config{Dispatchers: 1}
	for _, c := range s.Classes {
		class := foxlift.Class{Name: c.Name, LatencyObjective: second, Deadline: 2 * second, Kind: -1}
		cfg.Classes = append(cfg.Classes, class)
	}
	for _, tenant := range s.Tenants[:len(s.Tenants)-1] {
		cfg.Tenants = append(cfg.Tenants, foxlift.Tenant{Name: tenant.Name, Quota: 1})
	}
	var workers []foxlift.Worker
	for _, w := range s.Workers {
		workers = append(workers, foxlift.Worker{ID: w.ID, StartedAt: w.StartedAt, Kind: -1})
	}
	d, err := foxlift.New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	cached := foxlift.Event{Kind: foxlift.EventEndpoints, EndpointUpdate: foxlift.EndpointsCached, Workers: workers}
	d.Step(s.Now, []foxlift.Event{cached})
	return d
}
