package config

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// An OperatorError is one error in the operator's file.
type OperatorError struct {
	File         string
	Line, Column int    // position, from 1; 0: the error concerns the whole file
	Key          string // key of the form with its enclosing keys, separated by dots; may be empty
	Text         string
}

// Error returns the error as file:line:column: key: text, without the parts that are not set.
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

// OperatorErrors are all errors in an operator's file, in the order of their positions.
type OperatorErrors []OperatorError

// Error returns one line for each error.
func (e OperatorErrors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}

// A reader reads the forms of an operator's file and collects the errors in them.
type reader struct {
	file     string
	errors   OperatorErrors
	subjects map[string]form // the form of each subject of a cells.SpecError
}

// addError records an error at the position of a value, or of the whole file if at is nil.
func (r *reader) addError(at *sexp, key, format string, args ...any) {
	e := OperatorError{File: r.file, Key: key, Text: fmt.Sprintf(format, args...)}
	if at != nil {
		e.Line, e.Column = at.Pos.Line, at.Pos.Column
	}
	r.errors = append(r.errors, e)
}

// sorted returns the errors in the order of their positions in the file.
func (r *reader) sorted() OperatorErrors {
	slices.SortStableFunc(r.errors, func(a, b OperatorError) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return r.errors
}

// A form is a sexpForm split into its key and its values.
type form struct {
	at   *sexp   // the key, as the position of errors
	key  string  // with the enclosing keys, for error messages
	args []*sexp // the values after the key
}

// A rule defines how the forms with one key are read.
type rule struct {
	repeatable bool       // whether the key may occur more than once
	read       func(form) // reads one form with the key
}

// readForms reads each value as a form, by the rule of its key. A value that is not a form, a key without a rule
// and a duplicate of a key that is not repeatable are errors. within is the key of the enclosing form.
func (r *reader) readForms(within string, values []*sexp, rules map[string]rule) {
	seen := map[string]bool{}
	for _, v := range values {
		if v.Form == nil || len(v.Form.Values) == 0 || v.Form.Values[0].Atom == nil {
			r.addError(v, within, "%s is not a list that begins with a key", v)
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
			r.addError(at, key, "the key is there more than once")
		default:
			seen[name] = true
			rule.read(form{at, key, v.Form.Values[1:]})
		}
	}
}

// sortedKeys returns the keys of a map in alphabetical order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// singleValue returns the only value of a form. If the form does not have exactly one value, it records an error
// and returns nil.
func (r *reader) singleValue(f form) *sexp {
	if len(f.args) != 1 {
		r.addError(f.at, f.key, "%d values, want one", len(f.args))
		return nil
	}
	return f.args[0]
}

// readText reads a value as an atom or a non-empty string. For another value it records an error and returns "". A nil
// value, whose error is already recorded, yields "" as well.
func (r *reader) readText(f form, v *sexp) string {
	switch {
	case v == nil:
	case v.Atom != nil:
		return *v.Atom
	case v.Text != nil && *v.Text != "":
		return *v.Text
	default:
		r.addError(v, f.key, "%s is not a name", v)
	}
	return ""
}

// readKeyword reads a value as one of the known words. For another value it records an error and returns "".
func (r *reader) readKeyword(f form, v *sexp, known ...string) string {
	if v == nil {
		return ""
	}
	if v.Atom != nil && slices.Contains(known, *v.Atom) {
		return *v.Atom
	}
	r.addError(v, f.key, "%s is not one of: %s", v, strings.Join(known, ", "))
	return ""
}

// readNumber reads a value as a number from minimum to maximum. For another value it records an error and returns 0.
func (r *reader) readNumber(f form, v *sexp, minimum, maximum float64) float64 {
	if v == nil {
		return 0
	}
	if v.Atom != nil {
		// The comparisons are false for NaN, which is therefore rejected.
		if n, err := strconv.ParseFloat(*v.Atom, 64); err == nil && n >= minimum && n <= maximum {
			return n
		}
	}
	r.addError(v, f.key, "%s is not a number from %g to %g", v, minimum, maximum)
	return 0
}

// readPositiveInteger reads a value as an integer from 1 to maximum. For another value it records an error and returns
// 0.
func (r *reader) readPositiveInteger(f form, v *sexp, maximum int) int {
	if v == nil {
		return 0
	}
	if v.Atom != nil {
		if n, err := strconv.Atoi(*v.Atom); err == nil && n >= 1 && n <= maximum {
			return n
		}
	}
	r.addError(v, f.key, "%s is not an integer from %d to %d", v, 1, maximum)
	return 0
}
