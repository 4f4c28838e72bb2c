package capacity

import "math"

// A Gauge is one value of a worker's load report.
type Gauge uint8

// The gauges that a load report may hold.
const (
	GaugeUnknown    Gauge = iota
	GaugeInFlight         // requests that the worker has
	GaugeQueued           // requests waiting there
	GaugeBusy             // fraction of its cores that is busy
	GaugeLatency          // recent service time in milliseconds
	GaugeThroughput       // requests served a second
	GaugeErrors           // errors a second
	GaugeFreeSlots
	GaugeFreeMemory
)

// MaxGauges is the most values that a load report may hold.
const MaxGauges = 4

// A LoadReport is the last that a worker has reported of its load.
type LoadReport struct {
	gauges     [MaxGauges]float64
	valid      bool    // there is a report of this run of the worker
	sentSlots  float64 // slots sent since then
	receivedAt int64
	totalSlots float64 // that the worker has, as its reports tell; 0: unknown
}

// Valid reports whether there is a report.
func (r *LoadReport) Valid() bool { return r.valid }

// At returns when it came.
func (r *LoadReport) ReceivedAt() int64 { return r.receivedAt }

// CountSlots notes slots that are sent to the worker, or with a negative count are free again.
func (r *LoadReport) AddSentSlots(slots float64) { r.sentSlots += slots }

// Invalidate forgets the report of a process that is no more.
func (r *LoadReport) Invalidate() { r.valid, r.sentSlots = false, 0 }

// TotalSlots returns the slots that the worker has, as its reports tell; 0: unknown.
func (r *LoadReport) TotalSlots() float64 { return r.totalSlots }

// RestoreTotalSlots sets the slots that the worker has.
func (r *LoadReport) RestoreTotalSlots(slots float64) { r.totalSlots = slots }

// MaxSlots is the most that the worker can have at work.
func (r *LoadReport) MaxSlots() float64 {
	if r.totalSlots == 0 {
		return math.Inf(1)
	}
	return r.totalSlots
}

// Reports reads the load reports of all workers, and follows the pressure that is usual.
type Reports struct {
	gauges        []Gauge // what a report holds
	fleetPressure MovingMean
	decayTime     int64 // time in which a report loses its meaning
}

const second = int64(1e9)

// NewReports returns the reader of reports that hold some gauges.
func NewReports(gauges []Gauge) Reports { return Reports{gauges: gauges, decayTime: second} }

// FleetAverage returns the pressure that all workers' reports show.
func (p *Reports) FleetPressure() MovingMean { return p.fleetPressure }

// Decay returns the time in which a report loses its meaning.
func (p *Reports) DecayTime() int64 { return p.decayTime }

// SetDecay sets the time in which a report loses its meaning.
func (p *Reports) SetDecayTime(decayTime int64) { p.decayTime = decayTime }

// Restore takes over another's usual pressure and decay.
func (p *Reports) Restore(fleetPressure MovingMean, decayTime int64) {
	p.fleetPressure, p.decayTime = fleetPressure, decayTime
}

// Record takes over what a worker reports.
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

// Pressure guesses from a worker's report how likely a job of so many slots waits there: 0 to 1. An old
// report tells little, since the jobs it counted have ended: it fades towards what is usual in the fleet.
func (p *Reports) Pressure(r *LoadReport, slots float64, now int64) float64 {
	if !r.valid {
		return p.fleetPressure.Average
	}
	age := float64(now-r.receivedAt) / float64(p.decayTime)
	return p.fleetPressure.Average + (p.ReportPressure(r, slots)-p.fleetPressure.Average)*math.Exp(-age)
}

// Reported is the pressure that a report shows.
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

// Recent reports whether a report still tells almost as much as when it came.
func (p *Reports) Fresh(r *LoadReport, now int64) bool { return now-r.receivedAt < p.decayTime/8 }
