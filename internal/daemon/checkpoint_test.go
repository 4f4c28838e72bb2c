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

// checkpointOperatorFile is an operator's file that asks for a checkpoint at the path %q.
const checkpointOperatorFile = `(foxlift (list (checkpoint %q)))`

// endpointsConfirmed reports whether discovery has confirmed an endpoint list since the start.
func (f *fixture) endpointsConfirmed() bool {
	_, confirmed := f.platform.EndpointsVersion()
	return confirmed
}

// A scheduler that shuts down writes a checkpoint. The next start loads it and receives the later changes
// from discovery. A truncated checkpoint is rejected, and the scheduler still starts.
func TestCheckpointIsUsedAfterRestart(t *testing.T) {
	f := startFixture(t, checkpointOperatorFile)
	f.await(t, "discovery has confirmed the endpoint list", f.endpointsConfirmed)
	f.ShutDown()
	f.await(t, "the checkpoint exists", func() bool { _, err := os.Stat(f.operatorPathArgument); return err == nil })
	f.discovery.Put(f.workers[0], "leaving")
	f.restart(t)
	if got := f.Counters.Get("checkpoint.used"); got != 1 {
		t.Errorf("counter checkpoint.used = %d after a restart, want 1", got)
	}
	f.await(t, "the change since the checkpoint has arrived", func() bool {
		snapshot, confirmed := f.platform.SnapshotEndpoints()
		return confirmed && strings.Contains(string(snapshot.Endpoints), `"leaving"`)
	})
	f.ShutDown()
	if err := os.Truncate(f.operatorPathArgument, 100); err != nil {
		t.Fatal(err)
	}
	f.restart(t)
	if got := f.Counters.Get("checkpoint.refused"); got != 1 {
		t.Errorf("counter checkpoint.refused = %d after a truncated checkpoint, want 1", got)
	}
	f.await(t, "discovery has confirmed the endpoint list after the restart", f.endpointsConfirmed)
}

// A reload that changes or removes the checkpoint path is rejected with an error that names the key.
func TestReloadCannotChangeCheckpointPath(t *testing.T) {
	f := startFixture(t, checkpointOperatorFile)
	for _, text := range []string{"", `(foxlift (list (checkpoint "/other")))`} {
		f.write(t, f.operator, text)
		if err := f.Reload(t.Context()); err == nil || !strings.Contains(err.Error(), "list.checkpoint") {
			t.Errorf("Reload() with operator's file %q: error %v, want one that names list.checkpoint", text, err)
		}
	}
}

// Without a checkpoint in the operator's file the scheduler writes none.
func TestNoCheckpointByDefault(t *testing.T) {
	f := startFixture(t, "; %s")
	f.await(t, "discovery has confirmed the endpoint list", f.endpointsConfirmed)
	f.ShutDown()
	if f.checkpoints != nil {
		t.Error("checkpoints is not nil without a configured checkpoint")
	}
	if _, err := os.Stat(f.operatorPathArgument); err == nil {
		t.Error("a checkpoint file exists without a configured checkpoint")
	}
}

// fixedEndpoints is a checkpoint source whose list does not change.
type fixedEndpoints struct{}

func (fixedEndpoints) EndpointsVersion() (int64, bool) { return 7, true }

func (fixedEndpoints) SnapshotEndpoints() (*platform.EndpointSnapshot, bool) {
	return &platform.EndpointSnapshot{TakenAt: time.Now(), Version: 7, Endpoints: json.RawMessage("{}")}, true
}

// A checkpointer that starts during a shutdown still writes the last checkpoint. A failed write is logged;
// here the directory of the path does not exist.
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
			t.Errorf("run() with path %s: counter checkpoint.written = %d, want %d", path, got, written)
		}
		if got := int64(logs.FilterMessage("checkpoint: write failed").Len()); got != 1-written {
			t.Errorf("run() with path %s: %d failures logged, want %d", path, got, 1-written)
		}
	}
}
