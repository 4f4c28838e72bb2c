// Package capacity measures how the cost of each part of a scheduler grows with the size of a
// deployment, extrapolates the measured slopes to the size that the scheduler is designed for, and
// writes the page of them. Parts that one machine holds are real: the decision module, the core,
// scheduler processes. What is beyond is hollow: schedulers without sockets on a virtual clock, workers
// that are entries of the endpoint list only.
//
// A run owns the processes that it starts, and ends them. Between runs the package's state is the file
// of measurements, from which the page can be written anew.
package capacity

import "time"

// The size that the scheduler is designed for.
const (
	TargetWorkers             = 19_000
	TargetAccelerators        = 21_000
	TargetJobsPerDay          = 120_000
	TargetStartsPerSecond     = 8_100 // task starts a second at the peak
	TargetTasks               = 220_000
	TargetGang                = 256
	TargetTeams               = 98
	TargetRegions             = 9
	TargetZones               = 34
	TargetConfigChangesPerDay = 13_000 // of configuration
	TargetFailuresPerDay      = 210
	TargetRestartsPerDay      = 4_900
	TargetControlHosts        = 20
	TargetUrgentStart         = 6300 * time.Millisecond
	TargetConfigInForce       = 14 * time.Second
	TargetControlCPU          = 1.6 // percent of a core that control may take of a scheduler
	TargetControlMemory       = 128 // MB
	TargetControlTraffic      = 24  // KB a second
)

// What is not in the users' figures and has to be assumed.
const (
	assumedRackWorkers = 40      // workers of a rack
	assumedKinds       = 4       // kinds of worker, of even size
	processSockets     = 1024    // descriptors of a scheduler process
	spareSocketDivisor = 16      // part of them that stays spare: one in so many
	socketsPerTask     = 2       // a running task holds a connection on each side
	secondsPerDay      = 86_400  // for rates
	peakToMeanRatio    = 20      // configuration changes in the peak minute over the mean
	kilobyte           = 1 << 10 // KB and MB are binary, as the platform's limits are
	megabyte           = kilobyte * kilobyte
)
