package config

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/fuzz"
)

// printSexps returns a text that parses to the given values.
func printSexps(values []*sexp) string {
	var words []string
	for _, v := range values {
		switch {
		case v.Atom != nil:
			words = append(words, *v.Atom)
		case v.Text != nil:
			words = append(words, strconv.Quote(*v.Text))
		default:
			words = append(words, "("+printSexps(v.Form.Values)+")")
		}
	}
	return strings.Join(words, " ")
}

// checkOperator checks that any text is either parsed or rejected with errors in the order of their lines, that a
// parsed text keeps its meaning when it is printed and parsed again, and that an accepted plan has positive bounds
// and capacity fractions that add up to 1.
func checkOperator(t testing.TB, data []byte) {
	r := &reader{file: "f"}
	if values := r.parse(data); len(r.errors) == 0 {
		text := printSexps(values)
		again := &reader{file: "f"}
		if twice := printSexps(again.parse([]byte(text))); len(again.errors) > 0 || twice != text {
			t.Fatalf("%q is printed as %q, which is parsed and printed as %q, errors %v", data, text, twice, again.errors)
		}
	}
	op, err := ParseOperator("f", data, fuzzSettings)
	operatorErrors := OperatorErrors(nil)
	if err != nil && (!errors.As(err, &operatorErrors) || len(operatorErrors) == 0) {
		t.Fatalf("ParseOperator(%q): error %v, want OperatorErrors", data, err)
	} else if err != nil {
		for i, f := range operatorErrors {
			if f.Text == "" || f.File != "f" || i > 0 && f.Line < operatorErrors[i-1].Line {
				t.Fatalf("ParseOperator(%q): error %d of %v has no text or file, or its line is out of order",
					data, i, operatorErrors)
			}
		}
		return
	}
	if op.Cells == nil {
		return
	}
	sum := 0.0
	for c := range op.Cells.CellCount() {
		share := op.Cells.CapacityFraction(c)
		sum += share
		if !(share > 0) || op.Cells.JobBound(c, 100) < 1 || op.Cells.ConnectionBound(c, 100) < 1 {
			t.Fatalf("ParseOperator(%q): cell %d has capacity fraction %v, job bound %d, connection bound %d",
				data, c, share, op.Cells.JobBound(c, 100), op.Cells.ConnectionBound(c, 100))
		}
	}
	if sum < 0.999 || sum > 1.001 {
		t.Fatalf("ParseOperator(%q): capacity fractions add up to %v, want 1", data, sum)
	}
}

// fuzzSettings are the settings against which checkOperator checks operator's files.
var fuzzSettings = func() *Settings {
	s, err := ParseSettings([]byte(fuzzSettingsText))
	if err != nil {
		panic(err)
	}
	return s
}()

// fuzzSettingsText is the JSON of fuzzSettings, and a seed of checkSettings.
const fuzzSettingsText = `{"balancers":2,"slotNo":1,"discovery":"subscribe","dcs":["a","b"],"zone":"a",` +
	`"flavors":["k","l"],
 "grades":[{"name":"r","aim":1,"deadline":2,"effect":"idempotent"},` +
	`{"name":"s","aim":1,"deadline":2,"effect":"deduplicated","dedupScope":"zone","keyTtl":5}],
 "projects":[{"name":"t","quotaRps":2.5},{"name":"u","quotaRps":0}],"report":{"names":["x0","backlog"]},
 "familyInfo":{"classKind":[0,-1],"classStretch":[2.5],"reportX0":"free slots"},` +
	`"bounds":{"maxAttempts":3,"connIdle":30},"obligations":{"warmAfter":7}}`

// operatorSeeds returns operator's files from which the fuzzer starts.
func operatorSeeds() [][]byte {
	example, err := os.ReadFile("../../deploy/operator.example.sexp")
	if err != nil {
		panic(err)
	}
	seeds := [][]byte{example}
	for _, s := range []string{
		`(foxlift (cells (default a) (key (nodes 2) (jobs 3)) (kind k (weight 2)) ` +
			`(cell a (share 0.5) (tenants t)) (cell b (jobs 5) (when-unable spill a 0.5))))`,
		`(foxlift (control (socket "/tmp/\"x\n")) (cells (cell a) (split t (cells a a) (by key))))`,
		`(foxlift (cells (cell a (share 1)) (cell b (share 1))))`,
		`(foxlift (cells (cell a (share 1)) (cell b)))`,
		"(foxlift ; comment\n)",
		`()`,
		`("a" b (c))`,
		`(foxlift (cells (cell "") (cell a (share NaN))))`,
		strings.Repeat("(", 40),
		`"\`,
	} {
		seeds = append(seeds, []byte(s))
	}
	return seeds
}

func FuzzOperator(f *testing.F) {
	for _, s := range operatorSeeds() {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, data []byte) { checkOperator(t, data) })
}

func TestFuzzOperator(t *testing.T) { fuzz.Run(t, 11, 8000, operatorSeeds(), checkOperator) }

// checkSettings checks that settings are either rejected with a non-empty error, or yield name tables that match the
// module's configuration, and values within their bounds.
func checkSettings(t testing.TB, data []byte) {
	s, err := ParseSettings(data)
	if err == nil {
		err = s.checkScheduler()
	}
	if err != nil {
		if err.Error() == "" {
			t.Fatalf("settings %q: the error has no text", data)
		}
		return
	}
	for name, i := range s.Classes {
		if i < 0 || i >= len(s.Module.Classes) || s.Module.Classes[i].Name != name {
			t.Fatalf("settings %q: Classes[%q] = %d, which is not the index of that class", data, name, i)
		}
	}
	for name, i := range s.Tenants {
		if i < 0 || i >= len(s.Module.Tenants) || s.Module.Tenants[i].Name != name {
			t.Fatalf("settings %q: Tenants[%q] = %d, which is not the index of that tenant", data, name, i)
		}
	}
	for i, c := range s.Module.Classes {
		if c.LatencyObjective <= 0 || c.Deadline <= 0 || c.Kind < -1 || c.ObjectiveStretch < 0 || c.KeyTTL < 0 {
			t.Fatalf("settings %q: class %d has a value out of bounds: %+v", data, i, c)
		}
	}
	c := s.Module
	if c.Dispatchers < 1 || c.Dispatchers > foxlift.MaxDispatchers || c.Index >= c.Dispatchers {
		t.Fatalf("settings %q: Dispatchers or Index is out of bounds: %+v", data, c)
	}
	if c.SlowStartDuration < 0 || c.MaxAttempts < 0 {
		t.Fatalf("settings %q: SlowStartDuration or MaxAttempts is negative: %+v", data, c)
	}
	for _, value := range []float64{
		c.SlowStartCapacity, c.OverloadMultiple, c.Prices.CrossZone, c.Prices.Handshake, c.Prices.Fetch,
	} {
		if !(value >= 0) {
			t.Fatalf("settings %q: a fraction, factor or price is negative or NaN: %+v", data, c)
		}
	}
}

// settingsSeeds returns settings from which the fuzzer starts.
func settingsSeeds() [][]byte {
	seeds := [][]byte{[]byte(fuzzSettingsText)}
	for _, s := range []string{
		`{"grades":[{"name":"r","aim":1,"deadline":9223372036854775807,"effect":"idempotent","aimStretch":-1}]}`,
		`{"balancers":1000000000000,"grades":[{"name":"r","aim":1,"deadline":1,"effect":"idempotent"}]}`,
		`{"grades":[{"name":"r","aim":1,"deadline":1,"effect":"idempotent"}],"obligations":{"startCapacity":-1}}`,
		`{"grades":[{"name":"r","aim":1,"deadline":1,"effect":"deduplicated","keyTtl":-1}]}`,
		`{"grades":1e400}`,
		`{"flavors":["k","k"],"grades":[]}`,
		`null`,
		`[]`,
	} {
		seeds = append(seeds, []byte(s))
	}
	return seeds
}

func FuzzSettings(f *testing.F) {
	for _, s := range settingsSeeds() {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, data []byte) { checkSettings(t, data) })
}

func TestFuzzSettings(t *testing.T) { fuzz.Run(t, 12, 10000, settingsSeeds(), checkSettings) }

// A configuration file with any content is either rejected with an error that names a key, or yields limits within
// their bounds.
func TestFuzzFile(t *testing.T) {
	example, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	keyed, err := os.ReadFile("../../examples/keyed.json")
	if err != nil {
		t.Fatal(err)
	}
	path := t.TempDir() + "/config.json"
	seeds := [][]byte{
		example, keyed, []byte(strings.Replace(string(example), `"memory_mb": 192`, `"memory_mb": 1e300`, 1)),
		[]byte(strings.Replace(string(example), `"sockets": 1024`, `"sockets": -1`, 1)),
	}
	fuzz.Run(t, 13, 1500, seeds, func(t testing.TB, data []byte) {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := Load(func(name string) string { return map[string]string{"LB_CONFIG": path}[name] })
		if err != nil {
			if !strings.Contains(err.Error(), ": ") {
				t.Fatalf("Load(%q): error %v, want one that names a key", data, err)
			}
			return
		}
		if s.MemoryMB < minMemoryMB || s.MemoryMB > maxMemoryMB ||
			s.MaxDescriptors < minDescriptors || s.MaxDescriptors > maxDescriptors {
			t.Fatalf("Load(%q): limits out of bounds: %s", data, fmt.Sprint(s.MemoryMB, s.MaxDescriptors))
		}
	})
}
