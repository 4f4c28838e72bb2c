package counters

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/vatu-meals/foxlift/internal/golden"
)

// counterName matches the name of a counter, or the prefix of counter names that are composed at run time.
var counterName = regexp.MustCompile(`^(accept|bad|cells|checkpoint|claims|drains|invariant|jobs|loads|machines|` +
	`nodes|peers|probes|reloads|upgrades)\.[a-z_]*$`)

// excludedDirectories lists the directories under internal that are not part of the scheduler binary.
var excludedDirectories = []string{"lab", "standin", "fuzz", "golden", "wire"}

// TestNames compares the names of all counters in the scheduler's code with a golden file, since dashboards
// use them. The suffixes of names that are composed at run time are tested in the packages that count them.
func TestNames(t *testing.T) {
	names := map[string]bool{}
	for _, root := range []string{"../../cmd/foxlift", ".."} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			switch {
			case err != nil:
				return err
			case entry.IsDir() && slices.Contains(excludedDirectories, entry.Name()):
				return filepath.SkipDir
			case !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
				return nil
			}
			return collectNames(path, names)
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	golden.Check(t, "names.txt", []byte(strings.Join(slices.Sorted(maps.Keys(names)), "\n")+"\n"))
}

// collectNames adds the string literals of a source file that are counter names.
func collectNames(path string, names map[string]bool) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	ast.Inspect(file, func(n ast.Node) bool {
		if literal, ok := n.(*ast.BasicLit); ok && literal.Kind == token.STRING {
			if text, err := strconv.Unquote(literal.Value); err == nil && counterName.MatchString(text) {
				names[text] = true
			}
		}
		return true
	})
	return nil
}
