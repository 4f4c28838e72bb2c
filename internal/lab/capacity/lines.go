package capacity

import (
	"math"
)

// A state says whether a line of the target is carried.
type state string

const (
	carriedToday state = "carried today"
	switchedOn   state = "carried where it is switched on"
	missing      state = "missing"
	notReached   state = "not reached" // not measured far enough to say
)

// A line is a line of the target, with the mechanism that carries it.
type line struct {
	name, mechanism string
	state           state
	multiple        float64 // of the target, at which it breaks; NaN: not known
	breaks          string
}

// A wall is the fraction of the target at which a cost crosses its budget.
type wall struct {
	Name     string
	Fraction float64
	from     string
}

// A target is what measurements come to at the size designed for.
type target struct {
	*figures
	walls []wall
	lines []line
}

// newTarget carries measurements to the target; it fails where a series is missing.
func newTarget(m *Measured) (*target, error) {
	fs, err := newFigures(m)
	if err != nil {
		return nil, err
	}
	t := &target{figures: fs}
	t.findWalls()
	t.judge()
	return t, nil
}

// What a start takes from discovery, by whether it has a list that was kept.
const (
	wholeListWall = "the whole list within the list's clock, at a start that has none kept"
	keptListWall  = "the changes since within the list's clock, at a start with a list that was kept"
)

// startBudget is the processor time that a start may take, in seconds.
const startBudget = 0.4

// findWalls finds where the slope of each cost crosses its budget.
func (t *target) findWalls() {
	budget := func(name, series string, bound float64, from string) {
		s := t.series(series)
		t.walls = append(t.walls, wall{name, s.sizeAt(bound) / TargetWorkers, from + ", `" + series + "`"})
	}
	budget("control's processor time at 0.2 changes/s", "control.cpu_at_0.2", TargetControlCPU, "1.6 % of a core")
	budget("control's processor time at 5 changes/s", "control.cpu_at_5", TargetControlCPU, "1.6 % of a core")
	budget("control's memory", "control.memory", TargetControlMemory*megabyte, "128 MB")
	budget("control's traffic at 0.2 changes/s", "control.traffic_at_0.2", TargetControlTraffic*kilobyte, "24 KB/s")
	budget("control's traffic at 5 changes/s", "control.traffic_at_5", TargetControlTraffic*kilobyte, "24 KB/s")
	budget("the start's processor time", "control.start", startBudget, "0.4 s")
	budget(wholeListWall, "list.bytes", TargetControlTraffic*kilobyte*t.value("clock"), "24 KB/s for clock")
	t.walls = append(t.walls, wall{keptListWall, t.value("kept_room"), "kept_room"})
	peak := t.value("configuration_peak") // changes a second; the teams take most of the document
	s := t.series("configuration.bytes")
	t.walls = append(t.walls, wall{
		"the configuration as one document, in the peak minute",
		s.sizeAt(TargetControlTraffic*kilobyte/peak) / TargetTeams, "24 KB/s / configuration_peak, `configuration.bytes`",
	})
	t.walls = append(t.walls, wall{
		"descriptors of the most schedulers", t.value("tasks_of_one") * t.value("schedulers_most") / TargetTasks,
		"tasks_of_one × schedulers_most / 220,000",
	})
}

// wall returns the first wall.
func (t *target) wall() wall { return t.walls[t.first(-1)] }

// nextWall returns the wall after the first.
func (t *target) nextWall() wall { return t.walls[t.first(t.first(-1))] }

// first returns the index of the first wall but one.
func (t *target) first(but int) int {
	first := -1
	for i, w := range t.walls {
		if i != but && (first < 0 || w.Fraction < t.walls[first].Fraction) {
			first = i
		}
	}
	return first
}

// fraction returns the least fraction of some walls.
func (t *target) fraction(names ...string) float64 {
	least := math.Inf(1)
	for _, w := range t.walls {
		for _, name := range names {
			if w.Name == name {
				least = min(least, w.Fraction)
			}
		}
	}
	return least
}

// judge says of each line of the target what carries it.
func (t *target) judge() {
	measured := func(name, mechanism, breaks string, multiple float64) {
		state := carriedToday
		if multiple < 1 {
			state = missing
		}
		t.lines = append(t.lines, line{name, mechanism, state, multiple, breaks})
	}
	unknown := func(name, mechanism string, state state, breaks string) {
		t.lines = append(t.lines, line{name, mechanism, state, math.NaN(), breaks})
	}
	t.lines = append(t.lines, line{"19,000 workers", "a full replica of the membership list at each scheduler, followed by a watch; a checkpoint of it on the scheduler's disk",
		switchedOn, t.fraction(keptListWall), "the changes since the checkpoint take longer than the list's clock at 24 KB/s; without a checkpoint the whole list does from a fraction of the target on (see the walls)"})
	unknown("21,000 accelerators", "kinds of worker, slots told by load reports", notReached, "two accelerators in one worker are not told apart")
	measured("120,000 jobs a day, 8,100 starts a second", "late binding at schedulers that share nothing",
		"a core of each scheduler is spent on decisions", percent/t.value("starts_cpu"))
	measured("220,000 running tasks", "a connection on each side for each running task",
		"descriptors of the most schedulers there may be", t.fraction("descriptors of the most schedulers"))
	unknown("gangs of up to 256", "gang scheduling: all-or-nothing admission with reservation", missing, "the module places one task at a time")
	unknown("98 teams with quotas", "token buckets by band, each scheduler with its part", notReached,
		"how close the sum of all schedulers keeps each team to its quota is not measured")
	unknown("urgent work within 6.3 s", "priority queueing for the next slot that comes free", notReached,
		"classes have no priority in the module; the slots would come free soon enough in pools of urgent_pool slots and more")
	unknown("9 regions with 34 zones", "zone-aware placement; regions would be a level above", missing, "there are zones only")
	unknown("13,000 changes of configuration a day, in force within 14 s", "versioned configuration with incremental distribution", missing,
		"a reload changes the address of discovery only; all else holds to the process's end")
	measured("control within 1.6 % of a core", "incremental indexes in the module and the core", "processor time of a process without a job",
		t.fraction("control's processor time at 0.2 changes/s"))
	measured("control within 128 MB", "the same", "resident memory of a process without a job", t.fraction("control's memory"))
	measured("control within 24 KB a second, in an ordinary second", "watches that carry changes", "traffic with discovery",
		t.fraction("control's traffic at 0.2 changes/s"))
	measured("210 failures, 4,900 restarts a day", "changes on the watch", "traffic with discovery at that rate",
		TargetControlTraffic/t.value("changes_traffic"))
	measured("a rack each week", "changes on the watch", "the news takes longer than the list's clock", t.value("clock")/t.value("rack_time"))
	measured("a zone a few times a year", "changes on the watch", "the news takes longer than the list's clock", t.value("clock")/t.value("zone_time"))
	unknown("regions apart for an hour", "a scheduler goes on with its last list", notReached, "what discovery tells of a region that is cut off is not ours; not played")
}

// carried returns how many lines are carried.
func (t *target) carried() (n int) {
	for _, l := range t.lines {
		if l.state == carriedToday || l.state == switchedOn {
			n++
		}
	}
	return n
}
