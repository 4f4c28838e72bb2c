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

// Settings holds a deployment's settings: the configuration of the decision module, the tables that map names to
// the module's indexes, and the settings that only the scheduler around the module uses.
type Settings struct {
	Module           foxlift.Config
	Classes          map[string]int
	Tenants          map[string]int
	Zones            map[string]int
	Kinds            map[string]int
	GaugeNames       []string      // names of the values in a load report, in order
	ConnectTimeout   time.Duration // limit on connecting to a worker; 0 means not configured
	DrainGrace       time.Duration // time from the start of draining within which sends to the worker must stop
	MaxOpen          int           // maximum number of open jobs; 0 means no limit
	ProgressInterval time.Duration // interval between progress notes; 0 means none
	Discovery        string        // one of discoveryModes, or ""
	Zone             string        // zone of this scheduler; "" if not configured
}

// settingsFile is the JSON form of the settings. Durations are nanoseconds. Unknown keys are ignored.
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

// effectsByName maps the values of effect in a class.
var effectsByName = map[string]foxlift.Effect{
	"idempotent": foxlift.Idempotent, "deduplicated": foxlift.Deduplicated,
	"at_most_once": foxlift.AtMostOnce,
}

// scopesByName maps the values of dedupScope in a class.
var scopesByName = map[string]foxlift.Scope{
	"": foxlift.ScopeAll, "all": foxlift.ScopeAll, "zone": foxlift.ScopeZone,
	"cell": foxlift.ScopeCell,
}

// Values of discovery: in the simulator the endpoint list is pushed (automatic) or the scheduler watches it
// (subscribe). On sockets it is always polled.
const (
	discoveryAutomatic = "automatic"
	discoverySubscribe = "subscribe"
)

// discoveryModes are the valid values of discovery.
var discoveryModes = []string{discoveryAutomatic, discoverySubscribe}

// Phrases in the free texts of familyInfo: the unit of a job's memory, and the meaning of the values x0 and x1 in
// a load report.
const (
	memoryUnitSlot   = "one unit for each slot"
	reportFreeSlots  = "free slots"
	reportFreeMemory = "free memory"
)

// gaugesByName maps the names of a load report's values, apart from x0 and x1.
var gaugesByName = map[string]foxlift.Gauge{
	"outstanding": foxlift.GaugeInFlight, "backlog": foxlift.GaugeQueued,
	"utilization": foxlift.GaugeBusy, "recent_ms": foxlift.GaugeLatency,
	"throughput": foxlift.GaugeThroughput, "errors_per_s": foxlift.GaugeErrors,
}

// ParseSettings parses the JSON of the settings, for the real scheduler and for the simulator's adapter. It checks
// only what the conversion needs. The default of balancers is 1. Its errors name the invalid key.
func ParseSettings(raw []byte) (*Settings, error) {
	file := settingsFile{Dispatchers: 1}
	if err := json.Unmarshal(raw, &file); err != nil {
		return nil, keyError(err)
	}
	if file.Dispatchers < 1 {
		return nil, fmt.Errorf("balancers: %d is under the minimum of 1", file.Dispatchers)
	}
	if err := file.checkQuotaFractions(); err != nil {
		return nil, err
	}
	s := &Settings{
		Module:           file.module(),
		Classes:          map[string]int{},
		Tenants:          map[string]int{},
		Zones:            indexNames(file.Zones),
		Kinds:            indexNames(file.Kinds),
		GaugeNames:       file.Report.Names,
		ConnectTimeout:   time.Duration(file.Bounds.ConnectTimeout),
		DrainGrace:       time.Duration(file.Obligations.DrainGrace),
		MaxOpen:          file.Bounds.MaxOpen,
		ProgressInterval: time.Duration(file.FamilyInfo.Progress),
		Discovery:        file.Discovery,
		Zone:             file.Zone,
	}
	module := &s.Module
	if zone, ok := s.Zones[file.Zone]; ok {
		module.Zone = zone
	}
	if strings.Contains(file.FamilyInfo.MemoryUnit, memoryUnitSlot) {
		module.SlotMemory = 1
	}
	if err := s.addClasses(&file); err != nil {
		return nil, err
	}
	for i, tenant := range file.Tenants {
		s.Tenants[tenant.Name] = i
		module.Tenants = append(module.Tenants, foxlift.Tenant{Name: tenant.Name, Quota: tenant.Quota})
	}
	for _, name := range file.Report.Names {
		module.Gauges = append(module.Gauges, gaugeNamed(name, file.FamilyInfo.ReportX0, file.FamilyInfo.ReportX1))
	}
	return s, nil
}

// checkQuotaFractions checks that the tenants' fractions of the total quota are not negative and add up to at most
// 1, apart from rounding.
func (f *settingsFile) checkQuotaFractions() error {
	sum := 0.0
	for i, tenant := range f.Tenants {
		sum += tenant.QuotaFraction
		if tenant.QuotaFraction < 0 || sum > 1+quotaFractionTolerance {
			return fmt.Errorf("projects[%d].share: %g is negative, or raises the sum of shares to %.3g, over 1",
				i, tenant.QuotaFraction, sum)
		}
	}
	return nil
}

// module returns the decision module's configuration without the classes, tenants, gauges and slot memory. Its zone is
// -1, which means unknown.
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

// addClasses adds the classes to the module's configuration and to the name table. An unknown effect or
// deduplication scope is an error.
func (s *Settings) addClasses(file *settingsFile) error {
	module, info := &s.Module, &file.FamilyInfo
	for i, class := range file.Classes {
		effect, ok := effectsByName[class.Effect]
		if !ok {
			return fmt.Errorf("grades[%d]: unknown effect %q", i, class.Effect)
		}
		scope, ok := scopesByName[class.Scope]
		if !ok {
			return fmt.Errorf("grades[%d]: unknown dedupScope %q", i, class.Scope)
		}
		s.Classes[class.Name] = i
		module.Classes = append(module.Classes, foxlift.Class{
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

// gaugeNamed returns the meaning of a value in a load report by its name. The meaning of the names x0 and x1 is
// given by a text each; an unknown name or text yields GaugeUnknown.
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

// valueAt returns values[i], or defaultValue if the slice is too short.
func valueAt[T any](values []T, i int, defaultValue T) T {
	if i < len(values) {
		return values[i]
	}
	return defaultValue
}

// indexNames returns a table from each name to its index in names; of a duplicate name, to the last index.
func indexNames(names []string) map[string]int {
	table := map[string]int{}
	for i, name := range names {
		table[name] = i
	}
	return table
}

// quotaFractionTolerance is by how much the sum of the tenants' quota fractions may exceed 1, since they are
// rounded.
const quotaFractionTolerance = 0.01

// EndpointsPushed reports whether endpoint lists are pushed to an agent beside the scheduler. Each scheduler has an
// agent of its own, whose list applies to the scheduler from its start.
func (s *Settings) EndpointsPushed() bool { return s.Discovery == discoveryAutomatic }

// ClassNames returns the names of all classes in the order of the settings, which is the order of their indexes.
func (s *Settings) ClassNames() []string {
	names := make([]string, len(s.Module.Classes))
	for i, class := range s.Module.Classes {
		names[i] = class.Name
	}
	return names
}

// IndexOf returns the index of a name in one of the tables of Settings, or -1 if the name is unknown.
func IndexOf(table map[string]int, name string) int {
	if i, ok := table[name]; ok {
		return i
	}
	return -1
}

// NameOf returns the name with an index in one of the tables of Settings, or "" if there is none.
func NameOf(table map[string]int, index int) string {
	for name, i := range table {
		if i == index {
			return name
		}
	}
	return ""
}

// ParseAffinityKey parses the affinity key of a job. 16 hex digits are the key itself; any other non-empty text is
// hashed. Empty text and 16 zeros yield 0, which means no key.
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

// keyError converts an error of encoding/json into one that names the key, if the value of a key has the wrong type.
// It wraps any other error as invalid JSON.
func keyError(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) && typeError.Field != "" {
		return fmt.Errorf("%s: a JSON %s is not valid here", typeError.Field, typeError.Value)
	}
	return fmt.Errorf("invalid JSON: %w", err)
}
