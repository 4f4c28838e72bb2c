package foxlift

import (
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const architecturePage = "docs/ARCHITECTURE.md"

// Patterns of the names on the pages that the tests look up.
var (
	quoted      = regexp.MustCompile("`([^`\n]+)`")
	pathName    = regexp.MustCompile(`^(cmd|deploy|docs|examples|internal)/[\w./-]+$|^\w+\.(go|md|toml)$`)
	counterName = regexp.MustCompile(`^(accept|cells|checkpoint|claims|jobs|machines|nodes|probes|reloads)\.\w+$`)
	metricName  = regexp.MustCompile(`^scheduler_\w+$`)
	diagramPath = regexp.MustCompile(`\b(?:cmd|internal)/[\w./-]*\w`)
	linkTarget  = regexp.MustCompile(`\]\(([^)#:\s]+)(?:#[^)\s]*)?\)`)
)

// Each file or package that the architecture page and the README name by its path from the root must exist. The
// test fails when a file is moved and the pages are not updated.
func TestPagesNamePathsThatExist(t *testing.T) {
	for page, minPaths := range map[string]int{architecturePage: 40, "README.md": 20} {
		paths := 0
		for _, name := range quotedNames(readPage(t, page)) {
			if !pathName.MatchString(name) {
				continue
			}
			paths++
			if _, err := os.Stat(name); err != nil {
				t.Errorf("%s names %s, which does not exist", page, name)
			}
		}
		if paths < minPaths {
			t.Errorf("%s names %d paths, want %d at least", page, paths, minPaths)
		}
	}
}

// Each package of the scheduler must be named on one of the two pages, and each package of the decision module on
// the architecture page.
func TestPagesNameEveryPackage(t *testing.T) {
	architecture := quotedNames(readPage(t, architecturePage))
	named := append(quotedNames(readPage(t, "README.md")), architecture...)
	parts := 0
	for _, dir := range deploySettings(t, "node") {
		if strings.HasPrefix(dir, "internal/decision/") {
			parts++
			if !slices.Contains(architecture, dir) {
				t.Errorf("%s does not name %s", architecturePage, dir)
			}
			continue
		}
		if !slices.Contains(named, dir) {
			t.Errorf("neither %s nor README.md names %s", architecturePage, dir)
		}
	}
	if parts == 0 {
		t.Error("deploy/balancer.toml lists no part of the decision module under node")
	}
}

// Each counter and metric that the architecture page names must be in the source under this name.
func TestArchitecturePageNamesCountersAndMetrics(t *testing.T) {
	source := programSource(t)
	counters, metrics := 0, 0
	for _, name := range quotedNames(readPage(t, architecturePage)) {
		switch {
		case counterName.MatchString(name):
			counters++
			if !strings.Contains(source, `"`+name+`"`) {
				t.Errorf("%s names the counter %s, which is not in the source", architecturePage, name)
			}
		case metricName.MatchString(name):
			metrics++
			if !strings.Contains(source, `"`+strings.TrimPrefix(name, "scheduler_")+`"`) {
				t.Errorf("%s names the metric %s, which is not in the source", architecturePage, name)
			}
		}
	}
	if counters < 10 || metrics < 4 {
		t.Errorf("%s names %d counters and %d metrics, want at least 10 and 4", architecturePage, counters, metrics)
	}
}

func readPage(t *testing.T, page string) string {
	t.Helper()
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// quotedNames returns the names in backquotes and the paths in the diagrams, which are fenced by three backquotes.
func quotedNames(page string) (names []string) {
	for i, part := range strings.Split(page, "```") {
		if i%2 == 1 {
			names = append(names, diagramPath.FindAllString(part, -1)...)
			continue
		}
		for _, m := range quoted.FindAllStringSubmatch(part, -1) {
			names = append(names, m[1])
		}
	}
	return names
}

// programSource returns the source of all Go files under cmd and internal, without tests.
func programSource(t *testing.T) string {
	t.Helper()
	var text strings.Builder
	for _, dir := range []string{"cmd", "internal"} {
		err := filepath.WalkDir(dir, func(name string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || path.Ext(name) != ".go" || strings.HasSuffix(name, "_test.go") {
				return err
			}
			file, err := os.ReadFile(name)
			text.Write(file)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return text.String()
}

// Each relative link of the pages must lead to a file that exists.
func TestPageLinksResolve(t *testing.T) {
	pages, err := filepath.Glob("docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, pattern := range []string{"docs/*/*.md", "README.md"} {
		more, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		pages = append(pages, more...)
	}
	links := 0
	for _, page := range pages {
		for _, m := range linkTarget.FindAllStringSubmatch(readPage(t, page), -1) {
			links++
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), m[1])); err != nil {
				t.Errorf("%s links to %s, which does not exist", page, m[1])
			}
		}
	}
	if links < 10 {
		t.Errorf("%d links found in %d pages, want at least 10", links, len(pages))
	}
}
