package foxlift

import (
	"bufio"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// deploySettings returns the entries of a list that deploy/balancer.toml has in one line.
func deploySettings(t *testing.T, key string) []string {
	t.Helper()
	settings, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^` + key + ` = \[(.*)\]$`).FindSubmatch(settings)
	if list == nil {
		t.Fatalf("deploy/balancer.toml has no list of %s in one line", key)
	}
	var entries []string
	for entry := range strings.SplitSeq(string(list[1]), ",") {
		entries = append(entries, strings.Trim(entry, ` "`))
	}
	return entries
}

// policyFiles returns the files that contain decisions, as listed in deploy/balancer.toml.
func policyFiles(t *testing.T) []string {
	t.Helper()
	return deploySettings(t, "policy")
}

// A file with decisions has fewer than 400 lines that are not blank, each of at most 110 characters.
func TestLineLimits(t *testing.T) {
	for _, name := range policyFiles(t) {
		lines := 0
		f, err := os.Open(name)
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		for sc := bufio.NewScanner(f); sc.Scan(); {
			if strings.TrimSpace(sc.Text()) != "" {
				lines++
			}
			if len(sc.Text()) > 110 {
				t.Errorf("%s: line of %d characters, want at most 110: %s", name, len(sc.Text()), sc.Text())
			}
		}
		if lines == 0 || lines >= 400 {
			t.Errorf("%s has %d lines that are not blank, want 1 to 399", name, lines)
		}
	}
}

// Every file of the decision module is listed under policy in deploy/balancer.toml or has the sentence "Nothing
// is decided here."
func TestEveryFileIsPolicyOrDecidesNothing(t *testing.T) {
	policy := policyFiles(t)
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	parts, err := filepath.Glob("internal/decision/*/*.go")
	if err != nil {
		t.Fatal(err)
	}
	if len(parts) == 0 {
		t.Error("no Go file under internal/decision, want the packages of the decision module")
	}
	files = append(files, parts...)
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") || name == "api.go" || slices.Contains(policy, name) {
			continue
		}
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(string(text), " Nothing is decided here.\n") {
			t.Errorf("%s is not listed under policy and does not say that nothing is decided there", name)
		}
	}
}
