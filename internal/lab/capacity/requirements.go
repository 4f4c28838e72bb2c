package capacity

import "math"

// A requirementState is whether a requirement of the target is met, in the words of the page.
type requirementState string

const (
	met            requirementState = "carried today"
	metWhenEnabled requirementState = "carried where it is switched on"
	unmet          requirementState = "missing"
	unverified     requirementState = "not reached" // not measured far enough to decide
)

// A requirement is a requirement of the target, with the mechanism that meets it.
type requirement struct {
	name, mechanism string
	state           requirementState
	multiple        float64 // multiple of the target at which the requirement is no longer met; NaN: not known
	breaks          string  // what fails at that multiple
}

// assessRequirements adds the requirements of the target with their states, in the page's order.
func (a *assessment) assessRequirements() {
	a.assessFleet()
	a.assessPlacement()
	a.assessControl()
	a.assessFailures()
}

// assessFleet adds the requirements on the size of the fleet and its load.
func (a *assessment) assessFleet() {
	a.addRequirement(requirement{
		name: "19,000 workers",
		mechanism: "a full replica of the membership list at each scheduler, followed by a watch; " +
			"a checkpoint of it on the scheduler's disk",
		state:    metWhenEnabled,
		multiple: a.lowestFraction(checkpointLimit),
		breaks: "the changes since the checkpoint take longer than the list's clock at 24 KB/s; " +
			"without a checkpoint the whole list does from a fraction of the target on (see the walls)",
	})
	a.addRequirement(requirement{
		name:      "21,000 accelerators",
		mechanism: "kinds of worker, slots told by load reports",
		state:     unverified,
		multiple:  math.NaN(),
		breaks:    "two accelerators in one worker are not told apart",
	})
	a.addMeasured(requirement{
		name:      "120,000 jobs a day, 8,100 starts a second",
		mechanism: "late binding at schedulers that share nothing",
		multiple:  percent / a.value("starts_cpu"),
		breaks:    "a core of each scheduler is spent on decisions",
	})
	a.addMeasured(requirement{
		name:      "220,000 running tasks",
		mechanism: "a connection on each side for each running task",
		multiple:  a.lowestFraction(descriptorLimit),
		breaks:    "descriptors of the most schedulers there may be",
	})
}

// assessPlacement adds the requirements on gangs, quotas, urgent work, regions and zones.
func (a *assessment) assessPlacement() {
	a.addRequirement(requirement{
		name:      "gangs of up to 256",
		mechanism: "gang scheduling: all-or-nothing admission with reservation",
		state:     unmet,
		multiple:  math.NaN(),
		breaks:    "the module places one task at a time",
	})
	a.addRequirement(requirement{
		name:      "98 teams with quotas",
		mechanism: "token buckets by band, each scheduler with its part",
		state:     unverified,
		multiple:  math.NaN(),
		breaks:    "how close the sum of all schedulers keeps each team to its quota is not measured",
	})
	a.addRequirement(requirement{
		name:      "urgent work within 6.3 s",
		mechanism: "priority queueing for the next slot that comes free",
		state:     unverified,
		multiple:  math.NaN(),
		breaks: "classes have no priority in the module; " +
			"the slots would come free soon enough in pools of urgent_pool slots and more",
	})
	a.addRequirement(requirement{
		name:      "9 regions with 34 zones",
		mechanism: "zone-aware placement; regions would be a level above",
		state:     unmet,
		multiple:  math.NaN(),
		breaks:    "there are zones only",
	})
}

// assessControl adds the requirements on configuration changes and on the cost of control.
func (a *assessment) assessControl() {
	a.addRequirement(requirement{
		name:      "13,000 changes of configuration a day, in force within 14 s",
		mechanism: "versioned configuration with incremental distribution",
		state:     unmet,
		multiple:  math.NaN(),
		breaks:    "a reload changes the address of discovery only; all else holds to the process's end",
	})
	a.addMeasured(requirement{
		name:      "control within 1.6 % of a core",
		mechanism: "incremental indexes in the module and the core",
		multiple:  a.lowestFraction(ordinaryCPULimit),
		breaks:    "processor time of a process without a job",
	})
	a.addMeasured(requirement{
		name:      "control within 128 MB",
		mechanism: "the same",
		multiple:  a.lowestFraction(memoryLimit),
		breaks:    "resident memory of a process without a job",
	})
	a.addMeasured(requirement{
		name:      "control within 24 KB a second, in an ordinary second",
		mechanism: "watches that carry changes",
		multiple:  a.lowestFraction(ordinaryTrafficLimit),
		breaks:    "traffic with discovery",
	})
}

// assessFailures adds the requirements on failures of workers, racks, zones and regions.
func (a *assessment) assessFailures() {
	a.addMeasured(requirement{
		name:      "210 failures, 4,900 restarts a day",
		mechanism: "changes on the watch",
		multiple:  TargetControlTraffic / a.value("changes_traffic"),
		breaks:    "traffic with discovery at that rate",
	})
	a.addMeasured(requirement{
		name:      "a rack each week",
		mechanism: "changes on the watch",
		multiple:  a.value("clock") / a.value("rack_time"),
		breaks:    "the news takes longer than the list's clock",
	})
	a.addMeasured(requirement{
		name:      "a zone a few times a year",
		mechanism: "changes on the watch",
		multiple:  a.value("clock") / a.value("zone_time"),
		breaks:    "the news takes longer than the list's clock",
	})
	a.addRequirement(requirement{
		name:      "regions apart for an hour",
		mechanism: "a scheduler goes on with its last list",
		state:     unverified,
		multiple:  math.NaN(),
		breaks:    "what discovery tells of a region that is cut off is not ours; not played",
	})
}

// addRequirement adds a requirement whose state is set.
func (a *assessment) addRequirement(r requirement) { a.requirements = append(a.requirements, r) }

// addMeasured adds a requirement and sets its state: unmet if its multiple is less than 1, else met.
func (a *assessment) addMeasured(r requirement) {
	r.state = met
	if r.multiple < 1 {
		r.state = unmet
	}
	a.addRequirement(r)
}

// metCount returns the number of requirements that are met, including those that are met when enabled.
func (a *assessment) metCount() (n int) {
	for _, r := range a.requirements {
		if r.state == met || r.state == metWhenEnabled {
			n++
		}
	}
	return n
}
