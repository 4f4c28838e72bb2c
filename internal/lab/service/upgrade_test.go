package service

import (
	"errors"
	"os"
	"strings"
	"syscall"
	"testing"
)

// runTrial runs a trial and judges it.
func runTrial(t *testing.T, u UpgradeTrial) UpgradeTrialResult {
	t.Helper()
	u.Program = program
	var report strings.Builder
	r, err := u.Run(t.Context(), &report)
	t.Log(report.String())
	must(t, err)
	if !r.OK() {
		t.Error(r.Line())
	}
	return r
}

// Under load, one upgrade after another costs no job.
func TestUpgradesInARow(t *testing.T) {
	u := DefaultUpgradeTrial
	u.Upgrades = iterations(3, 20)
	runTrial(t, u)
}

// A new process that is killed before it is ready, or stopped first, costs no job: the old one goes
// on, and the next one takes over.
func TestSuccessorFailsBeforeReady(t *testing.T) {
	for _, fault := range []Fault{KillSuccessor, SuspendSuccessor} {
		t.Run(string(fault), func(t *testing.T) {
			u := DefaultUpgradeTrial
			u.Upgrades, u.Fault = iterations(3, 6), fault
			if r := runTrial(t, u); r.FaultsInjected == 0 {
				t.Error("each new process listened before it could be stopped")
			}
		})
	}
}

// The old process is killed after each step of an upgrade: what it had is gone, all else is
// answered, and none that must not runs twice.
func TestPredecessorKilledDuringUpgrade(t *testing.T) {
	u := DefaultUpgradeTrial
	u.Upgrades, u.Fault = int(stepCount)*iterations(1, 2), KillPredecessor
	runTrial(t, u)
}

// Both processes are told to read their files again, before the old one is told to end and after.
func TestReloadDuringUpgrade(t *testing.T) {
	s := startUnderLoad(t)
	old := s.Current
	next, err := s.StartNext()
	must(t, err)
	_, err = AwaitReady(t.Context(), next)
	must(t, err)
	must(t, old.Signal(syscall.SIGHUP))
	must(t, next.Signal(syscall.SIGHUP))
	termination, err := s.Promote(next)
	must(t, err)
	must(t, next.Signal(syscall.SIGHUP))
	if err := old.Signal(syscall.SIGHUP); err != nil && !errors.Is(err, os.ErrProcessDone) {
		t.Fatal(err)
	}
	must(t, termination.Await(t.Context()))
	s.awaitProgress(t)
	s.stopAndCheck(t, 1)
}

// The old process is drained while the new one starts.
func TestQuiesceDuringUpgrade(t *testing.T) {
	s := startUnderLoad(t)
	old := AdminClient{s.Current.AdminAddr}
	next, err := s.StartNext()
	must(t, err)
	must(t, old.Quiesce(t.Context()))
	_, err = AwaitReady(t.Context(), next)
	must(t, err)
	termination, err := s.Promote(next)
	must(t, err)
	must(t, termination.Await(t.Context()))
	s.awaitProgress(t)
	s.stopAndCheck(t, 1)
}

// The second upgrade begins when the first one's successor is ready: three processes are there at a
// time.
func TestTwoUpgradesInARow(t *testing.T) {
	s := startUnderLoad(t)
	var terminations [2]*Termination
	for i := range terminations {
		next, err := s.StartNext()
		must(t, err)
		_, err = AwaitReady(t.Context(), next)
		must(t, err)
		terminations[i], err = s.Promote(next)
		must(t, err)
	}
	for _, termination := range terminations {
		must(t, termination.Await(t.Context()))
	}
	s.awaitProgress(t)
	s.stopAndCheck(t, len(terminations))
}
