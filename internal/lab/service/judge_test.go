package service

import (
	"errors"
	"testing"
	"time"
)

const metricsText = `# TYPE scheduler_responses_total counter
scheduler_responses_total{kind="reading",result="ok"} 812
scheduler_responses_total{kind="reading",result="shed"} 40
scheduler_responses_total{kind="ratify",result="errors"} 7
# TYPE scheduler_tries_total counter
scheduler_tries_total 900
scheduler_active 14
scheduler_pool_size 8
scheduler_pool_ejected 1
`

// ParseMetrics must read metrics with and without a declared type and reject incomplete ones.
// Mismatches must accept small differences from the clients' tally and report larger ones.
func TestParseMetrics(t *testing.T) {
	f, err := ParseMetrics(metricsText)
	must(t, err)
	if f.Attempts != 900 || f.Active != 14 || f.PoolSize != 8 || f.Ejected != 1 {
		t.Errorf("ParseMetrics() = %+v, want 900 attempts, 14 active, pool size 8, 1 ejected", f)
	}
	truth := map[string]Responses{"reading": {OK: 815, Shed: 43}, "ratify": {Errors: 4}}
	if text := f.Mismatches(truth); text != "" {
		t.Errorf("Mismatches() = %q, want none", text)
	}
	truth["reading"] = Responses{OK: 830, Shed: 40}
	if f.Mismatches(truth) == "" {
		t.Error("Mismatches() is empty for 812 reported and 830 received, want a mismatch")
	}
	for name, text := range map[string]string{
		"no metrics": "", "no pool size": "scheduler_tries_total 1\nscheduler_active 1\nscheduler_pool_ejected 0\n",
		"an unknown result": metricsText + `scheduler_responses_total{kind="reading",result="maybe"} 1` + "\n",
	} {
		if _, err := ParseMetrics(text); err == nil {
			t.Errorf("ParseMetrics accepted the text with %s, want an error", name)
		}
	}
}

// at returns a point in time of a simulated trial.
func at(milliseconds int64) time.Time { return time.UnixMilli(milliseconds) }

// newPassingResult returns the result of a trial of two upgrades that passes.
func newPassingResult() UpgradeTrialResult {
	r := UpgradeTrialResult{
		PlannedUpgrades: 2,
		Upgrades: []UpgradeReport{
			{StartedAt: at(100), ReadyAfter: time.Second},
			{StartedAt: at(900), ReadyAfter: time.Second},
		},
		Tally: newTally(),
	}
	r.Tally.Answers["reading"] = Responses{OK: 1}
	return r
}

// UpgradeTrialResult.OK must fail for each kind of violation, and must excuse only jobs that were lost
// with a killed process.
func TestUpgradeTrialResultOK(t *testing.T) {
	newFailedJob := func(outcome Outcome, startedAt, endedAt int64) JobRecord {
		send := Send{StartedAt: at(startedAt), EndedAt: at(endedAt), Outcome: outcome}
		return JobRecord{ID: "a/ratify/1", Class: "ratify", Sends: []Send{send}}
	}
	unread := func(moments ...int64) func(*UpgradeTrialResult) {
		return func(r *UpgradeTrialResult) {
			for _, m := range moments {
				r.Tally.Unread = append(r.Tally.Unread, newFailedJob(Unread, m, m+1))
			}
		}
	}
	killed := func(r *UpgradeTrialResult) {
		r.Outages = []Outage{{at(300), at(350)}}
		r.Tally.Lost = append(r.Tally.Lost, newFailedJob(Interrupted, 250, 302))
	}
	lost := func(r *UpgradeTrialResult) { r.Tally.Lost = []JobRecord{newFailedJob(Interrupted, 1, 2)} }
	wrong := func(r *UpgradeTrialResult) { r.Tally.WrongResults = []JobRecord{newFailedJob(Answered, 1, 2)} }
	late := func(r *UpgradeTrialResult) { r.Upgrades[1].ReadyAfter = ReadyLimit + 1 }
	lostAt := func(startedAt, endedAt int64) func(*UpgradeTrialResult) {
		return func(r *UpgradeTrialResult) {
			killed(r)
			r.Tally.Lost[0] = newFailedJob(Interrupted, startedAt, endedAt)
		}
	}
	unreadByKill := func(r *UpgradeTrialResult) {
		killed(r)
		unread(150, 160, 310)(r)
	}
	for name, c := range map[string]struct {
		ok     bool
		change func(*UpgradeTrialResult)
	}{
		"no violation":                {true, func(*UpgradeTrialResult) {}},
		"lost job":                    {false, lost},
		"wrong result":                {false, wrong},
		"duplicate job":               {false, func(r *UpgradeTrialResult) { r.DuplicateJobs = []string{"a"} }},
		"ready too late":              {false, late},
		"missing upgrade":             {false, func(r *UpgradeTrialResult) { r.PlannedUpgrades = 3 }},
		"no job served":               {false, func(r *UpgradeTrialResult) { clear(r.Tally.Answers) }},
		"two unread in each upgrade":  {true, unread(150, 160, 950, 960)},
		"three unread in one upgrade": {false, unread(150, 160, 170)},
		"lost with a killed process":  {true, killed},
		"lost before the kill":        {false, lostAt(250, 299)},
		"lost after the kill":         {false, lostAt(351, 360)},
		"three unread, one by a kill": {true, unreadByKill},
	} {
		r := newPassingResult()
		if c.change(&r); r.OK() != c.ok {
			t.Errorf("%s: OK() = %v, want %v; %s", name, r.OK(), c.ok, r.Line())
		}
	}
}

// A trial with an unknown fault fails with errUnknownFault.
func TestUnknownFault(t *testing.T) {
	u := DefaultUpgradeTrial
	u.Fault = "kill-all"
	if _, err := u.Run(t.Context(), t.Output()); !errors.Is(err, errUnknownFault) {
		t.Errorf("Run() with an unknown fault: error %v, want %v", err, errUnknownFault)
	}
}
