package capacity

import "math"

// A Gauge is one value of a worker's load report.
type Gauge uint8

// The gauges that a load report may hold.
const (
	GaugeUnknown    Gauge = iota
	GaugeInFlight         // requests at the worker, queued or running
	GaugeQueued           // requests queued at the worker
	GaugeBusy             // fraction of its cores in use, 0 to 1
	GaugeLatency          // recent service time in milliseconds
	GaugeThroughput       // requests served per second
	GaugeErrors           // errors per second
	GaugeFreeSlots
	GaugeFreeMemory
)

// MaxGauges is the maximum number of values in a load report.
const MaxGauges = 4

// A LoadReport is the last load report of a worker.
type LoadReport struct {
	gauges     [MaxGauges]float64
	valid      bool    // there is a report from the current process of the worker
	sentSlots  float64 // slots sent since the report, less those freed
	receivedAt int64
	totalSlots float64 // total slots of the worker, from its reports; 0: unknown
}

// Valid reports whether there is a report from the current process of the worker.
func (r *LoadReport) Valid() bool { return r.valid }

// ReceivedAt returns when the last report was received.
func (r *LoadReport) ReceivedAt() int64 { return r.receivedAt }

// AddSentSlots counts slots of jobs sent to the worker since the report; a negative count is of slots freed.
func (r *LoadReport) AddSentSlots(slots float64) { r.sentSlots += slots }

// Invalidate discards the report after the worker's process has ended. The total slots stay.
func (r *LoadReport) Invalidate() { r.valid, r.sentSlots = false, 0 }

// TotalSlots returns the slots that the worker has according to its reports; 0: unknown.
func (r *LoadReport) TotalSlots() float64 { return r.totalSlots }

// RestoreTotalSlots sets the total slots of the worker.
func (r *LoadReport) RestoreTotalSlots(slots float64) { r.totalSlots = slots }

// MaxSlots returns the most slots that the worker can have in use: TotalSlots, or infinity if unknown.
func (r *LoadReport) MaxSlots() float64 {
	if r.totalSlots == 0 {
		return math.Inf(1)
	}
	return r.totalSlots
}

// Reports interprets the load reports of all workers and keeps the average pressure of the fleet.
type Reports struct {
	gauges        []Gauge // the values of a report, in order
	fleetPressure MovingMean
	decayTime     int64 // time in which the weight of a report falls to 1/e, nanoseconds
}

const second = int64(1e9)

// NewReports returns Reports for load reports that hold the given gauges, in this order.
func NewReports(gauges []Gauge) Reports { return Reports{gauges: gauges, decayTime: second} }

// FleetPressure returns the moving mean of the pressure in all workers' reports.
func (p *Reports) FleetPressure() MovingMean { return p.fleetPressure }

// DecayTime returns the time in which the weight of a report falls to 1/e.
func (p *Reports) DecayTime() int64 { return p.decayTime }

// SetDecayTime sets the time in which the weight of a report falls to 1/e.
func (p *Reports) SetDecayTime(decayTime int64) { p.decayTime = decayTime }

// Restore sets the average pressure and the decay time.
func (p *Reports) Restore(fleetPressure MovingMean, decayTime int64) {
	p.fleetPressure, p.decayTime = fleetPressure, decayTime
}

// Record stores a worker's report in r and updates the fleet's average pressure. If the report holds the
// requests in flight, queued requests and free slots, the worker's total slots become in flight - queued +
// free if that is more; they never fall.
func (p *Reports) Record(r *LoadReport, gauges [MaxGauges]float64, now int64) {
	r.gauges, r.valid, r.sentSlots, r.receivedAt = gauges, true, 0, now
	var values [GaugeFreeMemory + 1]float64
	slotGauges := 0
	for i, g := range p.gauges {
		values[g] = gauges[i]
		if g == GaugeInFlight || g == GaugeQueued || g == GaugeFreeSlots {
			slotGauges++
		}
	}
	if slotGauges == 3 {
		total := math.Round(values[GaugeInFlight] - values[GaugeQueued] + values[GaugeFreeSlots])
		r.totalSlots = max(r.totalSlots, total)
	}
	p.fleetPressure.Add(p.ReportPressure(r, 1))
}

// Pressure estimates how likely a job of so many slots has to wait at a worker, 0 to 1, from the worker's
// report. With the report's age the estimate decays to the fleet's average, since the jobs that the report
// counted have ended. Without a valid report it is the fleet's average.
func (p *Reports) Pressure(r *LoadReport, slots float64, now int64) float64 {
	if !r.valid {
		return p.fleetPressure.Average
	}
	age := float64(now-r.receivedAt) / float64(p.decayTime)
	return p.fleetPressure.Average + float64((p.ReportPressure(r, slots)-p.fleetPressure.Average)*math.Exp(-age))
}

// ReportPressure returns the pressure that a report shows for a job of so many slots, 0 to 1, at any age: 1
// if the free slots are short by one or more, and 0 if it holds no gauge of free slots, queue or busy cores.
// Busy cores count only if neither of the other two comes before them in the report.
func (p *Reports) ReportPressure(r *LoadReport, slots float64) float64 {
	pressure, queueKnown := 0.0, false
	for i, g := range p.gauges {
		value := r.gauges[i]
		switch g {
		case GaugeFreeSlots:
			free := value - r.sentSlots
			pressure, queueKnown = max(pressure, 1/max(1, 2+free-slots)), true
		case GaugeQueued:
			pressure, queueKnown = max(pressure, value/(1+value)), true
		case GaugeBusy:
			if !queueKnown {
				pressure = max(pressure, value*value)
			}
		}
	}
	return min(pressure, 1)
}

// Fresh reports whether a report, valid or not, is younger than an eighth of the decay time: it has lost
// little weight.
func (p *Reports) Fresh(r *LoadReport, now int64) bool { return now-r.receivedAt < p.decayTime/8 }
