package config

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// An OperatorError is one thing wrong with the operator's file.
type OperatorError struct {
	File         string
	Line, Column int // 0: the file as a whole
	Key          string
	Text         string
}

// Error implements error.
func (e OperatorError) Error() string {
	place := e.File
	if e.Line > 0 {
		place = fmt.Sprintf("%s:%d:%d", e.File, e.Line, e.Column)
	}
	if e.Key != "" {
		return fmt.Sprintf("%s: %s: %s", place, e.Key, e.Text)
	}
	return fmt.Sprintf("%s: %s", place, e.Text)
}

// OperatorErrors are all that is wrong, in the file's order.
type OperatorErrors []OperatorError

// Error implements error: a line for each.
func (e OperatorErrors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}

// A reader walks the forms of a file and gathers what is wrong with them.
type reader struct {
	file     string
	errors   OperatorErrors
	subjects map[string]form // the form of each subject of a cells.SpecError
}

func (r *reader) addError(at *sexp, key, format string, args ...any) {
	e := OperatorError{File: r.file, Key: key, Text: fmt.Sprintf(format, args...)}
	if at != nil {
		e.Line, e.Column = at.Pos.Line, at.Pos.Column
	}
	r.errors = append(r.errors, e)
}

// sorted returns the errors in the file's order.
func (r *reader) sorted() OperatorErrors {
	slices.SortStableFunc(r.errors, func(a, b OperatorError) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return r.errors
}

// A form is a sexpForm by its key.
type form struct {
	at   *sexp
	key  string // with the keys around it, for messages
	args []*sexp
}

// A rule says how the forms with one key are read.
type rule struct {
	repeatable bool // more than one may be there
	read       func(form)
}

// forms reads the forms in values by the rules of their keys; a key without a rule is an error.
func (r *reader) readForms(within string, values []*sexp, rules map[string]rule) {
	seen := map[string]bool{}
	for _, v := range values {
		if v.Form == nil || len(v.Form.Values) == 0 || v.Form.Values[0].Atom == nil {
			r.addError(v, within, "%s stands where a list that begins with a key should", v)
			continue
		}
		name := *v.Form.Values[0].Atom
		key := strings.TrimPrefix(within+"."+name, ".")
		at := v.Form.Values[0]
		rule, ok := rules[name]
		switch {
		case !ok:
			r.addError(at, key, "unknown key; known here: %s", strings.Join(sortedKeys(rules), ", "))
		case seen[name] && !rule.repeatable:
			r.addError(at, key, "it is there twice")
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

// singleValue returns the only value of a form.
func (r *reader) singleValue(f form) *sexp {
	if len(f.args) != 1 {
		r.addError(f.at, f.key, "%d values, want one", len(f.args))
		return nil
	}
	return f.args[0]
}

// text reads an atom or a string.
func (r *reader) text(f form, v *sexp) string {
	switch {
	case v == nil:
	case v.Atom != nil:
		return *v.Atom
	case v.Text != nil && *v.Text != "":
		return *v.Text
	default:
		r.addError(v, f.key, "%s is no name", v)
	}
	return ""
}

// keyword reads one of the known words.
func (r *reader) keyword(f form, v *sexp, known ...string) string {
	if v == nil {
		return ""
	}
	if v.Atom != nil && slices.Contains(known, *v.Atom) {
		return *v.Atom
	}
	r.addError(v, f.key, "%s is not one of: %s", v, strings.Join(known, ", "))
	return ""
}

// number reads a number from a minimum to a maximum.
func (r *reader) number(f form, v *sexp, minimum, maximum float64) float64 {
	if v == nil {
		return 0
	}
	if v.Atom != nil {
		// NaN and the like compare as false.
		if n, err := strconv.ParseFloat(*v.Atom, 64); err == nil && n >= minimum && n <= maximum {
			return n
		}
	}
	r.addError(v, f.key, "%s is not a number from %g to %g", v, minimum, maximum)
	return 0
}

// positiveInteger reads an integer from 1 to a maximum.
func (r *reader) positiveInteger(f form, v *sexp, maximum int) int {
	if v == nil {
		return 0
	}
	if v.Atom != nil {
		if n, err := strconv.Atoi(*v.Atom); err == nil && n >= 1 && n <= maximum {
			return n
		}
	}
	r.addError(v, f.key, "%s is not a whole number from %d to %d", v, 1, maximum)
	return 0
}
