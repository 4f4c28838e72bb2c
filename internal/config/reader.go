package config

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// A Fault is one thing wrong with the operator's file.
type OperatorError struct {
	File         string
	Line, Column int // 0: the file as a whole
	Key          string
	Text         string
}

func (f OperatorError) Error() string {
	at := f.File
	if f.Line > 0 {
		at = fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
	}
	if f.Key != "" {
		return fmt.Sprintf("%s: %s: %s", at, f.Key, f.Text)
	}
	return fmt.Sprintf("%s: %s", at, f.Text)
}

// Faults are all that is wrong, in the file's order.
type OperatorErrors []OperatorError

func (f OperatorErrors) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// A reader walks the forms of a file and gathers faults.
type reader struct {
	file     string
	errors   OperatorErrors
	subjects map[string]form // where what a cells.SpecError names stands
}

func (r *reader) fail(at *sexp, key, format string, args ...any) {
	f := OperatorError{File: r.file, Key: key, Text: fmt.Sprintf(format, args...)}
	if at != nil {
		f.Line, f.Column = at.Pos.Line, at.Pos.Column
	}
	r.errors = append(r.errors, f)
}

// sorted returns the faults in the file's order.
func (r *reader) sorted() OperatorErrors {
	slices.SortStableFunc(r.errors, func(a, b OperatorError) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return r.errors
}

// A form is a list that begins with its key.
type form struct {
	at   *sexp
	key  string // with the keys around it, for messages
	args []*sexp
}

// A rule says how the forms with one key are read.
type rule struct {
	many bool // more than one may be there
	read func(form)
}

// forms reads the lists in values by their keys; what has no rule is a fault.
func (r *reader) forms(within string, values []*sexp, rules map[string]rule) {
	seen := map[string]bool{}
	for _, v := range values {
		if v.Form == nil || len(v.Form.Values) == 0 || v.Form.Values[0].Atom == nil {
			r.fail(v, within, "%s stands where a list that begins with a key should", v)
			continue
		}
		name := *v.Form.Values[0].Atom
		key := strings.TrimPrefix(within+"."+name, ".")
		at := v.Form.Values[0]
		rule, ok := rules[name]
		switch {
		case !ok:
			r.fail(at, key, "unknown key; known here: %s", strings.Join(sortedKeys(rules), ", "))
		case seen[name] && !rule.many:
			r.fail(at, key, "it is there twice")
		default:
			seen[name] = true
			rule.read(form{at, key, v.Form.Values[1:]})
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// one returns the only value of a form.
func (r *reader) singleValue(f form) *sexp {
	if len(f.args) != 1 {
		r.fail(f.at, f.key, "%d values, want one", len(f.args))
		return nil
	}
	return f.args[0]
}

// text reads a word or a string.
func (r *reader) text(f form, v *sexp) string {
	switch {
	case v == nil:
	case v.Atom != nil:
		return *v.Atom
	case v.Text != nil && *v.Text != "":
		return *v.Text
	default:
		r.fail(v, f.key, "%s is no name", v)
	}
	return ""
}

// word reads one of some words.
func (r *reader) keyword(f form, v *sexp, known ...string) string {
	if v == nil {
		return ""
	}
	if v.Atom != nil && slices.Contains(known, *v.Atom) {
		return *v.Atom
	}
	r.fail(v, f.key, "%s is not one of: %s", v, strings.Join(known, ", "))
	return ""
}

// number reads a number from least to most.
func (r *reader) number(f form, v *sexp, least, most float64) float64 {
	if v == nil {
		return 0
	}
	if v.Atom != nil {
		// NaN and the like compare as false.
		if n, err := strconv.ParseFloat(*v.Atom, 64); err == nil && n >= least && n <= most {
			return n
		}
	}
	r.fail(v, f.key, "%s is not a number from %g to %g", v, least, most)
	return 0
}

// whole reads a whole number from least to most.
func (r *reader) integer(f form, v *sexp, least, most int) int {
	if v == nil {
		return 0
	}
	if v.Atom != nil {
		if n, err := strconv.Atoi(*v.Atom); err == nil && n >= least && n <= most {
			return n
		}
	}
	r.fail(v, f.key, "%s is not a whole number from %d to %d", v, least, most)
	return 0
}
