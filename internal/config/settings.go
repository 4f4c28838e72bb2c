package config

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"strings"
	"time"

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
	MaxOpen        int      // jobs held at once; 0 means no limit
	Progress       int64    // nanoseconds between progress notes; 0 means none
	Discovery      string   // one of discoveries, or ""
	Zone           string   // of this scheduler
}

// settingsFile is the settings as they stand in JSON. Times are nanoseconds.
// Unknown keys are ignored.
type settingsFile struct {
	Balancers int      `json:"balancers"`
	SlotNo    int      `json:"slotNo"`
	Zone      string   `json:"zone"`
	Zones     []string `json:"dcs"`
	Kinds     []string `json:"flavors"`
	Discovery string   `json:"discovery"`
	Classes   []struct {
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
	Rules struct {
		AnswerGrace   int64   `json:"graceToAnswer"`
		MustAskIn     int64   `json:"mustAskIn"`
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
	Info struct {
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
	"outstanding": foxlift.GaugeHeld, "backlog": foxlift.GaugeQueue,
	"utilization": foxlift.GaugeBusy, "recent_ms": foxlift.GaugeLatency,
	"throughput": foxlift.GaugeThroughput, "errors_per_s": foxlift.GaugeErrors,
}

// ParseSettings turns the settings' JSON into Settings. It serves the real
// scheduler and the simulator's adapter alike. Its errors name the faulty key.
func ParseSettings(raw []byte) (*Settings, error) {
	f := settingsFile{Balancers: 1}
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, keyError(err)
	}
	if f.Balancers < 1 {
		return nil, errors.New("balancers: under 1")
	}
	shares := 0.0
	for i, p := range f.Tenants {
		if shares += p.Share; p.Share < 0 || shares > 1+shareSlack {
			return nil, fmt.Errorf("projects[%d].share: negative, or over 1 with those before it", i)
		}
	}
	b, r := &f.Bounds, &f.Rules
	s := &Settings{
		Module: foxlift.Config{
			Zone:          -1,
			Dispatchers:   f.Balancers,
			Index:         f.SlotNo,
			ListOnRequest: f.Discovery == "subscribe",
			MustAskIn:     r.MustAskIn,
			MayCancel:     b.Cancel,
			MayProbe:      b.Probes,
			MayCopy:       b.SecondCopies,
			MayMessage:    b.PeerMessages,
			MayRetryAfter: b.RetryAfter,
			MaxRetryAfter: b.MaxRetryAfter,
			MaxAttempts:   b.MaxAttempts,
			ConnIdle:      b.ConnIdle,
			JobsPerConn:   b.StreamsPerConn,
			StartNotes:    f.Info.TellsStart,
			AnswerGrace:   r.AnswerGrace,
			StartCapacity: r.StartCapacity,
			WarmAfter:     r.WarmAfter,
			FallMultiple:  r.FallMultiple,
			FallWindow:    r.Fall,
			Prices: foxlift.Prices{
				CrossZone: f.Prices.CrossZone, Handshake: f.Prices.Handshake, Fetch: f.Prices.Origin,
			},
		},
		Classes: map[string]int{}, Tenants: map[string]int{},
		Zones: index(f.Zones), Kinds: index(f.Kinds),
		GaugeNames: f.Report.Names, ConnectTimeout: b.ConnectTimeout, MaxOpen: b.MaxOpen, Progress: f.Info.Progress,
		Discovery: f.Discovery, Zone: f.Zone,
	}
	c := &s.Module
	if z, ok := s.Zones[f.Zone]; ok {
		c.Zone = z
	}
	if strings.Contains(f.Info.MemoryUnit, "one unit for each slot") {
		c.SlotMemory = 1
	}
	for i, g := range f.Classes {
		effect, ok := effects[g.Effect]
		if !ok {
			return nil, fmt.Errorf("grades[%d]: unknown effect %q", i, g.Effect)
		}
		scope, ok := scopes[g.Scope]
		if !ok {
			return nil, fmt.Errorf("grades[%d]: unknown dedupScope %q", i, g.Scope)
		}
		s.Classes[g.Name] = i
		c.Classes = append(c.Classes, foxlift.Class{
			Name: g.Name, Aim: g.Aim, Stretch: g.Stretch + at(f.Info.ClassStretch, i, 0), Deadline: g.Deadline,
			Effect: effect, Scope: scope, KeyTTL: g.KeyTTL, Worth: g.Worth, Stream: g.Stream,
			Kind: at(f.Info.ClassKind, i, -1), Priority: at(f.Info.ClassPriority, i, 0),
		})
	}
	for i, p := range f.Tenants {
		s.Tenants[p.Name] = i
		c.Tenants = append(c.Tenants, foxlift.Tenant{Name: p.Name, Quota: p.Quota})
	}
	for _, name := range f.Report.Names {
		c.Gauges = append(c.Gauges, gauge(name, f.Info.ReportX0, f.Info.ReportX1))
	}
	return s, nil
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

func at[T any](a []T, i int, other T) T {
	if i < len(a) {
		return a[i]
	}
	return other
}

func index(names []string) map[string]int {
	t := map[string]int{}
	for i, name := range names {
		t[name] = i
	}
	return t
}

const shareSlack = 0.01 // of the sum of tenants' shares, as they are rounded

// Pushed reports whether lists are pushed: to an agent beside the scheduler, of whom each has
// one of its own. What the agent has counts as told from the scheduler's first moment.
func (s *Settings) Pushed() bool { return s.Discovery == "automatic" }

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

// maxTime bounds every time in the settings: sums and multiples of them stay numbers.
const maxTime = int64(30 * 24 * time.Hour)

// keyMargin is what a repeat of a keyed job may take from its last byte's writing to the node,
// with what clocks differ by: so much sooner the window counts as over.
const keyMargin = int64(100 * time.Millisecond)

// checkReal holds the checks that only the real scheduler makes: the simulator's
// adapter leaves them to the module.
func (s *Settings) checkReal() error {
	c := &s.Module
	switch {
	case len(c.Classes) == 0:
		return errors.New("grades: none given")
	case c.Dispatchers > foxlift.MaxDispatchers:
		return fmt.Errorf("balancers: over %d", foxlift.MaxDispatchers)
	case c.Index < 0 || c.Index >= c.Dispatchers:
		return errors.New("slotNo: not under balancers")
	case s.Discovery != "" && !slices.Contains(discoveries, s.Discovery):
		return fmt.Errorf("discovery: %q is not one of %s", s.Discovery, strings.Join(discoveries, ", "))
	case s.Zone != "" && len(s.Zones) > 0 && c.Zone < 0:
		return fmt.Errorf("zone: %q is not one of dcs", s.Zone)
	}
	if c.StartCapacity > 1 {
		return errors.New("obligations.startCapacity: over 1")
	}
	c.ListOnRequest = true // the protocol has no other way, whatever the simulator's has
	for i, k := range c.Classes {
		switch {
		case k.Name == "":
			return fmt.Errorf("grades[%d].name: empty", i)
		case s.Classes[k.Name] != i:
			return fmt.Errorf("grades[%d].name: %q is there twice", i, k.Name)
		case k.Aim <= 0:
			return fmt.Errorf("grades[%d].aim: must be over 0", i)
		case k.Deadline <= 0:
			return fmt.Errorf("grades[%d].deadline: must be over 0", i)
		case k.Stretch < 0:
			return fmt.Errorf("grades[%d].aimStretch, familyInfo.classStretch[%d]: negative", i, i)
		case k.KeyTTL < 0:
			return fmt.Errorf("grades[%d].keyTtl: negative", i)
		case max(k.Aim, k.Deadline, k.KeyTTL) > maxTime:
			return fmt.Errorf("grades[%d]: a time of over %v", i, time.Duration(maxTime))
		case k.Kind < -1 || k.Kind >= max(1, len(s.Kinds)):
			return fmt.Errorf("familyInfo.classKind[%d]: no such kind", i)
		}
	}
	for i, t := range c.Tenants {
		if s.Tenants[t.Name] != i {
			return fmt.Errorf("projects[%d].name: %q is there twice", i, t.Name)
		}
		if t.Quota < 0 || math.IsNaN(t.Quota) {
			return fmt.Errorf("projects[%d].quotaRps: negative", i)
		}
	}
	for _, f := range []struct {
		key  string
		time int64
	}{
		{"bounds.connectTimeout", s.ConnectTimeout}, {"bounds.connIdle", c.ConnIdle},
		{"bounds.maxRetryAfter", c.MaxRetryAfter}, {"obligations.graceToAnswer", c.AnswerGrace},
		{"obligations.mustAskIn", c.MustAskIn}, {"obligations.warmAfter", c.WarmAfter},
		{"obligations.fall", c.FallWindow}, {"bounds.maxOpen", int64(s.MaxOpen)},
		{"bounds.maxAttempts", int64(c.MaxAttempts)},
	} {
		if f.time < 0 {
			return fmt.Errorf("%s: negative", f.key)
		}
		if f.time > maxTime {
			return fmt.Errorf("%s: over %v", f.key, time.Duration(maxTime))
		}
	}
	for _, f := range []struct {
		key    string
		figure float64
	}{
		{"obligations.startCapacity", c.StartCapacity}, {"obligations.fallMultiple", c.FallMultiple},
		{"prices.crossZone", c.Prices.CrossZone}, {"prices.handshake", c.Prices.Handshake}, {"prices.origin", c.Prices.Fetch},
	} {
		if f.figure < 0 {
			return fmt.Errorf("%s: negative", f.key)
		}
	}
	for i, name := range s.GaugeNames {
		if name == "" || slices.Contains(s.GaugeNames[:i], name) {
			return fmt.Errorf("report.names[%d]: %q is empty or there twice", i, name)
		}
	}
	if len(c.Gauges) > foxlift.MaxGauges {
		return fmt.Errorf("report.names: more than %d", foxlift.MaxGauges)
	}
	for i := range c.Classes {
		if k := &c.Classes[i]; k.Effect == foxlift.Deduplicated {
			k.KeyTTL = max(0, k.KeyTTL-keyMargin)
		}
	}
	return nil
}
