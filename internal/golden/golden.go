// Package golden provides helpers for tests that compare output of the program with golden files under testdata. Only
// tests import it.
package golden

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

var update = flag.Bool("update", false, "overwrite the golden files with the current output of the program")

// Check compares got with the golden file testdata/name, byte for byte, and reports an error with the first difference.
// With -update it overwrites the file with got instead.
func Check(t testing.TB, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs from the current output:\n%s", path, firstDifference(got, want))
	}
}

// firstDifference describes the first line that differs, followed by the complete text got.
func firstDifference(got, want []byte) string {
	gotLines, wantLines := bytes.Split(got, []byte("\n")), bytes.Split(want, []byte("\n"))
	for i := range max(len(gotLines), len(wantLines)) {
		var gotLine, wantLine []byte
		if i < len(gotLines) {
			gotLine = gotLines[i]
		}
		if i < len(wantLines) {
			wantLine = wantLines[i]
		}
		if !bytes.Equal(gotLine, wantLine) {
			return fmt.Sprintf("line %d\ngot  %q\nwant %q\ncomplete output:\n%s", i+1, gotLine, wantLine, got)
		}
	}
	return "all lines are equal"
}

// Fill sets every field and element below a pointer, in the order of the fields, to a distinct nonzero value, so that a
// comparison notices a missing or exchanged field. All booleans become true. Slices get two elements, maps one. It
// panics at a type that it does not support.
func Fill(pointer any) {
	f := filler{}
	f.fill(reflect.ValueOf(pointer).Elem())
}

// A filler counts the values that it has set, to derive the next one.
type filler struct{ count int }

func (f *filler) fill(v reflect.Value) {
	f.count++
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(f.count))
	case reflect.Uint8, reflect.Uint16, reflect.Uint64:
		v.SetUint(uint64(f.count))
	case reflect.Float64:
		v.SetFloat(float64(f.count) + 0.25)
	case reflect.String:
		v.SetString(fmt.Sprint("text ", f.count))
	case reflect.Struct:
		for i := range v.NumField() {
			f.fill(v.Field(i))
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		f.fillElements(v)
	case reflect.Array:
		f.fillElements(v)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	default:
		panic(fmt.Sprintf("golden: Fill does not support type %s", v.Type()))
	}
}

func (f *filler) fillElements(v reflect.Value) {
	for i := range v.Len() {
		f.fill(v.Index(i))
	}
}
