package checkpoint

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift/internal/counters"
	"github.com/vatu-meals/foxlift/internal/golden"
)

// TestListFile pins the bytes of the file in which a list is kept, and reads them as another version
// has written them.
func TestListFile(t *testing.T) {
	at := time.Date(2026, time.March, 4, 5, 6, 7, 8000, time.UTC)
	path := filepath.Join(t.TempDir(), "list")
	k := New(path, &counters.Set{})
	if err := k.WriteIfDue(&source{version: 7, notified: true, at: at, text: endpoints}, at); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "list", written)

	text, err := New("testdata/list", &counters.Set{}).Load(discovery, at)
	if err != nil || string(text) != endpoints {
		t.Errorf("read %s, %v; want %s", text, err, endpoints)
	}
}
