package core

import (
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"github.com/vatu-meals/foxlift/internal/golden"
)

// The JSON encoding of a state must not change, because a process may hand over its state to one of another version.
func TestStateJSON(t *testing.T) {
	var full State
	golden.Fill(&full)
	text, err := json.Marshal(&full)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "state.json", text)
	stored, err := os.ReadFile("testdata/state.json")
	if err != nil {
		t.Fatal(err)
	}
	var got State
	if err := json.Unmarshal(stored, &got); err != nil || !reflect.DeepEqual(got, full) {
		t.Errorf("Unmarshal() of the stored state = %+v, %v, want %+v", got, err, full)
	}
	var progress DrainProgress // is also decoded alone, by a successor that polls
	if err := json.Unmarshal(stored, &progress); err != nil || !reflect.DeepEqual(progress, full.DrainProgress) {
		t.Errorf("Unmarshal() of the stored progress = %+v, %v, want %+v", progress, err, full.DrainProgress)
	}
}
