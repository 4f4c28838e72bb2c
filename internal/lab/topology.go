package lab

import (
	"math"
	"strings"
	"time"
)

// The effects of a class, as the settings name them.
const (
	effectIdempotent   = "idempotent"
	effectDeduplicated = "deduplicated"
	effectAtMostOnce   = "at_most_once"
)

// A WorkerKind is a kind of worker, and how many of it a fleet has.
type WorkerKind struct {
	Name  string
	Count int
	Slots int
	Speed float64 // of a slot; a job's service time is divided by it
}

// A Tenant is a tenant with a quota.
type Tenant struct {
	Name          string
	QuotaFraction float64 // of what the fleet can do
}

// A Class is a class of jobs.
type Class struct {
	Name             string
	Effect           string        // as the settings name it
	ServiceTime      time.Duration // on a slot of speed 1
	JobFraction      float64       // of all jobs
	LatencyObjective time.Duration
	Deadline         time.Duration // from the request on, after which its client gives up
}

// A Topology describes a deployment: its schedulers, workers, tenants and classes of jobs.
type Topology struct {
	Schedulers  int
	Kinds       []WorkerKind
	Zones       []string // workers and schedulers are dealt out to them in turn
	Tenants     []Tenant
	Classes     []Class
	Sockets     int           // descriptors that a scheduler may use
	DedupGroups int           // that the workers are dealt out to; 0: no worker drops repeats
	DedupWindow time.Duration // for which a group drops repeats of a key, where the class is deduplicated
	LoadReports bool          // workers send load reports
	Gossip      bool          // schedulers may send each other messages
	Operator    string        // text of the operator's file, with %s for the control socket's path; "": none
}

// meanServiceTime is the mean service time of a job in seconds, on a slot of speed 1.
func (t *Topology) meanServiceTime() float64 {
	sum := 0.0
	for _, class := range t.Classes {
		sum += class.JobFraction * class.ServiceTime.Seconds()
	}
	return sum
}

// Capacity returns how many jobs a second the fleet can run.
func (t *Topology) Capacity() float64 {
	slots := 0.0
	for _, kind := range t.Kinds {
		slots += float64(kind.Count*kind.Slots) * kind.Speed
	}
	return slots / t.meanServiceTime()
}

// AtMostOnce reports whether a job's id says that it must not run twice. That holds for
// deduplicated jobs as well: a repeat that a worker drops is not a run.
func (t Topology) AtMostOnce(id string) bool {
	for _, class := range t.Classes {
		if class.Effect != effectIdempotent && strings.Contains(id, "/"+class.Name+"/") {
			return true
		}
	}
	return false
}

const (
	assignedCapacityFraction = 0.85 // of the fleet's capacity is given out as quotas
	objectiveStretch         = 2    // service times by which the latency objective grows
)

// Settings returns the settings of a scheduler, as they stand in its configuration file.
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

// Bounds returns the bounds on attempts and connections that the lab's deployments share, as the
// settings have them.
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

// Obligations returns the obligations towards discovery and workers in slow start that the lab's
// deployments share, as the settings have them.
func Obligations() map[string]any {
	return map[string]any{
		"mustAskIn":     10 * time.Second,
		"startCapacity": 0.14,
		"warmAfter":     24 * time.Second,
		"fallMultiple":  3,
		"fall":          time.Second,
	}
}

// reportSettings says how workers report their load.
func (t *Topology) reportSettings() map[string]any {
	if t.LoadReports {
		return map[string]any{"how": "answers", "names": []string{"backlog", "outstanding", "x0"}}
	}
	return map[string]any{"how": "none", "names": []string{}}
}

// classSettings lists the classes; times are in nanoseconds.
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

// tenantSettings lists the tenants with their quotas, rounded to a tenth of a job a second.
func (t *Topology) tenantSettings() (tenants []map[string]any) {
	for _, tenant := range t.Tenants {
		quota := math.Round(tenant.QuotaFraction*assignedCapacityFraction*t.Capacity()*10) / 10
		tenants = append(tenants, map[string]any{"name": tenant.Name, "quotaRps": quota})
	}
	return tenants
}
