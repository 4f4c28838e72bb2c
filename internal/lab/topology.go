package lab

import (
	"math"
	"strings"
	"time"
)

// A Kind is a kind of execute node.
type WorkerKind struct {
	Name  string
	Count int
	Slots int
	Speed float64 // of a slot, against 1
}

// A Tenant is a tenant with its share of what the fleet can do.
type Tenant struct {
	Name          string
	QuotaFraction float64
}

// A World is what a rig is made of.
type Topology struct {
	Schedulers  int
	Kinds       []WorkerKind
	Zones       []string
	Tenants     []Tenant
	Classes     []Class
	Sockets     int           // descriptors of a scheduler
	Groups      int           // that the nodes are dealt out to; 0: they know no repeats
	DedupWindow time.Duration // in which a pod drops repeats of jobs whose class has the effect "deduplicated"
	LoadReports bool          // nodes report their load
	Gossip      bool          // schedulers may send each other messages
	Operator    string        // text of the operator's file, with %s for the control socket's path; "": none
}

// A Class is a class of jobs.
type Class struct {
	Name             string
	Effect           string
	ServiceTime      time.Duration // on a slot of speed 1
	JobFraction      float64       // of the jobs
	LatencyObjective time.Duration
	Deadline         time.Duration // that its submitters have
}

// mean is the mean work of a job.
func (w *Topology) meanServiceTime() float64 {
	sum := 0.0
	for _, c := range w.Classes {
		sum += c.JobFraction * c.ServiceTime.Seconds()
	}
	return sum
}

// Capacity is how many jobs a second the fleet can run.
func (w *Topology) Capacity() float64 {
	slots := 0.0
	for _, k := range w.Kinds {
		slots += float64(k.Count*k.Slots) * k.Speed
	}
	return slots / w.meanServiceTime()
}

// Settings returns the settings of scheduler i, as the platform's configuration has them.
func (w Topology) Settings(i int) map[string]any {
	ns := func(d time.Duration) int64 { return int64(d) }
	var classes, tenants []map[string]any
	var kinds []string
	var stretch []float64
	for _, c := range w.Classes {
		classes = append(classes, map[string]any{
			"name": c.Name, "aim": ns(c.LatencyObjective), "deadline": ns(c.Deadline), "effect": c.Effect, "gain": 1,
			"dedupScope": "cell", "keyTtl": ns(w.DedupWindow),
		})
		stretch = append(stretch, 2)
	}
	for _, t := range w.Tenants {
		tenants = append(tenants, map[string]any{"name": t.Name, "quotaRps": math.Round(t.QuotaFraction*0.85*w.Capacity()*10) / 10})
	}
	for _, k := range w.Kinds {
		kinds = append(kinds, k.Name)
	}
	report := map[string]any{"how": "none", "names": []string{}}
	if w.LoadReports {
		report = map[string]any{"how": "answers", "names": []string{"backlog", "outstanding", "x0"}}
	}
	return map[string]any{
		"report": report, "balancers": w.Schedulers, "slotNo": i, "discovery": "subscribe", "dcs": w.Zones, "zone": w.Zones[i%len(w.Zones)], "flavors": kinds,
		"grades": classes, "projects": tenants, "familyInfo": map[string]any{"classStretch": stretch, "tellsStart": true, "reportX0": "free slots"},
		"bounds": map[string]any{
			"cancel": true, "peerMessages": w.Gossip, "secondCopies": true, "retryAfter": true, "maxRetryAfter": ns(2 * time.Second),
			"maxAttempts": 3, "connIdle": ns(30 * time.Second), "connectTimeout": ns(time.Second), "streamsPerConn": 1,
		},
		"obligations": map[string]any{
			"drainGrace": ns(750 * time.Millisecond), "graceToAnswer": ns(8 * time.Millisecond), "mustAskIn": ns(10 * time.Second),
			"startCapacity": 0.14, "warmAfter": ns(24 * time.Second), "fallMultiple": 3, "fall": ns(time.Second),
		},
		"prices": map[string]any{"crossZone": 0.01, "handshake": 0.02},
	}
}

// AtMostOnce reports whether a job's id says that it must not run twice: also not where its
// nodes drop repeats, which are no runs.
func (w Topology) AtMostOnce(id string) bool {
	for _, c := range w.Classes {
		if c.Effect != "idempotent" && strings.Contains(id, "/"+c.Name+"/") {
			return true
		}
	}
	return false
}
