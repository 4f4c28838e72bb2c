package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// command runs a command of foxlift's to its end.
func command(t *testing.T, env []string, args ...string) (string, int) {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(append(os.Environ(), runAsFoxlift+"=1"), env...)
	out, err := cmd.CombinedOutput()
	if _, failed := err.(*exec.ExitError); err != nil && !failed {
		t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// check prints a line a fault and exits with 1; what is sound it says so.
func TestCheck(t *testing.T) {
	env := []string{"LB_CONFIG=../../examples/config.json"}
	if out, code := command(t, env, "check", "--operator", "../../deploy/operator.example.sexp"); code != 0 || !strings.Contains(out, "sound: 2 cells") {
		t.Errorf("%d: %s", code, out)
	}
	if out, code := command(t, []string{"LB_CONFIG=../../examples/keyed.json"}, "check"); code != 0 {
		t.Errorf("%d: %s", code, out)
	}
	bad := filepath.Join(t.TempDir(), "bad.sexp")
	os.WriteFile(bad, []byte("(foxlift (control (socket 7))\n (cells (cell a (share 9)) (cell a)))"), 0o600)
	out, code := command(t, env, "check", "--operator", bad)
	if code != 1 || strings.Count(out, bad+":") != 3 || !strings.Contains(out, bad+":2:24: cells.cell a.share: ") {
		t.Errorf("%d: %s", code, out)
	}
	for _, args := range [][]string{{"serve", "--operator", bad}, {"cells", "show"}, {"cells", "move", "t"}, {"nonsense"}, {"serve", "--log-format", "xml"}} {
		if out, code := command(t, env, args...); code != 1 || out == "" {
			t.Errorf("%v: %d: %s", args, code, out)
		}
	}
	if out, code := command(t, nil, "version"); code != 0 || !strings.HasPrefix(out, "foxlift ") {
		t.Errorf("%d: %s", code, out)
	}
}

// The cells commands against a running scheduler.
func TestCellsCommands(t *testing.T) {
	dir := t.TempDir()
	operator, socket := filepath.Join(dir, "o.sexp"), filepath.Join(dir, "c.sock")
	text := `(foxlift (control (socket "` + socket + `")) (cells (cell north (tenants central-belt)) (cell isles (share 0.5) (tenants islands))))`
	if err := os.WriteFile(operator, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var hosts []string
	for i := range 6 {
		hosts = append(hosts, fmt.Sprintf(`{"host":"h%d","dial":"127.0.0.1:1","site":"stirling","class":"medium","health":"active"}`, i))
	}
	cmd := foxlift(t, `"known": null`, `"known": {"seq":1,"hosts":[`+strings.Join(hosts, ",")+`]}`)
	cmd.Args = append(cmd.Args, "serve", "--operator", operator, "--log-format", "json")
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	lines := bufio.NewScanner(stderr)
	if !lines.Scan() || !json.Valid(lines.Bytes()) || !strings.Contains(lines.Text(), "listening for clients") {
		t.Fatalf("first line %q", lines.Text())
	}
	do := func(want string, code int, args ...string) string {
		t.Helper()
		out, got := command(t, nil, append(append([]string{}, args...), "--socket", socket)...)
		if got != code || !strings.Contains(out, want) {
			t.Errorf("%v: %d, %s", args, got, out)
		}
		return out
	}
	do("isles", 0, "cells", "show")
	shown := map[string]any{}
	if err := json.Unmarshal([]byte(do("", 0, "cells", "show", "--json")), &shown); err != nil || len(shown["cells"].([]any)) != 2 {
		t.Errorf("%v: %v", shown, err)
	}
	do("tenants 1, held jobs gone over 0", 0, "cells", "move", "islands", "north")
	do("the tenant is in that cell already", 1, "cells", "move", "islands", "north")
	do("there is no such cell", 1, "cells", "move", "islands", "east")
	do("tenants 2", 0, "cells", "evacuate", "north")
	do("evacuated", 0, "cells", "show")
	do("tenants 1", 0, "cells", "restore") // the other was moved to where it lives
	do(`"cells": true`, 0, "status")
	if out, code := command(t, nil, "cells", "show", "--operator", operator); code != 0 {
		t.Errorf("by the operator's file: %d, %s", code, out)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	for lines.Scan() {
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("it ends with %v", err)
	}
	if _, err := os.Lstat(socket); !os.IsNotExist(err) {
		t.Errorf("the socket stays: %v", err)
	}
}
