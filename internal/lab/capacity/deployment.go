package capacity

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/lab"
)

// A deployment is the size of the fleet that a hollow scheduler is configured for.
type deployment struct {
	workers, schedulers, teams int
}

// classes are the classes of the hollow deployment: most jobs are light and may be repeated, some are heavy and may
// not.
var classes = []map[string]any{
	{"name": "light", "aim": 500 * time.Millisecond, "deadline": 5 * time.Second, "effect": "idempotent", "gain": 1},
	{"name": "heavy", "aim": 2 * time.Second, "deadline": 25 * time.Second, "effect": "at_most_once", "gain": 5},
}

// settingsDocument returns the settings of scheduler 0 as the JSON text of its configuration.
func (d deployment) settingsDocument() ([]byte, error) {
	var teams []map[string]any
	for i := range d.teams {
		teams = append(teams, map[string]any{"name": teamName(i), "quotaRps": 10 * (1 + i%7)})
	}
	var zones, kinds []string
	for i := range TargetZones {
		zones = append(zones, zoneName(i))
	}
	for i := range assumedKinds {
		kinds = append(kinds, kindName(i))
	}
	return json.Marshal(map[string]any{
		"balancers":   d.schedulers,
		"slotNo":      0,
		"discovery":   "subscribe",
		"dcs":         zones,
		"zone":        zones[0],
		"flavors":     kinds,
		"grades":      classes,
		"projects":    teams,
		"familyInfo":  map[string]any{"classStretch": []float64{2, 2}, "tellsStart": true},
		"bounds":      lab.Bounds(),
		"obligations": lab.Obligations(),
	})
}

// settings returns the parsed settings of scheduler 0.
func (d deployment) settings() (*config.Settings, error) {
	text, err := d.settingsDocument()
	if err != nil {
		return nil, err
	}
	return config.ParseSettings(text)
}

// endpoints returns the complete endpoint list.
func (d deployment) endpoints() []foxlift.Worker {
	workers := make([]foxlift.Worker, d.workers)
	for i := range workers {
		workers[i] = hollowWorker(i)
	}
	return workers
}

// workersPerCell is the number of hollow workers in a cell.
const workersPerCell = 8

// hollowWorker returns the hollow worker with a number, as an entry of the endpoint list.
func hollowWorker(i int) foxlift.Worker {
	return foxlift.Worker{ID: workerName(i), Zone: i % TargetZones, Kind: i % assumedKinds, Cell: i / workersPerCell}
}

// Names of hollow workers, zones, kinds and teams, by their numbers.
func workerName(i int) string { return fmt.Sprintf("worker-%05d", i) }
func zoneName(i int) string   { return fmt.Sprintf("zone-%02d", i) }
func kindName(i int) string   { return fmt.Sprintf("kind-%d", i) }
func teamName(i int) string   { return fmt.Sprintf("team-%02d", i) }
