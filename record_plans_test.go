package foxlift_test

import "github.com/vatu-meals/foxlift"

// baseConfig returns the configuration of a small deployment with three classes, one of each effect.
func baseConfig() foxlift.Config {
	return foxlift.Config{
		Classes: []foxlift.Class{
			{
				Name: "read", LatencyObjective: 200 * millisecond, ObjectiveStretch: 2, Deadline: 2 * second,
				Kind: -1, PriorityWeight: 1,
			},
			{
				Name: "order", LatencyObjective: 250 * millisecond, ObjectiveStretch: 2, Deadline: 3 * second,
				Effect: foxlift.AtMostOnce, Kind: -1, PriorityWeight: 2,
			},
			{
				Name: "keyed", LatencyObjective: 300 * millisecond, ObjectiveStretch: 1, Deadline: 2 * second,
				Effect: foxlift.Deduplicated, Scope: foxlift.ScopeCell, KeyTTL: 800 * millisecond,
				Kind: -1, PriorityWeight: 1,
			},
		},
		Tenants: []foxlift.Tenant{{Name: "a", Quota: 40}, {Name: "b", Quota: 20}, {Name: "c", Quota: 10}},

		Dispatchers: 1, MayCancel: true, MayHedge: true, MayRetryAfter: true, MaxRetryAfter: second, MaxAttempts: 4,
		StartNotes: true, Gauges: []foxlift.Gauge{foxlift.GaugeFreeSlots}, AnswerGrace: 50 * millisecond,
		SlowStartCapacity: 0.2, SlowStartDuration: 10 * second, OverloadMultiple: 3, OverloadWindow: 2 * second,
		JobsPerConn: 1, MaxPollInterval: 5 * second,
		Prices: foxlift.Prices{CrossZone: 0.1, Handshake: 0.02, Fetch: 0.1},
	}
}

// basePlan returns a plan of a small fleet with a configuration and all faults.
func basePlan(name string, cfg foxlift.Config, seed uint64) fleetPlan {
	return fleetPlan{
		name: name, config: cfg, seed: seed, recorded: cfg.Dispatchers, workers: 8, slots: 2, duration: 45 * second,
		loadFactor: 0.9, runtimes: []int64{90 * millisecond, 140 * millisecond, 110 * millisecond},
		tenantWeights: []float64{6, 3, 1, 0.1},
		keyCount:      30, abnormalOutcomes: 0.02, disconnects: 0.02,
		faultPlan: faultPlan{faultInterval: 3 * second, faults: []fault{
			faultDrain, faultCrash, faultZoneRestart, faultHang, faultErrors, faultSaturation, faultFlood, faultFlood,
			faultQuotas,
			faultResync, faultExternalUsage, faultTakeover, faultProcessRestart, faultBrokenContract, faultDiscovery,
		}},
	}
}

// fleetPlans returns the plans of the recorded fleets.
func fleetPlans() []fleetPlan {
	return []fleetPlan{
		singleDispatcherPlan(), overloadPlan(), peersPlan(), withoutGossipPlan(), bandsPlan(), throttledPlan(),
		leasePlan(), outagesPlan(), minimalPlan(),
		manyPlan(), manySlowStartPlan(), manyKeysPlan(), manyWorkersPlan(), disconnectsPlan(),
	}
}

// singleDispatcherPlan returns a plan of one dispatcher. One of its classes has a deadline before its objective.
func singleDispatcherPlan() fleetPlan {
	cfg := baseConfig()
	cfg.Classes[2].LatencyObjective, cfg.Classes[2].Deadline = 900*millisecond, 500*millisecond
	return basePlan("lone", cfg, 1)
}

// overloadPlan returns a plan with more load than the workers' capacity for most of the time.
func overloadPlan() fleetPlan {
	p := basePlan("overload", baseConfig(), 2)
	p.loadFactor, p.duration = 1.4, 30*second
	p.config.Tenants = []foxlift.Tenant{{Name: "a", Quota: 90}, {Name: "b", Quota: 50}, {Name: "c", Quota: 40}}
	p.faults = []fault{faultFlood, faultTakeover, faultZoneRestart, faultCrash}
	return p
}

// peersPlan returns a plan of three dispatchers that exchange their usage.
func peersPlan() fleetPlan {
	cfg := baseConfig()
	cfg.Dispatchers, cfg.MayGossip, cfg.SlotMemory = 3, true, 1
	cfg.Gauges = []foxlift.Gauge{foxlift.GaugeQueued, foxlift.GaugeInFlight, foxlift.GaugeFreeSlots}
	cfg.Classes[2].Scope = foxlift.ScopeZone
	p := basePlan("peers", cfg, 3)
	p.mixedRequests, p.duration = true, 20*second
	return p
}

// withoutGossipPlan returns a plan of three dispatchers without gossip that send health checks.
func withoutGossipPlan() fleetPlan {
	cfg := baseConfig()
	cfg.Dispatchers, cfg.MayHealthCheck, cfg.PollEndpoints = 3, true, true
	cfg.Gauges = []foxlift.Gauge{foxlift.GaugeBusy, foxlift.GaugeThroughput, foxlift.GaugeQueued}
	cfg.Classes[2].Scope, cfg.Classes[0].Stream = foxlift.ScopeAll, true
	p := basePlan("unaware", cfg, 4)
	p.workers, p.duration, p.mixedRequests = 12, 20*second, true
	return p
}

// bandsPlan returns a plan in which quotas are bands and tenants flood.
func bandsPlan() fleetPlan {
	cfg := baseConfig()
	cfg.Dispatchers = 2
	cfg.Bands = []foxlift.Band{
		{Width: 60, Ratio: []float64{1, 1, 1}},
		{Width: 100, Ratio: []float64{3, 0, 1}},
		{Width: 50, Ratio: []float64{0, 2, 0}},
	}
	p := basePlan("bands", cfg, 5)
	p.loadFactor, p.duration = 1.2, 25*second
	p.faults = []fault{faultFlood, faultFlood, faultCrash, faultTakeover, faultQuotas}
	return p
}

// throttledPlan returns a plan whose latency objectives are shorter than the run times, so that the control loops
// admit less than arrives. The unused part of a tenant's share goes to the other tenants.
func throttledPlan() fleetPlan {
	cfg := baseConfig()
	for i := range cfg.Classes {
		cfg.Classes[i].LatencyObjective, cfg.Classes[i].ObjectiveStretch = 130*millisecond, 0
	}
	p := basePlan("throttled", cfg, 12)
	p.loadFactor, p.duration, p.tenantWeights = 0.8, 40*second, []float64{8, 3, 0.1, 0}
	p.faults = []fault{faultFlood, faultQuotas, faultTakeover, faultErrors}
	return p
}

// leasePlan returns a plan with an endpoint lease and a discovery that often fails.
func leasePlan() fleetPlan {
	cfg := baseConfig()
	cfg.EndpointLease, cfg.PollEndpoints, cfg.MaxPollInterval, cfg.ConnIdle = 6*second, true, 3*second, second
	p := basePlan("lease", cfg, 6)
	p.loadFactor, p.duration, p.faultInterval = 0.5, 60*second, 2*second
	p.faults = []fault{
		faultDiscovery, faultDiscovery, faultDiscovery, faultDiscoveryChange, faultProcessRestart, faultDrain,
		faultSaturation,
	}
	return p
}

// outagesPlan returns a plan with each kind of discovery outage, long enough for the age of the list to matter.
func outagesPlan() fleetPlan {
	p := leasePlan()
	p.name, p.seed, p.loadFactor, p.duration, p.faults = "outages", 13, 0.3, 70*second, nil
	p.config.Dispatchers, p.recorded = 2, 2
	p.scheduled = []scheduledFault{
		{second, faultRetirement},
		{3 * second, faultOutage(foxlift.FailureBusy, 15*second)},
		{11 * second, faultFleetSaturation},
		{20 * second, faultOutage(foxlift.FailureInvalid, 5*second)},
		{26 * second, faultOutage(foxlift.FailureUnanswered, 11*second)},
		{27 * second, faultFirstRestart},
		{40 * second, faultOutage(foxlift.FailureBusy, 9*second)},
		{40 * second, faultDiscoveryChange},
		{51 * second, faultOutage(foxlift.FailureDown, 8*second)},
		{61 * second, faultOutage(foxlift.FailureInvalid, 8*second)},
	}
	return p
}

// minimalPlan returns a plan with all optional features off and no load reports.
func minimalPlan() fleetPlan {
	cfg := baseConfig()
	cfg.Dispatchers, cfg.MayCancel, cfg.MayHedge, cfg.MayRetryAfter, cfg.StartNotes = 2, false, false, false, false
	cfg.Gauges, cfg.Tenants, cfg.Prices, cfg.MaxAttempts = nil, nil, foxlift.Prices{}, 0
	p := basePlan("plain", cfg, 7)
	p.tenantWeights, p.duration = nil, 40*second
	return p
}

// manyConfig returns the configuration of a deployment of many dispatchers with workers of several kinds.
func manyConfig() foxlift.Config {
	cfg := baseConfig()
	cfg.Dispatchers, cfg.Gauges, cfg.MaxAttempts = 80, nil, 3
	one := cfg.Classes[0]
	one.Name, one.Kind, one.LatencyObjective = "other kind", 1, 300*millisecond
	cfg.Classes = append(cfg.Classes, one)
	return cfg
}

// manyPlan returns a plan that records some of many dispatchers, which have few jobs each.
func manyPlan() fleetPlan {
	p := basePlan("many", manyConfig(), 8)
	p.recorded, p.workers, p.kinds, p.loadFactor, p.duration, p.externalUsage, p.keyCount =
		4, 40, 3, 0.12, 30*second, 0.3, 0
	p.runtimes = []int64{60 * millisecond, 90 * millisecond, 80 * millisecond, 200 * millisecond}
	p.unreachableWorker = true
	return p
}

// manySlowStartPlan returns a plan of some of twenty dispatchers that start together with all their workers.
func manySlowStartPlan() fleetPlan {
	cfg := manyConfig()
	cfg.Dispatchers, cfg.MayGossip, cfg.SlowStartDuration = 20, true, 20*second
	cfg.Classes[3].Effect = foxlift.AtMostOnce
	p := basePlan("many-slow-start", cfg, 9)
	p.recorded, p.workers, p.kinds, p.loadFactor, p.duration, p.slowStart, p.externalUsage =
		5, 20, 2, 0.4, 25*second, true, 0.5
	p.runtimes = []int64{60 * millisecond, 90 * millisecond, 80 * millisecond, 200 * millisecond}
	p.faults = []fault{faultZoneRestart, faultCrash, faultTakeover, faultProcessRestart, faultDrain}
	return p
}

// manyKeysPlan returns a plan of some of many dispatchers whose jobs have affinity keys.
func manyKeysPlan() fleetPlan {
	p := manyPlan()
	p.name, p.seed, p.keyCount, p.mixedRequests = "many-keys", 10, 40, true
	return p
}

// disconnectsPlan returns a plan of some of many dispatchers with few workers, which are often saturated, and
// clients that often disconnect before their jobs have started.
func disconnectsPlan() fleetPlan {
	cfg := manyConfig()
	cfg.Dispatchers = 20
	p := basePlan("impatient", cfg, 14)
	p.recorded, p.workers, p.kinds, p.loadFactor, p.duration, p.externalUsage, p.disconnects =
		2, 4, 2, 0.6, 30*second, 0.6, 0.6
	p.runtimes = []int64{60 * millisecond, 90 * millisecond, 80 * millisecond, 200 * millisecond}
	p.faults, p.faultInterval = []fault{faultSaturation, faultSaturation, faultHang}, second
	return p
}

// manyWorkersPlan returns a plan of one of many dispatchers with more workers than it examines for one job.
func manyWorkersPlan() fleetPlan {
	p := manyPlan()
	p.name, p.seed, p.recorded, p.workers, p.loadFactor, p.duration, p.keyCount =
		"many-workers", 11, 1, 2035, 0.0025, 20*second, 500
	p.config.Prices.CrossZone = 0 // all workers may be in affinity sets; about half of them are compared for a key
	p.faults = []fault{faultDrain, faultResync, faultErrors, faultZoneRestart, faultTakeover}
	p.faultInterval = 5 * second
	return p
}
