package config

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"strings"
	"time"

	"github.com/vatu-meals/foxlift"
)

// Settings is a deployment's settings, ready for the decision module, with the
// tables that turn names into the module's indexes.
type Settings struct {
	Module           foxlift.Config
	Classes          map[string]int
	Tenants          map[string]int
	Zones            map[string]int
	Kinds            map[string]int
	GaugeNames       []string      // of the values in a load report, in order
	ConnectTimeout   time.Duration // 0 means not given
	DrainGrace       time.Duration // within which sends to a draining worker have to stop
	MaxOpen          int           // open jobs; 0 means no limit
	ProgressInterval time.Duration // between progress notes; 0 means none
	Discovery        string        // one of discoveries, or ""
	Zone             string        // of this scheduler
}

// settingsFile is the settings as they stand in JSON. Times are nanoseconds.
// Unknown keys are ignored.
type settingsFile struct {
	Dispatchers int      `json:"balancers"`
	Index       int      `json:"slotNo"`
	Zone        string   `json:"zone"`
	Zones       []string `json:"dcs"`
	Kinds       []string `json:"flavors"`
	Discovery   string   `json:"discovery"`
	Classes     []struct {
		Name             string  `json:"name"`
		LatencyObjective int64   `json:"aim"`
		ObjectiveStretch float64 `json:"aimStretch"`
		Deadline         int64   `json:"deadline"`
		Effect           string  `json:"effect"`
		Scope            string  `json:"dedupScope"`
		KeyTTL           int64   `json:"keyTtl"`
		PriorityWeight   float64 `json:"gain"`
		Stream           bool    `json:"stream"`
	} `json:"grades"`
	Tenants []struct {
		Name          string  `json:"name"`
		Quota         float64 `json:"quotaRps"`
		QuotaFraction float64 `json:"share"`
	} `json:"projects"`
	Bounds struct {
		Cancel         bool  `json:"cancel"`
		HealthChecks   bool  `json:"probes"`
		Hedging        bool  `json:"secondCopies"`
		Gossip         bool  `json:"peerMessages"`
		RetryAfter     bool  `json:"retryAfter"`
		MaxRetryAfter  int64 `json:"maxRetryAfter"`
		MaxAttempts    int   `json:"maxAttempts"`
		MaxOpen        int   `json:"maxOpen"`
		ConnIdle       int64 `json:"connIdle"`
		ConnectTimeout int64 `json:"connectTimeout"`
		JobsPerConn    int   `json:"streamsPerConn"`
	} `json:"bounds"`
	Obligations struct {
		AnswerGrace       int64   `json:"graceToAnswer"`
		MaxPollInterval   int64   `json:"mustAskIn"`
		DrainGrace        int64   `json:"drainGrace"`
		SlowStartCapacity float64 `json:"startCapacity"`
		SlowStartDuration int64   `json:"warmAfter"`
		OverloadMultiple  float64 `json:"fallMultiple"`
		OverloadWindow    int64   `json:"fall"`
	} `json:"obligations"`
	Prices struct {
		CrossZone float64 `json:"crossZone"`
		Handshake float64 `json:"handshake"`
		Fetch     float64 `json:"origin"`
	} `json:"prices"`
	Report struct {
		Names []string `json:"names"`
	} `json:"report"`
	FamilyInfo struct {
		ClassKind     []int     `json:"classKind"`
		ClassPriority []int     `json:"classPriority"`
		ClassStretch  []float64 `json:"classStretch"`
		StartNotes    bool      `json:"tellsStart"`
		MemoryUnit    string    `json:"memoryUnit"`
		Progress      int64     `json:"progress"`
		ReportX0      string    `json:"reportX0"`
		ReportX1      string    `json:"reportX1"`
	} `json:"familyInfo"`
}

var effectsByName = map[string]foxlift.Effect{
	"idempotent": foxlift.Idempotent, "deduplicated": foxlift.Deduplicated,
	"at_most_once": foxlift.AtMostOnce,
}

var scopesByName = map[string]foxlift.Scope{
	"": foxlift.ScopeAll, "all": foxlift.ScopeAll, "zone": foxlift.ScopeZone,
	"cell": foxlift.ScopeCell,
}

// How the endpoint list comes in the simulator: it is pushed, or it is watched. On sockets it is always
// polled.
const (
	discoveryAutomatic = "automatic"
	discoverySubscribe = "subscribe"
)

var discoveryModes = []string{discoveryAutomatic, discoverySubscribe}

// Texts of familyInfo that say what a value of a load report, or a job's memory, is.
const (
	memoryUnitSlot   = "one unit for each slot"
	reportFreeSlots  = "free slots"
	reportFreeMemory = "free memory"
)

var gaugesByName = map[string]foxlift.Gauge{
	"outstanding": foxlift.GaugeInFlight, "backlog": foxlift.GaugeQueued,
	"utilization": foxlift.GaugeBusy, "recent_ms": foxlift.GaugeLatency,
	"throughput": foxlift.GaugeThroughput, "errors_per_s": foxlift.GaugeErrors,
}

// ParseSettings turns the settings' JSON into Settings. It serves the real
// scheduler and the simulator's adapter alike. Its errors name the faulty key.
func ParseSettings(raw []byte) (*Settings, error) {
	f := settingsFile{Dispatchers: 1}
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, keyError(err)
	}
	if f.Dispatchers < 1 {
		return nil, errors.New("balancers: under 1")
	}
	if err := f.checkQuotaFractions(); err != nil {
		return nil, err
	}
	s := &Settings{
		Module:           f.module(),
		Classes:          map[string]int{},
		Tenants:          map[string]int{},
		Zones:            indexNames(f.Zones),
		Kinds:            indexNames(f.Kinds),
		GaugeNames:       f.Report.Names,
		ConnectTimeout:   time.Duration(f.Bounds.ConnectTimeout),
		DrainGrace:       time.Duration(f.Obligations.DrainGrace),
		MaxOpen:          f.Bounds.MaxOpen,
		ProgressInterval: time.Duration(f.FamilyInfo.Progress),
		Discovery:        f.Discovery,
		Zone:             f.Zone,
	}
	c := &s.Module
	if zone, ok := s.Zones[f.Zone]; ok {
		c.Zone = zone
	}
	if strings.Contains(f.FamilyInfo.MemoryUnit, memoryUnitSlot) {
		c.SlotMemory = 1
	}
	if err := s.addClasses(&f); err != nil {
		return nil, err
	}
	for i, tenant := range f.Tenants {
		s.Tenants[tenant.Name] = i
		c.Tenants = append(c.Tenants, foxlift.Tenant{Name: tenant.Name, Quota: tenant.Quota})
	}
	for _, name := range f.Report.Names {
		c.Gauges = append(c.Gauges, gaugeNamed(name, f.FamilyInfo.ReportX0, f.FamilyInfo.ReportX1))
	}
	return s, nil
}

// checkQuotaFractions checks the tenants' parts of all quotas.
func (f *settingsFile) checkQuotaFractions() error {
	sum := 0.0
	for i, tenant := range f.Tenants {
		sum += tenant.QuotaFraction
		if tenant.QuotaFraction < 0 || sum > 1+quotaFractionTolerance {
			return fmt.Errorf("projects[%d].share: negative, or over 1 with those before it", i)
		}
	}
	return nil
}

// module returns the module's configuration, without the classes, tenants and gauges.
func (f *settingsFile) module() foxlift.Config {
	bounds, obligations := &f.Bounds, &f.Obligations
	return foxlift.Config{
		Zone:              -1,
		Dispatchers:       f.Dispatchers,
		Index:             f.Index,
		PollEndpoints:     f.Discovery == discoverySubscribe,
		MaxPollInterval:   obligations.MaxPollInterval,
		MayCancel:         bounds.Cancel,
		MayHealthCheck:    bounds.HealthChecks,
		MayHedge:          bounds.Hedging,
		MayGossip:         bounds.Gossip,
		MayRetryAfter:     bounds.RetryAfter,
		MaxRetryAfter:     bounds.MaxRetryAfter,
		MaxAttempts:       bounds.MaxAttempts,
		ConnIdle:          bounds.ConnIdle,
		JobsPerConn:       bounds.JobsPerConn,
		StartNotes:        f.FamilyInfo.StartNotes,
		AnswerGrace:       obligations.AnswerGrace,
		SlowStartCapacity: obligations.SlowStartCapacity,
		SlowStartDuration: obligations.SlowStartDuration,
		OverloadMultiple:  obligations.OverloadMultiple,
		OverloadWindow:    obligations.OverloadWindow,
		Prices: foxlift.Prices{
			CrossZone: f.Prices.CrossZone, Handshake: f.Prices.Handshake, Fetch: f.Prices.Fetch,
		},
	}
}

// addClasses adds the classes; an error names what is unknown of one.
func (s *Settings) addClasses(f *settingsFile) error {
	c, info := &s.Module, &f.FamilyInfo
	for i, class := range f.Classes {
		effect, ok := effectsByName[class.Effect]
		if !ok {
			return fmt.Errorf("grades[%d]: unknown effect %q", i, class.Effect)
		}
		scope, ok := scopesByName[class.Scope]
		if !ok {
			return fmt.Errorf("grades[%d]: unknown dedupScope %q", i, class.Scope)
		}
		s.Classes[class.Name] = i
		c.Classes = append(c.Classes, foxlift.Class{
			Name:             class.Name,
			LatencyObjective: class.LatencyObjective,
			ObjectiveStretch: class.ObjectiveStretch + valueAt(info.ClassStretch, i, 0),
			Deadline:         class.Deadline,
			Effect:           effect,
			Scope:            scope,
			KeyTTL:           class.KeyTTL,
			PriorityWeight:   class.PriorityWeight,
			Stream:           class.Stream,
			Kind:             valueAt(info.ClassKind, i, -1),
			Priority:         valueAt(info.ClassPriority, i, 0),
		})
	}
	return nil
}

// gauge returns what a value of a load report is, by its name; x0 and x1 have a text that says it.
func gaugeNamed(name, x0, x1 string) foxlift.Gauge {
	switch name {
	case "x0":
		name = x0
	case "x1":
		name = x1
	default:
		return gaugesByName[name]
	}
	switch {
	case strings.Contains(name, reportFreeSlots):
		return foxlift.GaugeFreeSlots
	case strings.Contains(name, reportFreeMemory):
		return foxlift.GaugeFreeMemory
	}
	return foxlift.GaugeUnknown
}

// valueAt returns an element of a slice, or a default past its end.
func valueAt[T any](values []T, i int, defaultValue T) T {
	if i < len(values) {
		return values[i]
	}
	return defaultValue
}

// indexNames returns the index of each name.
func indexNames(names []string) map[string]int {
	table := map[string]int{}
	for i, name := range names {
		table[name] = i
	}
	return table
}

const quotaFractionTolerance = 0.01 // of the sum of tenants' fractions, as they are rounded

// EndpointsPushed reports whether endpoint lists are pushed to an agent beside the scheduler, of whom
// each scheduler has its own. What the agent has binds from the scheduler's first moment.
func (s *Settings) EndpointsPushed() bool { return s.Discovery == discoveryAutomatic }

// ClassNames returns the names of all classes, in the settings' order.
func (s *Settings) ClassNames() []string {
	names := make([]string, len(s.Module.Classes))
	for i, class := range s.Module.Classes {
		names[i] = class.Name
	}
	return names
}

// Find returns the index of a name in one of the tables; -1 if it is not there.
func IndexOf(table map[string]int, name string) int {
	if i, ok := table[name]; ok {
		return i
	}
	return -1
}

// NameOf returns the name of an index in one of the tables; "" if it is not there.
func NameOf(table map[string]int, index int) string {
	for name, i := range table {
		if i == index {
			return name
		}
	}
	return ""
}

// ParseKey reads the affinity key of a job; 0 means none. One that is not 16 hex digits is hashed.
func ParseAffinityKey(s []byte) uint64 {
	var raw [8]byte
	if len(s) == 16 {
		if _, err := hex.Decode(raw[:], s); err == nil {
			k := uint64(0)
			for _, b := range raw {
				k = k<<8 | uint64(b)
			}
			return k
		}
	}
	if len(s) == 0 {
		return 0
	}
	h := fnv.New64a()
	h.Write(s)
	return h.Sum64()
}

// keyError returns an error of encoding/json as one that names the key.
func keyError(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) && typeError.Field != "" {
		return fmt.Errorf("%s: a %s does not fit", typeError.Field, typeError.Value)
	}
	return fmt.Errorf("not JSON: %w", err)
}
