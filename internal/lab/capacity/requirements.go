package capacity

import (
	"math"
)

// A state says whether a line of the target is carried.
type requirementState string

const (
	met            requirementState = "carried today"
	metWhenEnabled requirementState = "carried where it is switched on"
	unmet          requirementState = "missing"
	unverified     requirementState = "not reached" // not measured far enough to say
)

// A line is a line of the target, with the mechanism that carries it.
type requirement struct {
	name, mechanism string
	state           requirementState
	multiple        float64 // of the target, at which it breaks; NaN: not known
	breaks          string
}

// judge says of each line of the target what carries it.
func (t *assessment) judgeRequirements() {
	measured := func(name, mechanism, breaks string, multiple float64) {
		state := met
		if multiple < 1 {
			state = unmet
		}
		t.requirements = append(t.requirements, requirement{name, mechanism, state, multiple, breaks})
	}
	unknown := func(name, mechanism string, state requirementState, breaks string) {
		t.requirements = append(t.requirements, requirement{name, mechanism, state, math.NaN(), breaks})
	}
	t.requirements = append(t.requirements, requirement{
		"19,000 workers", "a full replica of the membership list at each scheduler, followed by a watch; a checkpoint of it on the scheduler's disk",
		metWhenEnabled, t.lowestFraction(checkpointLimit), "the changes since the checkpoint take longer than the list's clock at 24 KB/s; without a checkpoint the whole list does from a fraction of the target on (see the walls)",
	})
	unknown("21,000 accelerators", "kinds of worker, slots told by load reports", unverified, "two accelerators in one worker are not told apart")
	measured("120,000 jobs a day, 8,100 starts a second", "late binding at schedulers that share nothing",
		"a core of each scheduler is spent on decisions", percent/t.value("starts_cpu"))
	measured("220,000 running tasks", "a connection on each side for each running task",
		"descriptors of the most schedulers there may be", t.lowestFraction("descriptors of the most schedulers"))
	unknown("gangs of up to 256", "gang scheduling: all-or-nothing admission with reservation", unmet, "the module places one task at a time")
	unknown("98 teams with quotas", "token buckets by band, each scheduler with its part", unverified,
		"how close the sum of all schedulers keeps each team to its quota is not measured")
	unknown("urgent work within 6.3 s", "priority queueing for the next slot that comes free", unverified,
		"classes have no priority in the module; the slots would come free soon enough in pools of urgent_pool slots and more")
	unknown("9 regions with 34 zones", "zone-aware placement; regions would be a level above", unmet, "there are zones only")
	unknown("13,000 changes of configuration a day, in force within 14 s", "versioned configuration with incremental distribution", unmet,
		"a reload changes the address of discovery only; all else holds to the process's end")
	measured("control within 1.6 % of a core", "incremental indexes in the module and the core", "processor time of a process without a job",
		t.lowestFraction("control's processor time at 0.2 changes/s"))
	measured("control within 128 MB", "the same", "resident memory of a process without a job", t.lowestFraction("control's memory"))
	measured("control within 24 KB a second, in an ordinary second", "watches that carry changes", "traffic with discovery",
		t.lowestFraction("control's traffic at 0.2 changes/s"))
	measured("210 failures, 4,900 restarts a day", "changes on the watch", "traffic with discovery at that rate",
		TargetControlTraffic/t.value("changes_traffic"))
	measured("a rack each week", "changes on the watch", "the news takes longer than the list's clock", t.value("clock")/t.value("rack_time"))
	measured("a zone a few times a year", "changes on the watch", "the news takes longer than the list's clock", t.value("clock")/t.value("zone_time"))
	unknown("regions apart for an hour", "a scheduler goes on with its last list", unverified, "what discovery tells of a region that is cut off is not ours; not played")
}

// carried returns how many lines are carried.
func (t *assessment) metCount() (n int) {
	for _, l := range t.requirements {
		if l.state == met || l.state == metWhenEnabled {
			n++
		}
	}
	return n
}
