package platform

import (
	"strings"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/fuzz"
)

// checkValues checks that the parsers of header values return values in their ranges only, and that no input makes them
// panic.
func checkValues(t testing.TB, data []byte) {
	s := string(data)
	if d, err := parseRemaining(s); err == nil {
		if d < 0 {
			t.Fatalf("parseRemaining(%q) = %v, want 0 or more", s, d)
		}
		again, err := parseRemaining(formatRemaining(d))
		if err != nil || again != d.Truncate(time.Microsecond) && d < time.Hour {
			t.Fatalf("parseRemaining(%q) = %v; formatted and parsed again it is %v, error %v", s, d, again, err)
		}
	}
	if slots, memory, err := parseLabels(s); err == nil {
		for _, x := range []float64{slots, memory} {
			if !(x >= 0) || x > 1e308 {
				t.Fatalf("parseLabels(%q) = %v, %v, want values from 0 to 1e308", s, slots, memory)
			}
		}
	}
	if isVisibleASCII(s) && strings.ContainsAny(s, " \r\n\x00\x7f") {
		t.Fatalf("isVisibleASCII(%q) = true, want false", s)
	}
	for _, parse := range []func(string, []string) (loadGauges, error){
		parseLoad, func(s string, names []string) (loadGauges, error) { return parseLoadObject([]byte(s), names) },
	} {
		if l, err := parse(s, []string{"a", "b"}); err == nil {
			for _, x := range l {
				if !(x >= 0 && x <= maxGaugeValue) {
					t.Fatalf("load report %q parsed as %v, want values from 0 to %v", s, l, maxGaugeValue)
				}
			}
		}
	}
	seen := peerReceiver{}
	_, _ = seen.decode(1e15, data)
	config.ParseAffinityKey(data)
}

// valueSeeds returns valid and invalid header values.
func valueSeeds() (seeds [][]byte) {
	for _, s := range []string{
		"480m", "480000u", "1e400m", "0x10m", "-1m", ".m", "1.5m", "99999999999999999999m", "NaNm", "m", "",
		"slots=1,memory=0.5",
		"slots=1e400", "slots=-1", "slots=Inf", "slots", "a=1,b=2", `{"a":1,"b":2}`, "7f3a9c21e0b4d655",
	} {
		seeds = append(seeds, []byte(s))
	}
	return seeds
}

func FuzzValues(f *testing.F) {
	for _, s := range valueSeeds() {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, data []byte) { checkValues(t, data) })
}

func TestFuzzValues(t *testing.T) { fuzz.Run(t, 4, 30000, valueSeeds(), checkValues) }
