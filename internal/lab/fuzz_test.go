package lab

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// In the first round each target gets a share of the time. In later rounds targets that found new coverage get more. No
// target gets more than the remaining time.
func TestTimeSlice(t *testing.T) {
	for name, c := range map[string]struct {
		found, first bool
		left         time.Duration
		due          int
		want         time.Duration
	}{
		"a long run":                 {left: time.Hour, due: 3, want: maxTimeSlice},
		"a short run":                {left: 90 * time.Second, due: 3, want: 10 * time.Second},
		"the least":                  {left: 20 * time.Second, due: 5, want: minTimeSlice},
		"new coverage":               {found: true, left: 90 * time.Second, due: 3, want: 30 * time.Second},
		"new coverage in a long run": {found: true, left: time.Hour, due: 3, want: maxTimeSlice},
		"the first round":            {found: true, first: true, left: 30 * time.Second, due: 5, want: 6 * time.Second},
		"hardly any left":            {left: time.Second, due: 1, want: time.Second},
	} {
		target := &FuzzTarget{foundCoverage: c.found}
		if got := timeSlice(target, c.left, c.due, c.first); got != c.want {
			t.Errorf("%s: timeSlice() = %v, want %v", name, got, c.want)
		}
	}
}

// readProgress returns the counts of the last progress line, and only the last lines of the other output.
func TestReadProgress(t *testing.T) {
	target := &FuzzTarget{}
	output := strings.Repeat("noise\n", 2*findingOutputLines) +
		"fuzz: elapsed: 1s, execs: 10 (5/sec), new interesting: 1 (total: 7)\n" +
		"fuzz: elapsed: 2s, execs: 25 (5/sec), new interesting: 3 (total: 9)\nlast\n"
	executions, fresh, tail := target.readProgress(strings.NewReader(output))
	if executions != 25 || fresh != 3 || target.Inputs != 9 {
		t.Errorf("readProgress() = %d executions, %d new of %d inputs, want 25, 3 of 9", executions, fresh, target.Inputs)
	}
	if lines := strings.Split(tail, "\n"); len(lines) != findingOutputLines || lines[findingOutputLines-1] != "last" {
		t.Errorf("readProgress() kept %d lines, the last %q, want %d lines, the last \"last\"",
			len(lines), lines[len(lines)-1], findingOutputLines)
	}
}

// A finding contains a copy of the failing input and the command that replays it. A failed build is an error, not a
// finding.
func TestFinding(t *testing.T) {
	source, found := t.TempDir(), t.TempDir()
	input := filepath.Join("testdata", "fuzz", "FuzzX", "abc")
	if err := os.MkdirAll(filepath.Dir(filepath.Join(source, input)), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(source, input), []byte("text"), 0o600); err != nil {
		t.Fatal(err)
	}
	target := &FuzzTarget{Package: "example/x", Name: "FuzzX", dir: source}
	f, err := target.finding("    Failing input written to "+input+"\n", found)
	if err != nil {
		t.Fatal(err)
	}
	if text, err := os.ReadFile(f.File); err != nil || string(text) != "text" {
		t.Errorf("copied input = %q, %v, want \"text\"", text, err)
	}
	if want := "go test -run FuzzX/abc example/x"; f.Replay != want {
		t.Errorf("finding().Replay = %q, want %q", f.Replay, want)
	}
	if _, err := target.finding("FAIL example/x [build failed]", found); err == nil {
		t.Error("finding() of a failed build returned no error, want one")
	}
}

// persistInputs adds the smallest inputs that are not in the corpus yet, as long as they fit into the limit.
func TestPersistInputs(t *testing.T) {
	cache, dir := t.TempDir(), t.TempDir()
	t.Setenv("GOCACHE", cache)
	target := &FuzzTarget{Package: "example/x", Name: "FuzzX", dir: dir}
	corpus := filepath.Join(dir, "testdata", "fuzz", "FuzzX")
	for path, text := range map[string]string{
		filepath.Join(corpus, "seed"):                           "aaa",
		filepath.Join(cache, "fuzz", "example/x/FuzzX", "same"): "aaa",
		filepath.Join(cache, "fuzz", "example/x/FuzzX", "one"):  "b",
		filepath.Join(cache, "fuzz", "example/x/FuzzX", "five"): "ccccc",
		filepath.Join(cache, "fuzz", "example/x/FuzzX", "huge"): strings.Repeat("d", maxCorpusInputSize+1),
	} {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := target.persistInputs(t.Context(), 8); err != nil {
		t.Fatal(err)
	}
	present, size, err := readCorpus(corpus)
	if err != nil || size != 4 || !present["b"] || !present["aaa"] || target.Persisted != 1 {
		t.Errorf("corpus after persistInputs() = %v, %d bytes, %d added, %v, want aaa and b, 4 bytes, 1 added",
			present, size, target.Persisted, err)
	}
}
