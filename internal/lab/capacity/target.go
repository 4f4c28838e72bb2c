// Package capacity measures how the cost of each part of a scheduler grows with the size of a deployment, extrapolates
// the measurements to the size that the scheduler is designed for (the target size), and renders a page of the results.
// The parts that fit on one machine are real: the decision module, the core and scheduler processes. The other parts
// are hollow, that is, simulated: schedulers without sockets on a virtual clock, and workers that are only entries of
// the endpoint list.
//
// A run owns the processes that it starts, and stops them. Between runs the package's only state is the file of
// measurements, from which the page can be rendered again.
package capacity

import "time"

// The target size, that is, the size that the scheduler is designed for.
const (
	TargetWorkers             = 19_000
	TargetAccelerators        = 21_000
	TargetJobsPerDay          = 120_000
	TargetStartsPerSecond     = 8_100   // task starts a second at the peak
	TargetTasks               = 220_000 // running at a time
	TargetGang                = 256     // slots of the largest gang
	TargetTeams               = 98
	TargetRegions             = 9
	TargetZones               = 34
	TargetConfigChangesPerDay = 13_000                  // configuration changes
	TargetFailuresPerDay      = 210                     // failures of workers
	TargetRestartsPerDay      = 4_900                   // restarts of workers
	TargetControlHosts        = 20                      // machines for control
	TargetUrgentStart         = 6300 * time.Millisecond // within which urgent work starts
	TargetConfigInForce       = 14 * time.Second        // from a configuration change until it is in force
	TargetControlCPU          = 1.6                     // percent of a core that control may use in a scheduler process
	TargetControlMemory       = 128                     // MB that a scheduler process without jobs may use
	TargetControlTraffic      = 24                      // KB per second that control may transfer in a scheduler process
)

// Assumptions where the users' figures contain no value, and units.
const (
	assumedRackWorkers = 40      // workers in a rack
	assumedKinds       = 4       // kinds of worker, with equal numbers of slots
	processSockets     = 1024    // file descriptors of a scheduler process
	spareSocketDivisor = 16      // one in this many descriptors stays spare
	socketsPerTask     = 2       // a running task holds a connection on each side
	secondsPerDay      = 86_400  // converts numbers per day to rates
	peakToMeanRatio    = 20      // ratio of configuration changes in the peak minute to the mean
	kilobyte           = 1 << 10 // KB and MB are binary, like the platform's limits
	megabyte           = kilobyte * kilobyte
)
