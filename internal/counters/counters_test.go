package counters

import (
	"maps"
	"strings"
	"testing"
)

// A counter holds the sum of its parts; Print shows what is not zero, sorted.
func TestSet(t *testing.T) {
	var set Set
	set.Add("b")
	set.AddLabeled("a", "x")
	set.AddLabeled("a", "x")
	set.AddLabeled("a", "y")
	if set.Get("a") != 3 || set.Get("b") != 1 || set.Get("c") != 0 {
		t.Errorf("counters: %v", set.All())
	}
	if set.GetLabeled("a", "x") != 2 || set.GetLabeled("a", "y") != 1 || set.GetLabeled("b", "x") != 0 {
		t.Errorf("parts of a: x %d, y %d", set.GetLabeled("a", "x"), set.GetLabeled("a", "y"))
	}
	all := set.All()
	all["b"] = 9
	if !maps.Equal(set.All(), map[string]int64{"a": 3, "b": 1}) {
		t.Errorf("a copy changes the set: %v", set.All())
	}
	var text strings.Builder
	set.Print(&text)
	if text.String() != "a 3\nb 1\n" {
		t.Errorf("printed %q", text.String())
	}
}
