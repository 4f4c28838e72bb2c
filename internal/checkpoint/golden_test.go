package checkpoint

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift/internal/counters"
	"github.com/vatu-meals/foxlift/internal/golden"
)

// TestCheckpointFile compares the bytes of a checkpoint file with a golden file, and loads the golden file as
// a checkpoint that another version has written.
func TestCheckpointFile(t *testing.T) {
	at := time.Date(2026, time.March, 4, 5, 6, 7, 8000, time.UTC)
	path := filepath.Join(t.TempDir(), "list")
	writer := New(path, &counters.Set{})
	if err := writer.WriteIfDue(&source{version: 7, notified: true, at: at, text: endpoints}, at); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "list", written)

	text, err := New("testdata/list", &counters.Set{}).Load(discovery, at)
	if err != nil || string(text) != endpoints {
		t.Errorf("Load() = %s, %v; want %s", text, err, endpoints)
	}
}
