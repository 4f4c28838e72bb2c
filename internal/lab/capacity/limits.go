package capacity

import (
	"math"
)

// A wall is the fraction of the target at which a cost crosses its budget.
type scalingLimit struct {
	Name     string
	Fraction float64
	from     string
}

// What a start takes from discovery, by whether it has a list that was kept.
const (
	completeSnapshotLimit = "the whole list within the list's clock, at a start that has none kept"
	checkpointLimit       = "the changes since within the list's clock, at a start with a list that was kept"
)

// startCPUBudget is the processor time that a start may take, in seconds.
const startCPUBudget = 0.4

// findLimits finds where the slope of each cost crosses its budget.
func (t *assessment) findLimits() {
	budget := func(name, series string, bound float64, from string) {
		s := t.series(series)
		t.limits = append(t.limits, scalingLimit{name, s.sizeAt(bound) / TargetWorkers, from + ", `" + series + "`"})
	}
	budget("control's processor time at 0.2 changes/s", "control.cpu_at_0.2", TargetControlCPU, "1.6 % of a core")
	budget("control's processor time at 5 changes/s", "control.cpu_at_5", TargetControlCPU, "1.6 % of a core")
	budget("control's memory", "control.memory", TargetControlMemory*megabyte, "128 MB")
	budget("control's traffic at 0.2 changes/s", "control.traffic_at_0.2", TargetControlTraffic*kilobyte, "24 KB/s")
	budget("control's traffic at 5 changes/s", "control.traffic_at_5", TargetControlTraffic*kilobyte, "24 KB/s")
	budget("the start's processor time", "control.start", startCPUBudget, "0.4 s")
	budget(completeSnapshotLimit, "list.bytes", TargetControlTraffic*kilobyte*t.value("clock"), "24 KB/s for clock")
	t.limits = append(t.limits, scalingLimit{checkpointLimit, t.value("kept_room"), "kept_room"})
	peak := t.value("configuration_peak") // changes a second; the teams take most of the document
	s := t.series("configuration.bytes")
	t.limits = append(t.limits, scalingLimit{
		"the configuration as one document, in the peak minute",
		s.sizeAt(TargetControlTraffic*kilobyte/peak) / TargetTeams, "24 KB/s / configuration_peak, `configuration.bytes`",
	})
	t.limits = append(t.limits, scalingLimit{
		"descriptors of the most schedulers", t.value("tasks_of_one") * t.value("schedulers_most") / TargetTasks,
		"tasks_of_one × schedulers_most / 220,000",
	})
}

// wall returns the first wall.
func (t *assessment) lowestLimit() scalingLimit { return t.limits[t.lowestIndexExcept(-1)] }

// secondLimit returns the wall after the first.
func (t *assessment) secondLimit() scalingLimit {
	return t.limits[t.lowestIndexExcept(t.lowestIndexExcept(-1))]
}

// first returns the index of the first wall but one.
func (t *assessment) lowestIndexExcept(but int) int {
	first := -1
	for i, w := range t.limits {
		if i != but && (first < 0 || w.Fraction < t.limits[first].Fraction) {
			first = i
		}
	}
	return first
}

// fraction returns the least fraction of some walls.
func (t *assessment) lowestFraction(names ...string) float64 {
	least := math.Inf(1)
	for _, w := range t.limits {
		for _, name := range names {
			if w.Name == name {
				least = min(least, w.Fraction)
			}
		}
	}
	return least
}
