package platform

import (
	"testing"
)

// Guards against accepting a load report in which a gauge of the settings is missing, repeated or out of range, or
// rejecting one for its other names. Both forms of a report are parsed.
func TestParseLoad(t *testing.T) {
	names := []string{"backlog", "x0"}
	for text, valid := range map[string]bool{
		"x0=2.5, backlog=4,novel=1\n": true, "x0=2.5,backlog=4,novel=NaN,novel=2": true,
		"": false, "backlog=4": false, "backlog=4,x0=much": false, "backlog=4,x0=2.5,x0=2.5": false,
		"backlog=NaN,x0=2.5": false, "backlog=-1,x0=2.5": false, "backlog=4,x0=1e10": false, "backlog=Inf,x0=1": false,
		`{"x0":2.5,"backlog":4,"novel":{"a":[1]},"novel":-1}`: true,
		`{"x0":2.5,"backlog":4,"x0":2.5}`:                     false, `{"x0":2.5}`: false, `{"x0":"2.5","backlog":4}`: false,
		`{"x0":-2.5,"backlog":4}`: false, `{"x0":1e300,"backlog":4}`: false, `{"x0":null,"backlog":4}`: false,
		`{"x0":2.5,"backlog":4`: false, `{"x0":2.5,"backlog":4}1`: false, `[2.5,4]`: false,
	} {
		parse := parseLoad
		if text != "" && text[0] != 'x' && text[0] != 'b' {
			parse = func(s string, names []string) (loadGauges, error) { return parseLoadObject([]byte(s), names) }
		}
		gauges, err := parse(text, names)
		if (err == nil) != valid || valid && (gauges[0] != 4 || gauges[1] != 2.5) {
			t.Errorf("parse(%q) = %v, error %v, want valid: %t", text, gauges, err, valid)
		}
	}
}
