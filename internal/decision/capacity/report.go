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
	slotsSince float64 // slots sent since then
	at         int64
	totalSlots float64 // that the worker has, as its reports tell; 0: unknown
}

// Valid reports whether there is a report.
func (r *LoadReport) Valid() bool { return r.valid }

// At returns when it came.
func (r *LoadReport) At() int64 { return r.at }

// CountSlots notes slots that are sent to the worker, or with a negative count are free again.
func (r *LoadReport) CountSlots(slots float64) { r.slotsSince += slots }

// Invalidate forgets the report of a process that is no more.
func (r *LoadReport) Invalidate() { r.valid, r.slotsSince = false, 0 }

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
	gauges       []Gauge // what a report holds
	fleetAverage MovingMean
	decay        int64 // time in which a report loses its meaning
}

const second = int64(1e9)

// NewReports returns the reader of reports that hold some gauges.
func NewReports(gauges []Gauge) Reports { return Reports{gauges: gauges, decay: second} }

// FleetAverage returns the pressure that all workers' reports show.
func (p *Reports) FleetAverage() MovingMean { return p.fleetAverage }

// Decay returns the time in which a report loses its meaning.
func (p *Reports) Decay() int64 { return p.decay }

// SetDecay sets the time in which a report loses its meaning.
func (p *Reports) SetDecay(decay int64) { p.decay = decay }

// Restore takes over another's usual pressure and decay.
func (p *Reports) Restore(usual MovingMean, decay int64) { p.fleetAverage, p.decay = usual, decay }

// Record takes over what a worker reports.
func (p *Reports) Record(r *LoadReport, gauges [MaxGauges]float64, now int64) {
	r.gauges, r.valid, r.slotsSince, r.at = gauges, true, 0, now
	var values [GaugeFreeMemory + 1]float64
	known := 0
	for i, g := range p.gauges {
		values[g] = gauges[i]
		if g == GaugeInFlight || g == GaugeQueued || g == GaugeFreeSlots {
			known++
		}
	}
	if known == 3 {
		total := math.Round(values[GaugeInFlight] - values[GaugeQueued] + values[GaugeFreeSlots])
		r.totalSlots = max(r.totalSlots, total)
	}
	p.fleetAverage.Add(p.Reported(r, 1))
}

// Pressure guesses from a worker's report how likely a job of so many slots waits there: 0 to 1. An old
// report tells little, since the jobs it counted have ended: it fades towards what is usual in the fleet.
func (p *Reports) Pressure(r *LoadReport, slots float64, now int64) float64 {
	if !r.valid {
		return p.fleetAverage.Average
	}
	age := float64(now-r.at) / float64(p.decay)
	return p.fleetAverage.Average + (p.Reported(r, slots)-p.fleetAverage.Average)*math.Exp(-age)
}

// Reported is the pressure that a report shows.
func (p *Reports) Reported(r *LoadReport, slots float64) float64 {
	pressure, known := 0.0, false
	for i, g := range p.gauges {
		x := r.gauges[i]
		switch g {
		case GaugeFreeSlots:
			free := x - r.slotsSince
			pressure, known = max(pressure, 1/max(1, 2+free-slots)), true
		case GaugeQueued:
			pressure, known = max(pressure, x/(1+x)), true
		case GaugeBusy:
			if !known {
				pressure = max(pressure, x*x)
			}
		}
	}
	return min(pressure, 1)
}

// Recent reports whether a report still tells almost as much as when it came.
func (p *Reports) Recent(r *LoadReport, now int64) bool { return now-r.at < p.decay/8 }
