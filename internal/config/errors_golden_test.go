package config

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/vatu-meals/foxlift/internal/golden"
)

// invalidSettings are changes of validSettings that each make it invalid in one way.
var invalidSettings = []struct{ old, new string }{
	{`{"name"`, `"name"`},
	{`"n3"`, `3`},
	{`"127.0.0.1:3000"`, `""`},
	{`"127.0.0.1:3000"`, `"127.0.0.1"`},
	{`"127.0.0.1:3000"`, `"127.0.0.1:70000"`},
	{`"127.0.0.1:8500"`, `"127.0.0.1:0"`},
	{`"novel":true`, `"admin":"127.0.0.1"`},
	{`"novel":true`, `"admin":"127.0.0.1:3000"`},
	{`8c1f30d27a5be964`, `xyz`},
	{`2048`, `8`},
	{`512`, `-1`},
	{`512`, `"many"`},
	{`"settings"`, `"other"`},
	{`"novel":true`, `"peer_listen":"127.0.0.1"`},
	{`"novel":true`, `"peer_listen":"127.0.0.1:0"`},
	{`"novel":true`, `"peer_listen":"127.0.0.1:0","peers":["127.0.0.1:1","127.0.0.1:0"]`},
	{`"novel":true`, `"peer_listen":"127.0.0.1:0","peers":["127.0.0.1:1","127.0.0.1:2"],"peers_all":"x"`},
	{`"balancers":2`, `"balancers":0`},
	{`"balancers":2`, `"balancers":1001`},
	{`"slotNo":1`, `"slotNo":2`},
	{`"flavors"`, `"discovery":"guess","flavors"`},
	{`"zone":"b"`, `"zone":"c"`},
	{`"grades":[`, `"grades":[],"novel":[`},
	{`"name":"reading"`, `"name":""`},
	{`"name":"ratify"`, `"name":"reading"`},
	{`"aim":5`, `"aim":-5`},
	{`"aim":5`, `"aim":"5"`},
	{`"aim":5`, `"aim":9000000000000000`},
	{`"deadline":9`, `"deadline":0`},
	{`"aim":5`, `"aim":5,"aimStretch":-9`},
	{`"aim":5`, `"aim":5,"keyTtl":-1`},
	{`idempotent`, `sometimes`},
	{`"effect":"idempotent"`, `"effect":"deduplicated","dedupScope":"street"`},
	{`"familyInfo":{`, `"familyInfo":{"classKind":[4],`},
	{`"quotaRps":2.0`, `"quotaRps":-2.0`},
	{`"quotaRps":2.0`, `"share":1.2`},
	{`"projects":[`, `"projects":[{"name":"islands"},`},
	{`"connectTimeout":5`, `"connectTimeout":-5`},
	{`"connectTimeout":5`, `"connIdle":-5`},
	{`"connectTimeout":5`, `"maxRetryAfter":-5`},
	{`"connectTimeout":5`, `"maxOpen":-5`},
	{`"connectTimeout":5`, `"maxAttempts":-5`},
	{`"connectTimeout":5`, `"connectTimeout":9000000000000000`},
	{`"flavors"`, `"obligations":{"graceToAnswer":-1},"flavors"`},
	{`"flavors"`, `"obligations":{"mustAskIn":-1},"flavors"`},
	{`"flavors"`, `"obligations":{"warmAfter":-1},"flavors"`},
	{`"flavors"`, `"obligations":{"fall":-1},"flavors"`},
	{`"flavors"`, `"obligations":{"startCapacity":1.5},"flavors"`},
	{`"flavors"`, `"obligations":{"startCapacity":-1},"flavors"`},
	{`"flavors"`, `"obligations":{"fallMultiple":-1},"flavors"`},
	{`"flavors"`, `"prices":{"crossZone":-1},"flavors"`},
	{`"flavors"`, `"prices":{"handshake":-1},"flavors"`},
	{`"flavors"`, `"prices":{"origin":-1},"flavors"`},
	{`"flavors"`, `"obligations":{"fallMultiple":1e400},"flavors"`},
	{`"flavors"`, `"report":{"names":["x0","x0"]},"flavors"`},
	{`"flavors"`, `"report":{"names":[""]},"flavors"`},
	{`"flavors"`, `"report":{"names":["a","b","c","d","e"]},"flavors"`},
}

// TestSettingsFaults compares the error of each invalid configuration with a golden file: "foxlift check" prints
// these errors.
func TestSettingsFaults(t *testing.T) {
	var b strings.Builder
	for _, c := range invalidSettings {
		if !strings.Contains(validSettings, c.old) {
			t.Fatalf("%s is not in validSettings", c.old)
		}
		_, err := load(t, strings.Replace(validSettings, c.old, c.new, 1), nil)
		fmt.Fprintf(&b, "%s for %s\n\t%v\n", c.new, c.old, err)
	}
	// The sum of two numbers may be infinite although each is finite.
	sum := strings.Replace(validSettings, `"aim":5`, `"aim":5,"aimStretch":1.7e308`, 1)
	_, err := load(t, strings.Replace(sum, `"classStretch":[2.5`, `"classStretch":[1.7e308`, 1), nil)
	fmt.Fprintf(&b, "an infinite sum\n\t%v\n", err)
	golden.Check(t, "settings-faults.txt", []byte(b.String()))
}

// invalidOperatorFiles are operator's files with errors that TestOperatorErrors does not cover.
var invalidOperatorFiles = []string{
	`(foxlift (control))`,
	`(foxlift (control (socket "/` + strings.Repeat("s", maxSocketPath) + `")))`,
	`(foxlift (cells (cell a (when-unable))))`,
	`(foxlift (cells (cell a (when-unable refuse twice))))`,
	`(foxlift (cells (cell a (tenants))))`,
	`(foxlift (cells (default ()) (cell a)))`,
	`(foxlift (cells (key (nodes 0) (jobs 1.5)) (cell a)))`,
	`(foxlift (cells (cell a (when-unable spill b 0.1))))`,
	`(foxlift (cells (cell a) (kind medium (weight light))))`,
	`(foxlift (cells` + strings.Repeat(` (cell a)`, maxCells+1) + `))`,
}

// TestOperatorFileFaults compares the first error and the number of errors of each invalid operator's file with a
// golden file.
func TestOperatorFileFaults(t *testing.T) {
	var b strings.Builder
	for _, text := range invalidOperatorFiles {
		_, err := ParseOperator("f", []byte(text), exampleSettings(t))
		operatorErrors := OperatorErrors(nil)
		if !errors.As(err, &operatorErrors) {
			t.Fatalf("ParseOperator(%.100s): error %v, want OperatorErrors", text, err)
		}
		fmt.Fprintf(&b, "%.100s\n\t%v, of %d\n", text, operatorErrors[0], len(operatorErrors))
	}
	golden.Check(t, "operator-faults.txt", []byte(b.String()))
}
