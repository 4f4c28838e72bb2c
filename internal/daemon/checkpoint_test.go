package daemon

import (
	"os"
	"strings"
	"testing"
)

const withCheckpoint = `(foxlift (list (checkpoint %q)))`

// notified reports whether discovery has confirmed an endpoint list since the start.
func (f *fixture) notified() bool {
	_, notified := f.platform.EndpointsVersion()
	return notified
}

// A scheduler that shuts down writes a checkpoint, and the next one goes on from it with the changes
// since. A corrupt checkpoint is not used, and the scheduler serves all the same.
func TestCheckpointIsUsedAfterRestart(t *testing.T) {
	f := startFixture(t, withCheckpoint)
	f.await(t, "notified", f.notified)
	f.ShutDown()
	f.await(t, "written", func() bool { _, err := os.Stat(f.socket); return err == nil })
	f.discovery.Put(f.workers[0], "leaving")
	f.restart(t)
	if got := f.Counters.Get("checkpoint.used"); got != 1 {
		t.Errorf("used %d times", got)
	}
	f.await(t, "the change since", func() bool {
		snapshot, notified := f.platform.SnapshotEndpoints()
		return notified && strings.Contains(string(snapshot.Endpoints), `"leaving"`)
	})
	f.ShutDown()
	if err := os.Truncate(f.socket, 100); err != nil {
		t.Fatal(err)
	}
	f.restart(t)
	if got := f.Counters.Get("checkpoint.refused"); got != 1 {
		t.Errorf("refused %d times", got)
	}
	f.await(t, "notified after the restart", f.notified)
}

// A reload that names another file, or none, is rejected by its key and changes nothing.
func TestReloadCannotChangeCheckpointPath(t *testing.T) {
	f := startFixture(t, withCheckpoint)
	for _, text := range []string{"", `(foxlift (list (checkpoint "/other")))`} {
		f.write(t, f.operator, text)
		if err := f.Reload(t.Context()); err == nil || !strings.Contains(err.Error(), "list.checkpoint") {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// Unless the operator's file asks for it no checkpoint is written.
func TestNoCheckpointByDefault(t *testing.T) {
	f := startFixture(t, "; %s")
	f.await(t, "notified", f.notified)
	f.ShutDown()
	if f.checkpoints != nil {
		t.Error("there is a checkpointer")
	}
	if _, err := os.Stat(f.socket); err == nil {
		t.Error("a file was written")
	}
}
