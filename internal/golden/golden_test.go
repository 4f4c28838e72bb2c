package golden

import (
	"reflect"
	"strings"
	"testing"
)

// Every part of a value is filled, and no two parts are the same.
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
		t.Errorf("%+v", got)
	}
	seen := map[part]bool{}
	for _, p := range append(got.Parts, got.Pairs[:]...) {
		if p.Whole == 0 || p.Share == 0 || seen[p] {
			t.Errorf("%+v is empty or there twice", p)
		}
		seen[p] = true
	}
	for _, p := range got.ByKey {
		if p.Whole == 0 || seen[*p] {
			t.Errorf("%+v is empty or there twice", *p)
		}
	}
	before := got
	Fill(&got)
	if !reflect.DeepEqual(before, got) {
		t.Errorf("filled again: %+v, want %+v", got, before)
	}
}

// The message names the first line that differs, also where one text is longer.
func TestFirstDifference(t *testing.T) {
	for _, c := range []struct{ got, want, part string }{
		{"a\nb\n", "a\nc\n", "line 2\ngot  \"b\"\nwant \"c\""},
		{"a", "a\nb", "line 2\ngot  \"\"\nwant \"b\""},
	} {
		if text := firstDifference([]byte(c.got), []byte(c.want)); !strings.HasPrefix(text, c.part) {
			t.Errorf("%q and %q: %s", c.got, c.want, text)
		}
	}
}
