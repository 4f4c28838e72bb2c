package config

import (
	"reflect"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift"
)

// allKeysSettings sets each key of the settings. Values of the same type differ, so that a mix-up is detected.
const allKeysSettings = `{"balancers":9,"slotNo":3,"zone":"b","dcs":["a","b"],"flavors":["k","l"],` +
	`"discovery":"subscribe",
"grades":[{"name":"first","aim":11,"aimStretch":1.5,"deadline":12,"effect":"deduplicated","dedupScope":"zone",
 "keyTtl":13,"gain":2.5,"stream":true},
 {"name":"second","aim":14,"deadline":15,"effect":"at_most_once"},
 {"name":"third","aim":16,"deadline":17,"effect":"idempotent","dedupScope":"cell"}],
"projects":[{"name":"islands","quotaRps":3.5},{"name":"borders","quotaRps":4.5}],
"bounds":{"cancel":true,"probes":true,"secondCopies":true,"peerMessages":true,"retryAfter":true,"maxRetryAfter":21,
 "maxAttempts":22,"maxOpen":23,"connIdle":24,"connectTimeout":25,"streamsPerConn":26},
"obligations":{"graceToAnswer":31,"mustAskIn":32,"drainGrace":33,"startCapacity":0.5,"warmAfter":34,"fallMultiple":5.5,
 "fall":35},
"prices":{"crossZone":6.5,"handshake":7.5,"origin":8.5},
"report":{"names":["outstanding","x0","x1","utilization"]},
"familyInfo":{"classKind":[1,0],"classPriority":[41,42],"classStretch":[0.25,0.75],"tellsStart":true,
 "memoryUnit":"one unit for each slot","progress":43,"reportX0":"free slots","reportX1":"free memory"}}`

// boolSettings returns the fields of the settings that are true in allKeysSettings, by key.
func boolSettings(c *foxlift.Config) map[string]bool {
	return map[string]bool{
		"bounds.cancel": c.MayCancel, "bounds.probes": c.MayHealthCheck, "bounds.secondCopies": c.MayHedge,
		"bounds.peerMessages": c.MayGossip, "bounds.retryAfter": c.MayRetryAfter, "familyInfo.tellsStart": c.StartNotes,
		"discovery": c.PollEndpoints,
	}
}

// TestEveryKeyIsRead checks that each key of the settings sets its field.
func TestEveryKeyIsRead(t *testing.T) {
	s, err := ParseSettings([]byte(allKeysSettings))
	if err != nil {
		t.Fatal(err)
	}
	c := &s.Module
	for key, on := range boolSettings(c) {
		if !on {
			t.Errorf("the field of key %s = false, want true", key)
		}
	}
	for _, setting := range []struct {
		key       string
		got, want any
	}{
		{"balancers", c.Dispatchers, 9},
		{"slotNo", c.Index, 3},
		{"zone", s.Zone, "b"},
		{"dcs", c.Zone, 1},
		{"discovery", s.Discovery, "subscribe"},
		{"flavors", s.Kinds, map[string]int{"k": 0, "l": 1}},
		{"projects", c.Tenants, []foxlift.Tenant{{Name: "islands", Quota: 3.5}, {Name: "borders", Quota: 4.5}}},
		{"bounds.maxRetryAfter", c.MaxRetryAfter, int64(21)},
		{"bounds.maxAttempts", c.MaxAttempts, 22},
		{"bounds.maxOpen", s.MaxOpen, 23},
		{"bounds.connIdle", c.ConnIdle, int64(24)},
		{"bounds.connectTimeout", s.ConnectTimeout, 25 * time.Nanosecond},
		{"bounds.streamsPerConn", c.JobsPerConn, 26},
		{"obligations.graceToAnswer", c.AnswerGrace, int64(31)},
		{"obligations.mustAskIn", c.MaxPollInterval, int64(32)},
		{"obligations.drainGrace", s.DrainGrace, 33 * time.Nanosecond},
		{"obligations.startCapacity", c.SlowStartCapacity, 0.5},
		{"obligations.warmAfter", c.SlowStartDuration, int64(34)},
		{"obligations.fallMultiple", c.OverloadMultiple, 5.5},
		{"obligations.fall", c.OverloadWindow, int64(35)},
		{"prices.crossZone", c.Prices.CrossZone, 6.5},
		{"prices.handshake", c.Prices.Handshake, 7.5},
		{"prices.origin", c.Prices.Fetch, 8.5},
		{"report.names", s.GaugeNames, []string{"outstanding", "x0", "x1", "utilization"}},
		{"familyInfo.reportX0, reportX1", c.Gauges, []foxlift.Gauge{
			foxlift.GaugeInFlight, foxlift.GaugeFreeSlots, foxlift.GaugeFreeMemory, foxlift.GaugeBusy,
		}},
		{"familyInfo.memoryUnit", c.SlotMemory, 1.0},
		{"familyInfo.progress", s.ProgressInterval, 43 * time.Nanosecond},
	} {
		if !reflect.DeepEqual(setting.got, setting.want) {
			t.Errorf("the field of key %s = %v, want %v", setting.key, setting.got, setting.want)
		}
	}
}

// TestEveryKeyOfAClassIsRead checks that each key of a class sets its field.
func TestEveryKeyOfAClassIsRead(t *testing.T) {
	s, err := ParseSettings([]byte(allKeysSettings))
	if err != nil {
		t.Fatal(err)
	}
	want := []foxlift.Class{
		{
			Name: "first", LatencyObjective: 11, ObjectiveStretch: 1.75, Deadline: 12, Effect: foxlift.Deduplicated,
			Scope: foxlift.ScopeZone, KeyTTL: 13, Kind: 1, Priority: 41, PriorityWeight: 2.5, Stream: true,
		},
		{
			Name: "second", LatencyObjective: 14, ObjectiveStretch: 0.75, Deadline: 15, Effect: foxlift.AtMostOnce,
			Priority: 42,
		},
		{Name: "third", LatencyObjective: 16, Deadline: 17, Scope: foxlift.ScopeCell, Kind: -1},
	}
	if !reflect.DeepEqual(s.Module.Classes, want) {
		t.Errorf("Module.Classes = %+v, want %+v", s.Module.Classes, want)
	}
}
