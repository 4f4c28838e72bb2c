package config

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"strings"

	"github.com/vatu-meals/foxlift"
)

// Settings is a deployment's settings, ready for the decision module, with the
// tables that turn names into the module's indexes.
type Settings struct {
	Module         foxlift.Config
	Classes        map[string]int
	Tenants        map[string]int
	Zones          map[string]int
	Kinds          map[string]int
	GaugeNames     []string // of the values in a load report, in order
	ConnectTimeout int64    // nanoseconds; 0 means not given
	DrainGrace     int64    // nanoseconds in which sends to a node that drains have to stop
	MaxOpen        int      // jobs held at once; 0 means no limit
	Progress       int64    // nanoseconds between progress notes; 0 means none
	Discovery      string   // one of discoveries, or ""
	Zone           string   // of this scheduler
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
		Name     string  `json:"name"`
		Aim      int64   `json:"aim"`
		Stretch  float64 `json:"aimStretch"`
		Deadline int64   `json:"deadline"`
		Effect   string  `json:"effect"`
		Scope    string  `json:"dedupScope"`
		KeyTTL   int64   `json:"keyTtl"`
		Worth    float64 `json:"gain"`
		Stream   bool    `json:"stream"`
	} `json:"grades"`
	Tenants []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quotaRps"`
		Share float64 `json:"share"`
	} `json:"projects"`
	Bounds struct {
		Cancel         bool  `json:"cancel"`
		Probes         bool  `json:"probes"`
		SecondCopies   bool  `json:"secondCopies"`
		PeerMessages   bool  `json:"peerMessages"`
		RetryAfter     bool  `json:"retryAfter"`
		MaxRetryAfter  int64 `json:"maxRetryAfter"`
		MaxAttempts    int   `json:"maxAttempts"`
		MaxOpen        int   `json:"maxOpen"`
		ConnIdle       int64 `json:"connIdle"`
		ConnectTimeout int64 `json:"connectTimeout"`
		StreamsPerConn int   `json:"streamsPerConn"`
	} `json:"bounds"`
	Obligations struct {
		AnswerGrace   int64   `json:"graceToAnswer"`
		MustAskIn     int64   `json:"mustAskIn"`
		DrainGrace    int64   `json:"drainGrace"`
		StartCapacity float64 `json:"startCapacity"`
		WarmAfter     int64   `json:"warmAfter"`
		FallMultiple  float64 `json:"fallMultiple"`
		Fall          int64   `json:"fall"`
	} `json:"obligations"`
	Prices struct {
		CrossZone float64 `json:"crossZone"`
		Handshake float64 `json:"handshake"`
		Origin    float64 `json:"origin"`
	} `json:"prices"`
	Report struct {
		Names []string `json:"names"`
	} `json:"report"`
	FamilyInfo struct {
		ClassKind     []int     `json:"classKind"`
		ClassPriority []int     `json:"classPriority"`
		ClassStretch  []float64 `json:"classStretch"`
		TellsStart    bool      `json:"tellsStart"`
		MemoryUnit    string    `json:"memoryUnit"`
		Progress      int64     `json:"progress"`
		ReportX0      string    `json:"reportX0"`
		ReportX1      string    `json:"reportX1"`
	} `json:"familyInfo"`
}

var effects = map[string]foxlift.Effect{
	"idempotent": foxlift.Idempotent, "deduplicated": foxlift.Deduplicated,
	"at_most_once": foxlift.AtMostOnce,
}

var scopes = map[string]foxlift.Scope{
	"": foxlift.ScopeAll, "all": foxlift.ScopeAll, "zone": foxlift.ScopeZone,
	"cell": foxlift.ScopeCell,
}

// The ways in which the list of workers is to be had in the simulator: told unasked,
// or asked for. On sockets it is always asked for.
var discoveries = []string{"automatic", "subscribe"}

var gauges = map[string]foxlift.Gauge{
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
	shares := 0.0
	for i, p := range f.Tenants {
		if shares += p.Share; p.Share < 0 || shares > 1+roundingTolerance {
			return nil, fmt.Errorf("projects[%d].share: negative, or over 1 with those before it", i)
		}
	}
	s := &Settings{
		Module:  f.module(),
		Classes: map[string]int{}, Tenants: map[string]int{},
		Zones: indexNames(f.Zones), Kinds: indexNames(f.Kinds),
		GaugeNames: f.Report.Names, ConnectTimeout: f.Bounds.ConnectTimeout, DrainGrace: f.Obligations.DrainGrace, MaxOpen: f.Bounds.MaxOpen, Progress: f.FamilyInfo.Progress,
		Discovery: f.Discovery, Zone: f.Zone,
	}
	c := &s.Module
	if z, ok := s.Zones[f.Zone]; ok {
		c.Zone = z
	}
	if strings.Contains(f.FamilyInfo.MemoryUnit, "one unit for each slot") {
		c.SlotMemory = 1
	}
	if err := s.addClasses(&f); err != nil {
		return nil, err
	}
	for i, p := range f.Tenants {
		s.Tenants[p.Name] = i
		c.Tenants = append(c.Tenants, foxlift.Tenant{Name: p.Name, Quota: p.Quota})
	}
	for _, name := range f.Report.Names {
		c.Gauges = append(c.Gauges, gauge(name, f.FamilyInfo.ReportX0, f.FamilyInfo.ReportX1))
	}
	return s, nil
}

// module returns the module's configuration, without what has names.
func (f *settingsFile) module() foxlift.Config {
	b, r := &f.Bounds, &f.Obligations
	return foxlift.Config{
		Zone:              -1,
		Dispatchers:       f.Dispatchers,
		Index:             f.Index,
		PollEndpoints:     f.Discovery == "subscribe",
		MaxPollInterval:   r.MustAskIn,
		MayCancel:         b.Cancel,
		MayHealthCheck:    b.Probes,
		MayHedge:          b.SecondCopies,
		MayGossip:         b.PeerMessages,
		MayRetryAfter:     b.RetryAfter,
		MaxRetryAfter:     b.MaxRetryAfter,
		MaxAttempts:       b.MaxAttempts,
		ConnIdle:          b.ConnIdle,
		JobsPerConn:       b.StreamsPerConn,
		StartNotes:        f.FamilyInfo.TellsStart,
		AnswerGrace:       r.AnswerGrace,
		SlowStartCapacity: r.StartCapacity,
		SlowStartDuration: r.WarmAfter,
		OverloadMultiple:  r.FallMultiple,
		OverloadWindow:    r.Fall,
		Prices: foxlift.Prices{
			CrossZone: f.Prices.CrossZone, Handshake: f.Prices.Handshake, Fetch: f.Prices.Origin,
		},
	}
}

// addClasses adds the classes; an error names what is unknown of one.
func (s *Settings) addClasses(f *settingsFile) error {
	c := &s.Module
	for i, g := range f.Classes {
		effect, ok := effects[g.Effect]
		if !ok {
			return fmt.Errorf("grades[%d]: unknown effect %q", i, g.Effect)
		}
		scope, ok := scopes[g.Scope]
		if !ok {
			return fmt.Errorf("grades[%d]: unknown dedupScope %q", i, g.Scope)
		}
		s.Classes[g.Name] = i
		c.Classes = append(c.Classes, foxlift.Class{
			Name: g.Name, LatencyObjective: g.Aim, ObjectiveStretch: g.Stretch + valueAt(f.FamilyInfo.ClassStretch, i, 0), Deadline: g.Deadline,
			Effect: effect, Scope: scope, KeyTTL: g.KeyTTL, PriorityWeight: g.Worth, Stream: g.Stream,
			Kind: valueAt(f.FamilyInfo.ClassKind, i, -1), Priority: valueAt(f.FamilyInfo.ClassPriority, i, 0),
		})
	}
	return nil
}

func gauge(name, x0, x1 string) foxlift.Gauge {
	switch name {
	case "x0":
		name = x0
	case "x1":
		name = x1
	default:
		return gauges[name]
	}
	switch {
	case strings.Contains(name, "free slots"):
		return foxlift.GaugeFreeSlots
	case strings.Contains(name, "free memory"):
		return foxlift.GaugeFreeMemory
	}
	return foxlift.GaugeUnknown
}

func valueAt[T any](a []T, i int, other T) T {
	if i < len(a) {
		return a[i]
	}
	return other
}

func indexNames(names []string) map[string]int {
	t := map[string]int{}
	for i, name := range names {
		t[name] = i
	}
	return t
}

const roundingTolerance = 0.01 // of the sum of tenants' shares, as they are rounded

// Pushed reports whether lists are pushed: to an agent beside the scheduler, of whom each has
// one of its own. What the agent has counts as told from the scheduler's first moment.
func (s *Settings) EndpointsPushed() bool { return s.Discovery == "automatic" }

// ClassNames returns the names of all classes, in the settings' order.
func (s *Settings) ClassNames() []string {
	names := make([]string, len(s.Module.Classes))
	for i, class := range s.Module.Classes {
		names[i] = class.Name
	}
	return names
}

// Find looks a name up in one of the tables; -1 if it is not there.
func Find(table map[string]int, name string) int {
	if i, ok := table[name]; ok {
		return i
	}
	return -1
}

// NameOf looks a number up in one of the tables; "" if it is not there.
func NameOf(table map[string]int, i int) string {
	for name, n := range table {
		if n == i {
			return name
		}
	}
	return ""
}

// ParseKey reads the subject of a job; 0 means none. One that is not 16 hex
// digits is folded into a number.
func ParseKey(s []byte) uint64 {
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

// keyError words an error of encoding/json so that it names the key.
func keyError(err error) error {
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) && t.Field != "" {
		return fmt.Errorf("%s: a %s does not fit", t.Field, t.Value)
	}
	return fmt.Errorf("not JSON: %w", err)
}
