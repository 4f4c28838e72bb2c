package service

import (
	"errors"
	"os"
	"strings"
	"syscall"
	"testing"
)

// runTrial runs a trial and checks that it passes.
func runTrial(t *testing.T, u UpgradeTrial) UpgradeTrialResult {
	t.Helper()
	u.Program = program
	var report strings.Builder
	r, err := u.Run(t.Context(), &report)
	t.Log(report.String())
	must(t, err)
	if !r.OK() {
		t.Errorf("trial failed: %s", r.Line())
	}
	return r
}

// Consecutive upgrades under load must not lose a job.
func TestUpgradesInARow(t *testing.T) {
	u := DefaultUpgradeTrial
	u.Upgrades = iterations(3, 20)
	runTrial(t, u)
}

// A new process that is killed or stopped before it is ready must not cost a job: the old process
// continues to serve, and the next new process replaces it.
func TestSuccessorFailsBeforeReady(t *testing.T) {
	for _, fault := range []Fault{KillSuccessor, SuspendSuccessor} {
		t.Run(string(fault), func(t *testing.T) {
			u := DefaultUpgradeTrial
			u.Upgrades, u.Fault = iterations(3, 6), fault
			if r := runTrial(t, u); r.FaultsInjected == 0 {
				t.Error("trial injected no fault: each new process listened before it could be stopped")
			}
		})
	}
}

// The old process is killed after each step of an upgrade. Only its own jobs may be lost; all others
// are answered, and no at-most-once job runs twice.
func TestPredecessorKilledDuringUpgrade(t *testing.T) {
	u := DefaultUpgradeTrial
	u.Upgrades, u.Fault = int(stepCount)*iterations(1, 2), KillPredecessor
	runTrial(t, u)
}

// Both processes receive SIGHUP, which reloads their files, before and after the old process receives
// SIGTERM. Neither may lose a job.
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

// The old process is drained while the new one starts. No job may be lost.
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

// The second upgrade starts when the successor of the first one is ready, so three processes run at
// the same time. No job may be lost.
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
