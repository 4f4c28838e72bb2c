package core

import (
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"github.com/vatu-meals/foxlift/internal/golden"
)

// TestStateJSON pins the JSON of a state, which a process hands over to one of another version.
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
		t.Errorf("read %+v, %v; want %+v", got, err, full)
	}
	var progress DrainProgress // which is read alone again and again
	if err := json.Unmarshal(stored, &progress); err != nil || !reflect.DeepEqual(progress, full.DrainProgress) {
		t.Errorf("read %+v, %v; want %+v", progress, err, full.DrainProgress)
	}
}
