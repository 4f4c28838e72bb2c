package lab

import (
	"math"
	"strings"
	"time"
)

// The effects of a class, as the settings spell them.
const (
	effectIdempotent   = "idempotent"
	effectDeduplicated = "deduplicated"
	effectAtMostOnce   = "at_most_once"
)

// A WorkerKind describes the workers of one kind in a fleet.
type WorkerKind struct {
	Name  string
	Count int     // workers of the kind
	Slots int     // of each worker
	Speed float64 // of a slot; divides the service time of a job
}

// A Tenant describes a tenant and its quota.
type Tenant struct {
	Name          string
	QuotaFraction float64 // share of the quotas' part of the fleet's capacity
}

// A Class describes a class of jobs.
type Class struct {
	Name             string
	Effect           string        // one of the effects above
	ServiceTime      time.Duration // on a slot of speed 1
	JobFraction      float64       // share of all jobs
	LatencyObjective time.Duration // without the part that grows with the service time
	Deadline         time.Duration // from the request until its client gives up
}

// A Topology describes a deployment: its schedulers, workers, tenants and classes of jobs.
type Topology struct {
	Schedulers  int
	Kinds       []WorkerKind
	Zones       []string // workers and schedulers are assigned to them in turn
	Tenants     []Tenant
	Classes     []Class
	Sockets     int           // file descriptors that a scheduler may use
	MemoryMB    int           // memory in MiB that a scheduler may use; 0: the most that it accepts
	DedupGroups int           // deduplication groups that the workers are assigned to in turn; 0: no deduplication
	DedupWindow time.Duration // for which a group drops repeats of an idempotency key of a deduplicated class
	LoadReports bool          // workers send load reports
	Gossip      bool          // schedulers may send each other messages
	Operator    string        // operator's file, with a formatting verb for the path of the control socket; "": none
}

// meanServiceTime returns the mean service time of a job in seconds, on a slot of speed 1.
func (t *Topology) meanServiceTime() float64 {
	sum := 0.0
	for _, class := range t.Classes {
		sum += class.JobFraction * class.ServiceTime.Seconds()
	}
	return sum
}

// Capacity returns the number of jobs a second that the fleet can run, with all workers at full capacity.
func (t *Topology) Capacity() float64 {
	slots := 0.0
	for _, kind := range t.Kinds {
		slots += float64(kind.Count*kind.Slots) * kind.Speed
	}
	return slots / t.meanServiceTime()
}

// AtMostOnce reports whether a job must not run twice, by the class in its id. That includes deduplicated jobs: a
// repeat that a worker drops is not a run. It returns false for an id without the name of a class of the topology.
func (t Topology) AtMostOnce(id string) bool {
	for _, class := range t.Classes {
		if class.Effect != effectIdempotent && strings.Contains(id, "/"+class.Name+"/") {
			return true
		}
	}
	return false
}

const (
	assignedCapacityFraction = 0.85 // part of the fleet's capacity that is assigned as quotas
	objectiveStretch         = 2    // multiple of the service time that is added to a class's latency objective
)

// Settings returns the settings of the scheduler with an index, in the format of its configuration file. Durations are
// encoded in nanoseconds. Zones must not be empty.
func (t Topology) Settings(scheduler int) map[string]any {
	var kinds []string
	for _, kind := range t.Kinds {
		kinds = append(kinds, kind.Name)
	}
	var stretches []float64
	for range t.Classes {
		stretches = append(stretches, objectiveStretch)
	}
	bounds := Bounds()
	bounds["peerMessages"] = t.Gossip
	bounds["secondCopies"] = true
	obligations := Obligations()
	obligations["drainGrace"] = 750 * time.Millisecond
	obligations["graceToAnswer"] = 8 * time.Millisecond
	return map[string]any{
		"report":    t.reportSettings(),
		"balancers": t.Schedulers,
		"slotNo":    scheduler,
		"discovery": "subscribe",
		"dcs":       t.Zones,
		"zone":      t.Zones[scheduler%len(t.Zones)],
		"flavors":   kinds,
		"grades":    t.classSettings(),
		"projects":  t.tenantSettings(),
		"familyInfo": map[string]any{
			"classStretch": stretches,
			"tellsStart":   true,
			"reportX0":     "free slots",
		},
		"bounds":      bounds,
		"obligations": obligations,
		"prices":      map[string]any{"crossZone": 0.01, "handshake": 0.02},
	}
}

// Bounds returns the settings "bounds" on attempts and connections that all deployments of the lab share.
func Bounds() map[string]any {
	return map[string]any{
		"cancel":         true,
		"retryAfter":     true,
		"maxRetryAfter":  2 * time.Second,
		"maxAttempts":    3,
		"connIdle":       30 * time.Second,
		"connectTimeout": time.Second,
		"streamsPerConn": 1,
	}
}

// Obligations returns the settings "obligations", towards discovery and workers in slow start, that all deployments of
// the lab share.
func Obligations() map[string]any {
	return map[string]any{
		"mustAskIn":     10 * time.Second,
		"startCapacity": 0.14,
		"warmAfter":     24 * time.Second,
		"fallMultiple":  3,
		"fall":          time.Second,
	}
}

// reportSettings returns the settings "report" on the load reports of workers.
func (t *Topology) reportSettings() map[string]any {
	if t.LoadReports {
		return map[string]any{"how": "answers", "names": []string{"backlog", "outstanding", "x0"}}
	}
	return map[string]any{"how": "none", "names": []string{}}
}

// classSettings returns the settings of the classes. Times are in nanoseconds.
func (t *Topology) classSettings() (classes []map[string]any) {
	for _, class := range t.Classes {
		classes = append(classes, map[string]any{
			"name":       class.Name,
			"aim":        class.LatencyObjective,
			"deadline":   class.Deadline,
			"effect":     class.Effect,
			"gain":       1,
			"dedupScope": "cell",
			"keyTtl":     t.DedupWindow,
		})
	}
	return classes
}

// tenantSettings returns the settings of the tenants, with quotas rounded to a tenth of a job a second.
func (t *Topology) tenantSettings() (tenants []map[string]any) {
	for _, tenant := range t.Tenants {
		quota := math.Round(tenant.QuotaFraction*assignedCapacityFraction*t.Capacity()*10) / 10
		tenants = append(tenants, map[string]any{"name": tenant.Name, "quotaRps": quota})
	}
	return tenants
}
