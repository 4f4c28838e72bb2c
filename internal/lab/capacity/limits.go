package capacity

import (
	"math"
	"slices"
)

// A scalingLimit is the fraction of the target size at which a cost exceeds its budget.
type scalingLimit struct {
	Name     string  // of the budget
	Fraction float64 // of the target size; +Inf: never
	formula  string  // source of the fraction, for the page
}

// Names of the limits that requirements refer to, as shown on the page.
const (
	ordinaryCPULimit     = "control's processor time at 0.2 changes/s"
	memoryLimit          = "control's memory"
	ordinaryTrafficLimit = "control's traffic at 0.2 changes/s"
	descriptorLimit      = "descriptors of the most schedulers"

	// Limits on the transfer from discovery at a start, without and with a checkpoint of the endpoint list.
	completeSnapshotLimit = "the whole list within the list's clock, at a start that has none kept"
	checkpointLimit       = "the changes since within the list's clock, at a start with a list that was kept"
)

// startCPUBudget is the processor time, in seconds, that a start of a scheduler process may take.
const startCPUBudget = 0.4

// findLimits determines the fraction of the target size at which each cost exceeds its budget.
func (a *assessment) findLimits() {
	a.addBudget(ordinaryCPULimit, "control.cpu_at_0.2", TargetControlCPU, "1.6 % of a core")
	a.addBudget("control's processor time at 5 changes/s", "control.cpu_at_5", TargetControlCPU, "1.6 % of a core")
	a.addBudget(memoryLimit, "control.memory", TargetControlMemory*megabyte, "128 MB")
	a.addBudget(ordinaryTrafficLimit, "control.traffic_at_0.2", TargetControlTraffic*kilobyte, "24 KB/s")
	a.addBudget("control's traffic at 5 changes/s", "control.traffic_at_5", TargetControlTraffic*kilobyte, "24 KB/s")
	a.addBudget("the start's processor time", "control.start", startCPUBudget, "0.4 s")
	a.addBudget(completeSnapshotLimit, "list.bytes", TargetControlTraffic*kilobyte*a.value("clock"), "24 KB/s for clock")
	a.addLimit(checkpointLimit, a.value("kept_room"), "kept_room")
	peakChangesPerSecond := a.value("configuration_peak")
	document := a.series("configuration.bytes") // measured over numbers of teams, which make up most of the document
	a.addLimit("the configuration as one document, in the peak minute",
		document.sizeAt(TargetControlTraffic*kilobyte/peakChangesPerSecond)/TargetTeams,
		"24 KB/s / configuration_peak, `configuration.bytes`")
	a.addLimit(descriptorLimit, a.value("tasks_of_one")*a.value("schedulers_most")/TargetTasks,
		"tasks_of_one × schedulers_most / 220,000")
}

// addLimit adds the limit of a budget.
func (a *assessment) addLimit(name string, fraction float64, formula string) {
	a.limits = append(a.limits, scalingLimit{name, fraction, formula})
}

// addBudget adds the limit of a cost that was measured over numbers of workers: the number of workers at which the
// series reaches budget, as a fraction of TargetWorkers. The limit's formula is the given one and the series' name.
func (a *assessment) addBudget(name, series string, budget float64, formula string) {
	workers := a.series(series).sizeAt(budget)
	a.addLimit(name, workers/TargetWorkers, formula+", `"+series+"`")
}

// lowestLimit returns the limit with the lowest fraction.
func (a *assessment) lowestLimit() scalingLimit { return a.limits[a.lowestIndexExcept(-1)] }

// secondLimit returns the limit with the second lowest fraction.
func (a *assessment) secondLimit() scalingLimit {
	return a.limits[a.lowestIndexExcept(a.lowestIndexExcept(-1))]
}

// lowestIndexExcept returns the index of the lowest limit, ignoring the index except.
func (a *assessment) lowestIndexExcept(except int) int {
	lowest := -1
	for i, limit := range a.limits {
		if i != except && (lowest < 0 || limit.Fraction < a.limits[lowest].Fraction) {
			lowest = i
		}
	}
	return lowest
}

// lowestFraction returns the lowest fraction of the named limits, +Inf if there are none.
func (a *assessment) lowestFraction(names ...string) float64 {
	lowest := math.Inf(1)
	for _, limit := range a.limits {
		if slices.Contains(names, limit.Name) {
			lowest = min(lowest, limit.Fraction)
		}
	}
	return lowest
}
