package counters

import (
	"maps"
	"strings"
	"testing"
)

// A counter includes the counts of its labels, All returns a copy, and Print writes the counters that are not
// zero, sorted by name.
func TestSet(t *testing.T) {
	var set Set
	set.Add("b")
	set.AddLabeled("a", "x")
	set.AddLabeled("a", "x")
	set.AddLabeled("a", "y")
	if set.Get("a") != 3 || set.Get("b") != 1 || set.Get("c") != 0 {
		t.Errorf("All() = %v, want a 3 and b 1", set.All())
	}
	if set.GetLabeled("a", "x") != 2 || set.GetLabeled("a", "y") != 1 || set.GetLabeled("b", "x") != 0 {
		t.Errorf("GetLabeled(\"a\") = %d for x, %d for y; want 2 and 1, and 0 for b",
			set.GetLabeled("a", "x"), set.GetLabeled("a", "y"))
	}
	all := set.All()
	all["b"] = 9
	if !maps.Equal(set.All(), map[string]int64{"a": 3, "b": 1}) {
		t.Errorf("All() = %v after a change of its earlier result, want a 3 and b 1", set.All())
	}
	var text strings.Builder
	set.Print(&text)
	if text.String() != "a 3\nb 1\n" {
		t.Errorf("Print() writes %q, want %q", text.String(), "a 3\nb 1\n")
	}
}
