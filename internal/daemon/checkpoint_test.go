package daemon

import (
	"os"
	"strings"
	"testing"

	"go.uber.org/zap"
)

const withCheckpoint = `(foxlift (list (checkpoint %q)))`

// again starts the world's scheduler anew.
func (w *fixture) restart(t *testing.T) {
	t.Helper()
	d, err := Start(Options{Getenv: w.getenv, Operator: w.operator, Log: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Kill)
	w.Daemon = d
	w.await(t, "ready", w.Core.Ready)
}

// A scheduler that is told to end leaves its list, and the next one goes on from it with the changes
// since. A list that is spoilt is refused and the scheduler serves all the same.
func TestCheckpointIsUsedAfterRestart(t *testing.T) {
	w := startFixture(t, withCheckpoint)
	w.await(t, "told", func() bool { _, told := w.platform.EndpointsVersion(); return told })
	w.ShutDown()
	w.await(t, "kept", func() bool { _, err := os.Stat(w.socket); return err == nil })
	w.discovery.Put(w.workers[0], "leaving")
	w.restart(t)
	if got := w.Counters.Get("checkpoint.used"); got != 1 {
		t.Errorf("used %d times", got)
	}
	w.await(t, "the change since", func() bool {
		saved, told := w.platform.SnapshotEndpoints()
		return told && strings.Contains(string(saved.Endpoints), `"leaving"`)
	})
	w.ShutDown()
	if err := os.Truncate(w.socket, 100); err != nil {
		t.Fatal(err)
	}
	w.restart(t)
	if got := w.Counters.Get("checkpoint.refused"); got != 1 {
		t.Errorf("refused %d times", got)
	}
	w.await(t, "told again", func() bool { _, told := w.platform.EndpointsVersion(); return told })
}

// A reload that names another file, or none, is refused by its key and changes nothing.
func TestReloadCannotChangeCheckpointPath(t *testing.T) {
	w := startFixture(t, withCheckpoint)
	for _, text := range []string{"", `(foxlift (list (checkpoint "/other")))`} {
		w.write(t, w.operator, text)
		if err := w.Reload(); err == nil || !strings.Contains(err.Error(), "list.checkpoint") {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// Without the operator's file nothing is kept.
func TestNoCheckpointByDefault(t *testing.T) {
	w := startFixture(t, "; %s")
	w.await(t, "told", func() bool { _, told := w.platform.EndpointsVersion(); return told })
	w.ShutDown()
	if w.checkpointWriter != nil {
		t.Error("there is a keeper")
	}
	if _, err := os.Stat(w.socket); err == nil {
		t.Error("a file was written")
	}
}
