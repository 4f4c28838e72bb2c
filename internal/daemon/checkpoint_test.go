package daemon

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/vatu-meals/foxlift/internal/checkpoint"
	"github.com/vatu-meals/foxlift/internal/counters"
	"github.com/vatu-meals/foxlift/internal/platform"
)

const checkpointOperatorFile = `(foxlift (list (checkpoint %q)))`

// notified reports whether discovery has confirmed an endpoint list since the start.
func (f *fixture) endpointsConfirmed() bool {
	_, notified := f.platform.EndpointsVersion()
	return notified
}

// A scheduler that shuts down writes a checkpoint, and the next one goes on from it with the changes
// since. A corrupt checkpoint is not used, and the scheduler serves all the same.
func TestCheckpointIsUsedAfterRestart(t *testing.T) {
	f := startFixture(t, checkpointOperatorFile)
	f.await(t, "notified", f.endpointsConfirmed)
	f.ShutDown()
	f.await(t, "written", func() bool { _, err := os.Stat(f.operatorPathArgument); return err == nil })
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
	if err := os.Truncate(f.operatorPathArgument, 100); err != nil {
		t.Fatal(err)
	}
	f.restart(t)
	if got := f.Counters.Get("checkpoint.refused"); got != 1 {
		t.Errorf("refused %d times", got)
	}
	f.await(t, "notified after the restart", f.endpointsConfirmed)
}

// A reload that names another file, or none, is rejected by its key and changes nothing.
func TestReloadCannotChangeCheckpointPath(t *testing.T) {
	f := startFixture(t, checkpointOperatorFile)
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
	f.await(t, "notified", f.endpointsConfirmed)
	f.ShutDown()
	if f.checkpoints != nil {
		t.Error("there is a checkpointer")
	}
	if _, err := os.Stat(f.operatorPathArgument); err == nil {
		t.Error("a file was written")
	}
}

// fixedEndpoints are a checkpoint source whose list does not change.
type fixedEndpoints struct{}

func (fixedEndpoints) EndpointsVersion() (int64, bool) { return 7, true }

func (fixedEndpoints) SnapshotEndpoints() (*platform.EndpointSnapshot, bool) {
	return &platform.EndpointSnapshot{TakenAt: time.Now(), Version: 7, Endpoints: json.RawMessage("{}")}, true
}

// A checkpointer writes the last checkpoint also when it starts during a shutdown; a failed write is
// logged.
func TestLastCheckpoint(t *testing.T) {
	directory := t.TempDir()
	shuttingDown, cancel := context.WithCancel(t.Context())
	cancel()
	for path, written := range map[string]int64{
		filepath.Join(directory, "list"):         1,
		filepath.Join(directory, "none", "list"): 0,
	} {
		core, logs := observer.New(zap.WarnLevel)
		set := &counters.Set{}
		c := &checkpointer{writer: checkpoint.New(path, set), log: zap.New(core)}
		c.run(shuttingDown, fixedEndpoints{})
		if got := set.Get("checkpoint.written"); got != written {
			t.Errorf("%s: written %d times, want %d", path, got, written)
		}
		if got := int64(logs.FilterMessage("checkpoint: write failed").Len()); got != 1-written {
			t.Errorf("%s: %d failures logged", path, got)
		}
	}
}
