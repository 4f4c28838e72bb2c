package foxlift

import (
	"go/scanner"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// otherSites has the names of classes and tenants of two deployments whose site files are not in this
// repository. The names of the other deployments are read from their site files.
const otherSites = `reading ratify central-belt urban-roadside north-east highlands south-west borders
fife-tayside islands cut-clip publish-clip bay-state-sports granite-net coastal-cable pioneer-valley-tv
green-mtn-sports ocean-state-net merrimack-media nutmeg-sports kennebec-tv transcode publish`

// The program must not depend on a deployment: no string literal in its packages contains the name of a class
// or a tenant of one.
func TestNoDeploymentNamesInPackages(t *testing.T) {
	names := regexp.MustCompile(`\b(` + strings.Join(deploymentNames(t), "|") + `)\b`)
	files := 0
	for _, dir := range append([]string{"."}, deploySettings(t, "node")...) {
		paths, err := fs.Glob(os.DirFS(dir), "*.go")
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range paths {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			files++
			for _, literal := range stringLiterals(t, filepath.Join(dir, name)) {
				if names.MatchString(literal) {
					t.Errorf("%s: string literal %s contains a name of a deployment", filepath.Join(dir, name), literal)
				}
			}
		}
	}
	if files < 40 {
		t.Errorf("checked %d files, want at least 40", files)
	}
}

// deploymentNames returns the names of the classes and tenants of all deployments.
func deploymentNames(t *testing.T) []string {
	t.Helper()
	names := strings.Fields(otherSites)
	sites, err := filepath.Glob("deploy/sites/*/*.toml")
	if err != nil || len(sites) != 2 {
		t.Fatalf("site files %v, error %v, want 2 files", sites, err)
	}
	entry := regexp.MustCompile(`\[\[(?:class|tenant)\]\]\nname = "([^"]+)"`)
	for _, path := range sites {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		found := entry.FindAllSubmatch(text, -1)
		if len(found) < 3 {
			t.Errorf("%s: %d names of classes and tenants, want at least 3", path, len(found))
		}
		for _, m := range found {
			names = append(names, string(m[1]))
		}
	}
	return names
}

// stringLiterals returns the string literals of a Go file, as written.
func stringLiterals(t *testing.T, path string) (literals []string) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	set := token.NewFileSet()
	var s scanner.Scanner
	s.Init(set.AddFile(path, -1, len(text)), text, nil, 0)
	for {
		_, tok, literal := s.Scan()
		if tok == token.EOF {
			return literals
		}
		if tok == token.STRING {
			literals = append(literals, literal)
		}
	}
}
