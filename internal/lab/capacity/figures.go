package capacity

import (
	"fmt"
	"math"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/checkpoint"
	"github.com/vatu-meals/foxlift/internal/pollpacing"
)

// A figure is a value at the target size, with its source.
type figure struct {
	name    string
	value   float64
	unit    string
	formula string // source of the value, in terms of series, other figures and assumptions
	group   string // name of the table of the page that contains the figure
}

// figures are the figures that a page can show.
type figures struct {
	byName   map[string]figure
	order    []string // names, in the order in which the figures were added
	err      error    // reports the first missing series
	measured *Measured
}

// add adds a figure and returns its value.
func (fs *figures) add(group, name string, value float64, unit, formula string) float64 {
	fs.byName[name] = figure{name, value, unit, formula, group}
	fs.order = append(fs.order, name)
	return value
}

// series returns the named series. If it is missing, series records an error and returns a series whose cost is NaN.
func (fs *figures) series(name string) *Series {
	s, err := fs.measured.series(name)
	if err != nil {
		if fs.err == nil {
			fs.err = err
		}
		return &Series{Points: []Point{{Size: 1, Median: math.NaN()}}}
	}
	return s
}

// addFromSeries adds the cost of a series at a size as a figure and returns its value. divisor converts the unit of the
// series to unit.
func (fs *figures) addFromSeries(group, name, series string, size, divisor float64, unit string) float64 {
	s := fs.series(series)
	return fs.add(group, name, s.costAt(size)/divisor, unit, fmt.Sprintf("`%s` at %g %s", series, size, s.Of))
}

const (
	nanosPerMicro = 1e3
	nanosPerMilli = 1e6
	percent       = 100
)

// newFigures computes all figures from m. It returns an error that names the first missing series.
func newFigures(m *Measured) (*figures, error) {
	fs := &figures{byName: map[string]figure{}, measured: m}
	fs.addSchedulers()
	fs.addControl()
	fs.addDecisions()
	fs.addEndpointUpdates()
	fs.addConfiguration()
	fs.addDiscovery()
	fs.addPlacement()
	fs.addFailures()
	return fs, fs.err
}

// addSchedulers adds the number of schedulers that the target size requires.
func (fs *figures) addSchedulers() {
	const group = "schedulers"
	usableDescriptors := fs.add(group, "sockets", processSockets*(1-1.0/spareSocketDivisor), "descriptors",
		"1,024 less a sixteenth that stays spare (README, Descriptors)")
	tasksPerScheduler := fs.add(group, "tasks_of_one", math.Floor(usableDescriptors/socketsPerTask), "tasks",
		"sockets / 2: a running task holds a connection on each side")
	minSchedulers := fs.add(group, "schedulers_least", math.Ceil(TargetTasks/tasksPerScheduler), "schedulers",
		"220,000 tasks / tasks_of_one")
	fs.add(group, "schedulers_most", foxlift.MaxDispatchers, "schedulers", "`foxlift.MaxDispatchers`")
	remainingFraction := float64(TargetRegions-1) / TargetRegions
	chosenSchedulers := math.Ceil(minSchedulers/remainingFraction/TargetRegions) * TargetRegions
	fs.add(group, "schedulers_chosen", chosenSchedulers, "schedulers",
		"schedulers_least × 9/8, rounded up to as many in each of 9 regions: eight regions hold all tasks")
	fs.add(group, "schedulers_of_region", chosenSchedulers/TargetRegions, "schedulers", "schedulers_chosen / 9")
	taskMemory := fs.series("tasks.memory")
	fs.add(group, "tasks_memory", taskMemory.costAt(tasksPerScheduler)/megabyte, "MB",
		"`tasks.memory` at tasks_of_one; core and module only, buffers of connections are not in it")
}

// value returns the value of a figure that has been added before.
func (fs *figures) value(name string) float64 { return fs.byName[name].value }

// addControl adds the cost of a scheduler process without jobs at the target size.
func (fs *figures) addControl() {
	const group = "control"
	fs.addFromSeries(group, "control_cpu", "control.cpu_at_0.2", TargetWorkers, 1, "% of a core")
	fs.addFromSeries(group, "control_cpu_busy", "control.cpu_at_5", TargetWorkers, 1, "% of a core")
	fs.addFromSeries(group, "control_memory", "control.memory", TargetWorkers, megabyte, "MB")
	fs.addFromSeries(group, "control_traffic", "control.traffic_at_0.2", TargetWorkers, kilobyte, "KB/s")
	fs.addFromSeries(group, "control_traffic_busy", "control.traffic_at_5", TargetWorkers, kilobyte, "KB/s")
	fs.addFromSeries(group, "control_start", "control.start", TargetWorkers, 1, "s of processor time")
	fs.addFromSeries(group, "keeping_cpu_busy", "keeping.cpu_at_5", TargetWorkers, 1, "% of a core")
	fs.addFromSeries(group, "keeping_memory", "keeping.memory", TargetWorkers, megabyte, "MB")
}

// addDecisions adds the cost of steps of the decision module at the target size.
func (fs *figures) addDecisions() {
	const group = "decisions"
	idleTickMicros := fs.addFromSeries(group, "idle_tick", "module.idle_tick", TargetWorkers, nanosPerMicro, "us")
	fs.add(group, "idle_ticks", percent*idleTickMicros*80/1e6, "% of a core",
		"idle_tick × 80 a second, as an aim of 0.1 s asks for")
	fs.addFromSeries(group, "change", "module.change", TargetWorkers, nanosPerMicro, "us")
	fs.addFromSeries(group, "change_in_core", "core.change", TargetWorkers, nanosPerMicro, "us")
	fs.addFromSeries(group, "whole_list", "module.whole_list", TargetWorkers, nanosPerMilli, "ms")
	jobMicros := fs.addFromSeries(group, "job", "module.job", TargetWorkers, nanosPerMicro, "us")
	fs.addFromSeries(group, "keyed_job", "module.keyed_job", TargetWorkers, nanosPerMicro, "us")
	fs.addFromSeries(group, "job_by_teams", "teams.job", TargetTeams, nanosPerMicro, "us")
	startsPerSecond := fs.add(group, "starts_of_one", TargetStartsPerSecond/fs.value("schedulers_chosen"), "starts/s",
		"8,100 / schedulers_chosen")
	fs.add(group, "starts_cpu", percent*startsPerSecond*jobMicros/1e6, "% of a core", "starts_of_one × job")
	fs.addFromSeries(group, "list_memory", "core.memory", TargetWorkers, megabyte, "MB")
}

// addEndpointUpdates adds the size of updates of the endpoint list and the time that they take to transfer at
// TargetControlTraffic.
func (fs *figures) addEndpointUpdates() {
	const group = "news"
	listKilobytes := fs.addFromSeries(group, "list_size", "list.bytes", TargetWorkers, kilobyte, "KB")
	entryBytes := fs.add(group, "entry_size", listKilobytes*kilobyte/TargetWorkers, "bytes", "list_size / 19,000")
	addTime := func(name string, entries float64, formula string) {
		fs.add(group, name, entries*entryBytes/kilobyte/TargetControlTraffic, "s", formula+" × entry_size / 24 KB/s")
	}
	fs.add(group, "list_time", listKilobytes/TargetControlTraffic, "s",
		"list_size / 24 KB/s: at each start, and after a break too long for changes")
	addTime("rack_time", assumedRackWorkers, "a rack of 40 (*assumed*)")
	addTime("zone_time", TargetWorkers/TargetZones, "a zone of 558")
	addTime("region_time", TargetWorkers/TargetRegions, "a region of 2,111")
	addTime("release_time", TargetWorkers, "a release of all 19,000")
	changesPerSecond := fs.add(group, "changes",
		(TargetFailuresPerDay+2*TargetRestartsPerDay)/float64(secondsPerDay), "changes/s",
		"(210 failures + 2 × 4,900 restarts) / 86,400 s")
	fs.add(group, "changes_traffic", changesPerSecond*entryBytes/kilobyte, "KB/s", "changes × entry_size")
	maxPropagationSeconds := fs.add(group, "clock", pollpacing.MaxPropagationDelay.Seconds(), "s",
		"`pollpacing.MaxPropagationDelay`: within this a change is in force")
	maxCheckpointAgeSeconds := (checkpoint.MaxAge + checkpoint.WriteInterval).Seconds()
	missedEntries := fs.add(group, "missed", maxCheckpointAgeSeconds*changesPerSecond+TargetWorkers/TargetZones, "entries",
		"(`checkpoint.MaxAge` + `checkpoint.WriteInterval`) × changes + a zone of 558: "+
			"what the oldest list that is kept has missed")
	answerSeconds := fs.add(group, "answer", pollpacing.AnswerBudget.Seconds(), "s",
		"`pollpacing.AnswerBudget`: of the clock, for a call's turn and its answer")
	startSeconds := fs.add(group, "kept_time", missedEntries*entryBytes/kilobyte/TargetControlTraffic+answerSeconds, "s",
		"missed × entry_size / 24 KB/s + answer: a start with a list that was kept")
	fs.add(group, "kept_room", (maxPropagationSeconds-answerSeconds)/(startSeconds-answerSeconds), "times",
		"(clock − answer) / (kept_time − answer)")
}

// addConfiguration adds the cost of configuration changes if each transfers the whole document.
func (fs *figures) addConfiguration() {
	const group = "configuration"
	documentKilobytes := fs.addFromSeries(group, "document", "configuration.bytes", TargetTeams, kilobyte, "KB")
	fs.addFromSeries(group, "document_read", "configuration.read", TargetTeams, nanosPerMicro, "us")
	meanChangesPerSecond := fs.add(group, "configuration_changes",
		TargetConfigChangesPerDay/float64(secondsPerDay), "changes/s",
		"13,000 / 86,400 s")
	peakChangesPerSecond := fs.add(group, "configuration_peak", meanChangesPerSecond*peakToMeanRatio, "changes/s",
		"configuration_changes × 20 (*assumed*)")
	fs.add(group, "configuration_traffic", meanChangesPerSecond*documentKilobytes, "KB/s",
		"configuration_changes × document")
	fs.add(group, "configuration_peak_traffic", peakChangesPerSecond*documentKilobytes, "KB/s",
		"configuration_peak × document")
}

// addDiscovery adds the load that all schedulers together put on discovery.
func (fs *figures) addDiscovery() {
	const group = "discovery"
	schedulers := fs.value("schedulers_chosen")
	fs.add(group, "watch_calls", fs.series("discovery.watch_calls").costAt(schedulers), "calls/s",
		"`discovery.watch_calls` at schedulers_chosen, by the slope")
	startCallsPerSecond := fs.add(group, "start_calls", fs.series("discovery.start_peak").costAt(schedulers), "calls/s",
		"`discovery.start_peak` at schedulers_chosen, by the slope: the worst second of a start of all")
	regionCallsPerSecond := fs.add(group, "region_calls",
		fs.series("discovery.start_peak").costAt(fs.value("schedulers_of_region")), "calls/s",
		"the same at schedulers_of_region")
	listMegabytes := fs.value("list_size") / kilobyte
	fs.add(group, "start_traffic", startCallsPerSecond*listMegabytes, "MB/s",
		"start_calls × list_size: what the lists of a start of all come to in the worst second")
	fs.add(group, "region_traffic", regionCallsPerSecond*listMegabytes, "MB/s", "region_calls × list_size")
	fs.add(group, "change_traffic", schedulers*fs.value("changes_traffic"), "KB/s",
		"schedulers_chosen × changes_traffic")
	fs.add(group, "zone_traffic", schedulers*TargetWorkers/TargetZones*fs.value("entry_size")/megabyte, "MB",
		"schedulers_chosen × a zone of 558 × entry_size: in the second in which a zone goes")
}

// addPlacement adds the waiting time of urgent tasks and the fraction of time in which a gang fits.
func (fs *figures) addPlacement() {
	const group = "placement"
	fs.add(group, "task_length", meanTaskSeconds, "s", "220,000 tasks / 8,100 starts a second")
	poolSize := fs.add(group, "pool", poolSlots, "slots", "220,000 / 34 zones / 4 kinds (*assumed* even)")
	fs.add(group, "urgent_wait", urgentWaitEstimate(poolSize), "s",
		"−ln(0.01) × task_length / pool: 99 in 100 urgent tasks have a slot by then, every slot taken")
	fs.add(group, "urgent_wait_hollow", fs.series("urgent.wait").costAt(poolSize), "s",
		"`urgent.wait` at pool, by the slope")
	fs.add(group, "urgent_pool", math.Ceil(minUrgentPoolSlots()), "slots",
		"−ln(0.01) × task_length / 6.3 s: the least pool in which that holds")
	for _, utilization := range gangUtilizations {
		for _, gang := range []int{32, 128, TargetGang} {
			name := fmt.Sprintf("gang_%d_at_%d", gang, utilization)
			series := fs.series(fmt.Sprintf("gangs.room_at_%d", utilization))
			fs.add("gangs", name, percent*gangFitFraction(float64(utilization)/100, gang), "% of the time",
				"Erlang's loss system, pool slots")
			fs.add("gangs", name+"_hollow", percent*series.costAt(float64(gang)), "% of the time",
				fmt.Sprintf("`%s` at %d", series.Name, gang))
		}
	}
	fs.add("gangs", "gang_reserved", TargetGang*meanTaskSeconds/poolSlots, "s",
		"256 × task_length / pool: until slots that are held as they come free make the largest gang")
}

// addFailures adds the tasks and the fractions of the fleet that are lost to failures.
func (fs *figures) addFailures() {
	const group = "failures"
	tasksPerWorker := fs.add(group, "tasks_of_worker", TargetTasks/float64(TargetWorkers), "tasks",
		"220,000 / 19,000")
	lostTasksPerDay := (TargetFailuresPerDay + TargetRestartsPerDay) * tasksPerWorker
	fs.add(group, "lost_a_day", lostTasksPerDay*meanTaskSeconds/2/3600, "hours of tasks",
		"(210 + 4,900) × tasks_of_worker × task_length / 2: restarts without a drain, at worst")
	fs.add(group, "lost_a_rack", assumedRackWorkers*tasksPerWorker, "tasks",
		"a rack of 40 (*assumed*) × tasks_of_worker, each week")
	fs.add(group, "lost_a_zone", TargetWorkers/TargetZones*tasksPerWorker, "tasks",
		"a zone of 558 × tasks_of_worker, a few times a year")
	fs.add(group, "share_of_zone", percent/float64(TargetZones), "% of the fleet", "1 / 34 zones")
	fs.add(group, "share_of_region", percent/float64(TargetRegions), "% of the fleet",
		"1 / 9 regions: the greatest that one failure takes")
}
