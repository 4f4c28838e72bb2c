package golden

import (
	"reflect"
	"strings"
	"testing"
)

// Fill sets every field and element of a value, no two of them to the same value, and fills the same value the same way
// again. Golden files of stored data rely on it to show each field.
func TestFill(t *testing.T) {
	type part struct {
		Whole int64
		Share float64
	}
	var got struct {
		On    bool
		Name  string
		Parts []part
		Pairs [2]part
		ByKey map[string]*part
	}
	Fill(&got)
	if !got.On || got.Name == "" || len(got.Parts) != 2 || len(got.ByKey) != 1 {
		t.Errorf("Fill() left fields or elements empty: %+v", got)
	}
	seen := map[part]bool{}
	for _, p := range append(got.Parts, got.Pairs[:]...) {
		if p.Whole == 0 || p.Share == 0 || seen[p] {
			t.Errorf("Fill() set element %+v, want every element nonzero and distinct", p)
		}
		seen[p] = true
	}
	for _, p := range got.ByKey {
		if p.Whole == 0 || seen[*p] {
			t.Errorf("Fill() set map value %+v, want a nonzero value that is in no slice or array", *p)
		}
	}
	before := got
	Fill(&got)
	if !reflect.DeepEqual(before, got) {
		t.Errorf("the second Fill() = %+v, want the same as the first, %+v", got, before)
	}
}

// firstDifference names the first line that differs, also if one of the texts has more lines.
func TestFirstDifference(t *testing.T) {
	for _, c := range []struct{ got, want, part string }{
		{"a\nb\n", "a\nc\n", "line 2\ngot  \"b\"\nwant \"c\""},
		{"a", "a\nb", "line 2\ngot  \"\"\nwant \"b\""},
	} {
		if text := firstDifference([]byte(c.got), []byte(c.want)); !strings.HasPrefix(text, c.part) {
			t.Errorf("firstDifference(%q, %q) = %q, want prefix %q", c.got, c.want, text, c.part)
		}
	}
}
