package config

import (
	"errors"
	"os"
	"strings"
	"testing"
)

// exampleSettings returns the settings of the example configuration.
func exampleSettings(t testing.TB) *Settings {
	t.Helper()
	s, err := Load(func(name string) string {
		if name == "LB_CONFIG" {
			return "../../examples/config.json"
		}
		return ""
	})
	if err != nil {
		t.Fatal(err)
	}
	return s.Settings
}

// The example of an operator's file under deploy/ is valid, and its values are read.
func TestOperatorExample(t *testing.T) {
	text, err := os.ReadFile("../../deploy/operator.example.sexp")
	if err != nil {
		t.Fatal(err)
	}
	op, err := ParseOperator("example", text, exampleSettings(t))
	if err != nil {
		t.Fatal(err)
	}
	plan := op.Cells
	if op.ControlSocket != "/tmp/foxlift-control.sock" || plan.CellCount() != 2 || plan.MaxJobsPerKey() != 16 {
		t.Errorf("ParseOperator(example) = %+v, want socket /tmp/foxlift-control.sock, 2 cells and 16 jobs per key", op)
	}
	if fraction := plan.CapacityFraction(plan.CellIndex("isles")); fraction != 0.25 {
		t.Errorf("CapacityFraction(isles) = %g, want 0.25", fraction)
	}
	if op.EndpointCheckpoint != "/tmp/foxlift-list" {
		t.Errorf("EndpointCheckpoint = %q, want /tmp/foxlift-list", op.EndpointCheckpoint)
	}
	if path, err := ReadControlSocket("../../deploy/operator.example.sexp"); err != nil || path != op.ControlSocket {
		t.Errorf("ReadControlSocket(example) = %q, %v, want %q", path, err, op.ControlSocket)
	}
	op, err = ParseOperator("empty", []byte("; nothing\n"), exampleSettings(t))
	if err != nil || op.Cells != nil || op.ControlSocket != "" {
		t.Errorf("ParseOperator(empty file) = %+v, %v, want no cells, no socket and no error", op, err)
	}
}

// Errors name the file, line, column and key. All errors of a file are reported at once, in the order of their
// positions.
func TestOperatorErrors(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"many at once": {`(foxlift
  (control (socket relative) (port 9))
  (cells
    (default nowhere)
    (cell a (share 1.5) (tenants islands nobody) (when-unable spill a 0.1))
    (cell a (jobs -1) (when-unable wait))
    (kind huge (weight 2))
    (split islands (cells a))
    (colour red)))`, `f:2:20: control.socket: "relative" is not an absolute path
f:2:31: control.port: unknown key; known here: socket
f:4:6: cells.default: there is no cell "nowhere"
f:5:20: cells.cell a.share: 1.5 is not a number from 0.001 to 1
f:5:42: cells.cell a.tenants nobody: the platform has no such tenant
f:5:69: cells.cell a.when-unable: a cell cannot spill into itself
f:6:6: cells.cell a: the cell is configured more than once
f:6:19: cells.cell a.jobs: -1 is not an integer from 1 to 1000000
f:6:36: cells.cell a.when-unable: wait is not one of: refuse, spill
f:7:6: cells.kind huge: the platform has no such machine kind
f:8:6: cells.split islands: a split needs at least two cells and (by key)
f:8:6: cells.split islands: the tenant is already assigned to a cell or split
f:9:6: cells.colour: unknown key; known here: cell, default, key, kind, split`},
		"no checkpoint": {`(foxlift (list))`, `f:1:11: list: checkpoint is missing`},
		"a relative path": {
			`(foxlift (list (checkpoint "kept") (age 5)))`,
			"f:1:28: list.checkpoint: \"kept\" is not an absolute path\n" +
				"f:1:37: list.age: unknown key; known here: checkpoint",
		},
		"no list":          {`foxlift`, `f:1:1: foxlift is not a list that begins with a key`},
		"not closed":       {"(foxlift\n (cells", `f:2:8: unexpected token "<EOF>" (expected ")")`},
		"closed too often": {"(foxlift))", `f:1:10: unexpected token ")"`},
		"open string":      {"(foxlift (control (socket \"/a)))\n", `f:1:27: invalid input text "\"/a)))\n"`},
		"twice": {
			`(foxlift (control (socket "/a")) (control (socket "/b")))`,
			`f:1:35: control: the key is there more than once`,
		},
		"no cells": {`(foxlift (cells))`, `f:1:11: cells: no cell is configured`},
		"shares": {
			`(foxlift (cells (cell a (share 0.9)) (cell b (share 0.2))))`,
			`f:1:11: cells: the shares add up to 1.1, more than 1`,
		},
		"not a number": {
			`(foxlift (cells (cell a (share NaN))))`,
			`f:1:32: cells.cell a.share: NaN is not a number from 0.001 to 1`,
		},
		"two values": {`(foxlift (cells (cell a (share 0.1 0.2))))`, `f:1:26: cells.cell a.share: 2 values, want one`},
		"no name":    {`(foxlift (cells (cell)))`, `f:1:18: cells.cell: the name is missing`},
		"spill alone": {
			`(foxlift (cells (cell a (when-unable spill b))))`,
			`f:1:26: cells.cell a.when-unable: spill needs a cell and a fraction of that cell's job bound`,
		},
		"too deep": {strings.Repeat("(", 10000), `f: lists are nested more than 32 deep`},
		"too long": {strings.Repeat(";", maxOperatorFileBytes+1), `f: 1048577 bytes, at most 1048576 are allowed`},
	} {
		_, err := ParseOperator("f", []byte(c.text), exampleSettings(t))
		if operatorErrors := OperatorErrors(nil); !errors.As(err, &operatorErrors) || err.Error() != c.want {
			t.Errorf("%s: ParseOperator() error\n%v\nwant\n%s", name, err, c.want)
		}
	}
}

// A discovery mode or a zone that is not known is an error. Unknown keys are ignored.
func TestSettingsNames(t *testing.T) {
	text, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, with, want string }{
		{`"discovery": "subscribe"`, `"discovery": "127.0.0.1:4000"`, "settings.discovery: "},
		{`"zone": "stirling"`, `"zone": "perth"`, "settings.zone: "},
		{`"discovery": "subscribe"`, `"discovery": "automatic", "colour": "red"`, ""},
	} {
		if !strings.Contains(string(text), c.old) {
			t.Fatalf("%s is not in the example", c.old)
		}
		path := t.TempDir() + "/config.json"
		if err := os.WriteFile(path, []byte(strings.Replace(string(text), c.old, c.with, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := Load(func(name string) string { return map[string]string{"LB_CONFIG": path}[name] })
		switch {
		case c.want != "" && (err == nil || !strings.HasPrefix(err.Error(), c.want)):
			t.Errorf("Load() with %s: error %v, want prefix %q", c.with, err, c.want)
		case c.want == "" && (err != nil || !s.Settings.Module.PollEndpoints):
			t.Errorf("Load() with %s: error %v, want no error and PollEndpoints", c.with, err)
		}
	}
}
