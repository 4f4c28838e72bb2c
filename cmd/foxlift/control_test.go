package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// runCommand runs foxlift with arguments until it exits, and returns its output and exit code.
func runCommand(t *testing.T, env []string, args ...string) (string, int) {
	t.Helper()
	cmd := newCommand(t, env...)
	cmd.Args = append(cmd.Args, args...)
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// The check command prints a line for each error and exits with code 1, or reports that the configuration is valid.
// Other commands with invalid arguments exit with code 1 and print an error.
func TestCheck(t *testing.T) {
	env := []string{"LB_CONFIG=../../examples/config.json"}
	out, code := runCommand(t, env, "check", "--operator", "../../deploy/operator.example.sexp")
	if code != 0 || !strings.Contains(out, "is valid: 2 cells") {
		t.Errorf("check exits with %d: %s; want code 0 and 2 cells", code, out)
	}
	if out, code := runCommand(t, []string{"LB_CONFIG=../../examples/keyed.json"}, "check"); code != 0 {
		t.Errorf("check without an operator's file exits with %d: %s; want code 0", code, out)
	}
	invalid := filepath.Join(t.TempDir(), "invalid.sexp")
	text := "(foxlift (control (socket 7))\n (cells (cell a (share 9)) (cell a)))"
	if err := os.WriteFile(invalid, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	out, code = runCommand(t, env, "check", "--operator", invalid)
	if code != 1 || strings.Count(out, invalid+":") != 3 ||
		!strings.Contains(out, invalid+":2:24: cells.cell a.share: ") {
		t.Errorf("check of an invalid file exits with %d: %s; want code 1 and 3 errors with positions", code, out)
	}
	for _, args := range [][]string{
		{"serve", "--operator", invalid},
		{"cells", "show"},
		{"cells", "move", "t"},
		{"nonsense"},
		{"serve", "--log-format", "xml"},
	} {
		if out, code := runCommand(t, env, args...); code != 1 || out == "" {
			t.Errorf("%v exits with %d: %s; want code 1 and an error", args, code, out)
		}
	}
	if out, code := runCommand(t, nil, "version"); code != 0 || !strings.HasPrefix(out, "foxlift ") {
		t.Errorf("version exits with %d: %s; want code 0 and the version", code, out)
	}
}

// The cells and status commands work against a running scheduler, and the control socket is removed at its exit.
func TestCellsCommands(t *testing.T) {
	dir := t.TempDir()
	operator, socket := filepath.Join(dir, "o.sexp"), filepath.Join(dir, "c.sock")
	text := fmt.Sprintf(`(foxlift (control (socket %q)) (cells
 (cell north (tenants central-belt)) (cell isles (share 0.5) (tenants islands))))`, socket)
	if err := os.WriteFile(operator, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	const entry = `{"host":"h%d","dial":"127.0.0.1:1","site":"stirling","class":"medium","health":"active"}`
	var entries []string
	for i := range 6 {
		entries = append(entries, fmt.Sprintf(entry, i))
	}
	program := newProcessWithEndpoints(t, entries...)
	program.Args = append(program.Args, "serve", "--operator", operator, "--log-format", "json")
	program.start(t)
	if !program.lines.Scan() || !json.Valid(program.lines.Bytes()) ||
		!strings.Contains(program.lines.Text(), "listening for clients") {
		t.Fatalf("first log line %q, want \"listening for clients\" as JSON", program.lines.Text())
	}
	expect := func(want string, code int, args ...string) string {
		t.Helper()
		out, got := runCommand(t, nil, append(append([]string{}, args...), "--socket", socket)...)
		if got != code || !strings.Contains(out, want) {
			t.Errorf("%v exits with %d: %s; want code %d and %q", args, got, out, code, want)
		}
		return out
	}
	expect("isles", 0, "cells", "show")
	var shown struct {
		Cells []any `json:"cells"`
	}
	err := json.Unmarshal([]byte(expect("", 0, "cells", "show", "--json")), &shown)
	if err != nil || len(shown.Cells) != 2 {
		t.Errorf("cells show --json = %v, error %v; want 2 cells", shown, err)
	}
	expect("tenants 1, queued jobs moved 0", 0, "cells", "move", "islands", "north")
	expect("the tenant is in that cell already", 1, "cells", "move", "islands", "north")
	expect("there is no such cell", 1, "cells", "move", "islands", "east")
	expect("tenants 2", 0, "cells", "evacuate", "north")
	expect("evacuated", 0, "cells", "show")
	expect("tenants 1", 0, "cells", "restore") // the other tenant was moved back to its own cell
	expect(`"cells": true`, 0, "status")
	if out, code := runCommand(t, nil, "cells", "show", "--operator", operator); code != 0 {
		t.Errorf("cells show --operator exits with %d: %s; want code 0", code, out)
	}
	program.signal(t, syscall.SIGTERM)
	program.awaitExit(t)
	if _, err := os.Lstat(socket); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("Lstat of the control socket after the exit: error %v, want %v", err, os.ErrNotExist)
	}
}
