package config

import (
	"os"
	"path/filepath"

	"github.com/vatu-meals/foxlift/internal/cells"
)

// An Operator is what the operator's own file says. Everything in it is off unless
// the file asks for it.
type Operator struct {
	ControlSocket      string      // path of the control socket; "": none
	EndpointCheckpoint string      // path of the file in which the machine list is kept; "": it is not
	Cells              *cells.Plan // nil: no cells
}

// What the file may ask for at most.
const (
	maxCells      = 1000
	maxSocketPath = 100 // a Unix socket's path holds little more (unix(7): 108 bytes)
)

// ParseOperator reads an operator's file from its text and checks it against the
// platform's settings. Its error is Faults: all that is wrong, not the first alone.
func ParseOperator(name string, text []byte, s *Settings) (*Operator, error) {
	r := &reader{file: name}
	op := &Operator{}
	r.topLevel(text, op, func(f form) { op.Cells = r.cells(f, s) })
	if len(r.errors) > 0 {
		return nil, r.sorted()
	}
	return op, nil
}

// outermost reads the file's outermost forms; cells reads that of cells.
func (r *reader) topLevel(text []byte, op *Operator, cells func(form)) {
	r.forms("", r.parse(text), map[string]rule{"foxlift": {read: func(f form) {
		r.forms("", f.args, map[string]rule{
			"control": {read: func(f form) { r.control(f, op) }},
			"list":    {read: func(f form) { r.endpointCheckpoint(f, op) }},
			"cells":   {read: cells},
		})
	}}})
}

// ControlSocket reads the path of the control socket alone from an operator's file,
// for whoever has not the platform's settings at hand.
func ControlSocket(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", OperatorErrors{{File: path, Text: err.Error()}}
	}
	r, op := &reader{file: path}, &Operator{}
	r.topLevel(text, op, func(form) {})
	if len(r.errors) > 0 {
		return "", r.sorted()
	}
	return op.ControlSocket, nil
}

// absolutePath reads a form's one value as an absolute path; "" if it is none.
func (r *reader) absolutePath(f form) (v *sexp, path string) {
	v = r.singleValue(f)
	path = r.text(f, v)
	if path != "" && !filepath.IsAbs(path) {
		r.fail(v, f.key, "%q is not an absolute path", path)
		return v, ""
	}
	return v, path
}

func (r *reader) control(f form, op *Operator) {
	r.forms(f.key, f.args, map[string]rule{"socket": {read: func(f form) {
		v, path := r.absolutePath(f)
		if len(path) > maxSocketPath {
			r.fail(v, f.key, "a socket's path holds %d bytes at most", maxSocketPath)
			return
		}
		op.ControlSocket = path
	}}})
	if len(f.args) == 0 {
		r.fail(f.at, f.key, "socket is missing")
	}
}

func (r *reader) endpointCheckpoint(f form, op *Operator) {
	r.forms(f.key, f.args, map[string]rule{"checkpoint": {read: func(f form) {
		_, op.EndpointCheckpoint = r.absolutePath(f)
	}}})
	if len(f.args) == 0 {
		r.fail(f.at, f.key, "checkpoint is missing")
	}
}

func (r *reader) cells(f form, s *Settings) *cells.Plan {
	before := len(r.errors)
	spec := &cells.Spec{Weights: map[string]float64{}}
	r.subjects = map[string]form{"cells": f}
	r.forms(f.key, f.args, map[string]rule{
		"default": {read: func(f form) {
			r.subjects["default"] = f
			spec.Default = r.text(f, r.singleValue(f))
		}},
		"key": {read: func(f form) {
			r.forms(f.key, f.args, map[string]rule{
				"nodes": {read: func(f form) { spec.KeyWorkers = r.integer(f, r.singleValue(f), 1, 1000) }},
				"jobs":  {read: func(f form) { spec.KeyJobs = r.integer(f, r.singleValue(f), 1, 1e6) }},
			})
		}},
		"kind": {many: true, read: func(f form) {
			name, rest := r.namedForm(f)
			r.subjects["kind "+name] = f.withName(name)
			r.forms(f.key+" "+name, rest, map[string]rule{
				"weight": {read: func(f form) { spec.Weights[name] = r.number(f, r.singleValue(f), 0.01, 1000) }},
			})
		}},
		"cell": {many: true, read: func(f form) { spec.Cells = append(spec.Cells, r.cell(f)) }},
		"split": {many: true, read: func(f form) {
			name, rest := r.namedForm(f)
			r.subjects["split "+name], r.subjects["tenant "+name] = f.withName(name), f.withName(name)
			split, by := cells.Split{Tenant: name}, false
			r.forms(f.key+" "+name, rest, map[string]rule{
				"cells": {read: func(f form) { split.Cells = r.names(f, "") }},
				"by":    {read: func(f form) { r.keyword(f, r.singleValue(f), "key"); by = true }},
			})
			if len(split.Cells) < 2 || !by {
				r.fail(f.at, f.key+" "+name, "it needs two cells or more, and (by key)")
			}
			spec.Splits = append(spec.Splits, split)
		}},
	})
	sum := 0.0
	for _, c := range spec.Cells {
		sum += c.CapacityFraction
	}
	if sum > 1.0001 {
		r.fail(f.at, f.key, "the shares add up to %.3g, more than 1", sum)
	}
	if len(spec.Cells) > maxCells {
		r.fail(f.at, f.key, "%d cells, %d at most", len(spec.Cells), maxCells)
	}
	if len(spec.Cells) == 0 && len(r.errors) > before {
		return nil // that there is none may come of the faults
	}
	plan, faults := s.PlanCells(spec)
	for _, fault := range faults {
		at, ok := r.subjects[fault.Subject]
		if !ok {
			at = f
		}
		r.fail(at.at, at.key, "%s", fault.Text)
	}
	return plan
}

func (r *reader) cell(f form) cells.Cell {
	name, rest := r.namedForm(f)
	c := cells.Cell{Name: name}
	r.subjects["cell "+name] = f.withName(name)
	r.forms(f.key+" "+name, rest, map[string]rule{
		"share":       {read: func(f form) { c.CapacityFraction = r.number(f, r.singleValue(f), 0.001, 1) }},
		"tenants":     {read: func(f form) { c.Tenants = r.names(f, "tenant ") }},
		"jobs":        {read: func(f form) { c.Jobs = r.integer(f, r.singleValue(f), 1, 1e6) }},
		"connections": {read: func(f form) { c.Connections = r.integer(f, r.singleValue(f), 1, 1e6) }},
		"when-unable": {read: func(f form) { r.whenUnable(f, &c) }},
	})
	return c
}

// whenUnable reads (when-unable refuse) or (when-unable spill CELL PART).
func (r *reader) whenUnable(f form, c *cells.Cell) {
	if len(f.args) == 0 {
		r.fail(f.at, f.key, "it needs refuse, or spill with a cell and a part")
		return
	}
	switch r.keyword(f, f.args[0], "refuse", "spill") {
	case "refuse":
		if len(f.args) > 1 {
			r.fail(f.args[1], f.key, "refuse stands alone")
		}
	case "spill":
		if len(f.args) != 3 {
			r.fail(f.at, f.key, "spill needs a cell and the part of its jobs that it may take")
			return
		}
		r.subjects["spill "+c.Name] = form{f.args[1], f.key, nil}
		c.Spill, c.SpillPart = r.text(f, f.args[1]), r.number(f, f.args[2], 0.001, 1)
	}
}

// of is the form with a name behind its key, for messages.
func (f form) withName(name string) form {
	f.key += " " + name
	return f
}

// named takes the name that follows a form's key.
func (r *reader) namedForm(f form) (name string, rest []*sexp) {
	if len(f.args) == 0 || f.args[0].Form != nil {
		r.fail(f.at, f.key, "its name is missing")
		return "", f.args
	}
	return r.text(f, f.args[0]), f.args[1:]
}

// names reads all values of a form as names, each the subject of its faults.
func (r *reader) names(f form, subject string) (names []string) {
	if len(f.args) == 0 {
		r.fail(f.at, f.key, "no names")
	}
	for _, v := range f.args {
		name := r.text(f, v)
		names = append(names, name)
		if subject != "" {
			r.subjects[subject+name] = form{v, f.key, nil}.withName(name)
		}
	}
	return names
}

// PlanCells checks a spec of cells against these settings.
func (s *Settings) PlanCells(spec *cells.Spec) (*cells.Plan, []cells.SpecError) {
	tenants := make([]cells.Tenant, len(s.Module.Tenants))
	for i, t := range s.Module.Tenants {
		tenants[i] = cells.Tenant{Name: t.Name, Quota: t.Quota}
	}
	var kinds []string
	for name, i := range s.Kinds {
		for len(kinds) <= i {
			kinds = append(kinds, "")
		}
		kinds[i] = name
	}
	for _, c := range s.Module.Classes {
		if c.Kind >= 0 {
			spec.RequiredKinds = append(spec.RequiredKinds, c.Kind)
		}
	}
	return cells.NewPlan(spec, tenants, len(s.Zones), kinds)
}
