package foxlift_test

import (
	"path/filepath"
	"strings"
	"testing"
)

// minRecordings guards against an empty directory, with which nothing would be compared.
const minRecordings = 10

// TestReplay replays the recordings to new dispatchers: every step must return the recorded actions, and every
// snapshot must equal the recorded bytes. The recordings are from amd64 and arm64: see docs/design/arithmetic.md.
func TestReplay(t *testing.T) {
	paths, err := filepath.Glob(recordings)
	if err != nil || len(paths) < minRecordings {
		t.Fatalf("%d recordings, want %d at least; %v", len(paths), minRecordings, err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".gz"), func(t *testing.T) {
			t.Parallel()
			data, err := readRecording(path)
			if err != nil {
				t.Fatal(err)
			}
			r := replayer{archive: newReader(data)}
			if err := r.run(); err != nil {
				t.Errorf("after %d operations: %v", r.operations, err)
			}
			t.Logf("%d operations, %d events, %d actions", r.operations, r.events, r.actions)
		})
	}
}
