package config

import (
	"os"
	"path/filepath"

	"github.com/vatu-meals/foxlift/internal/cells"
)

// An Operator is what the operator's own file says. Everything in it is off unless
// the file asks for it.
type OperatorConfig struct {
	ControlSocket      string      // path of the control socket; "": none
	EndpointCheckpoint string      // path of the endpoint list's checkpoint; "": none
	Cells              *cells.Plan // nil: no cells
}

// Bounds of what the file may ask for.
const (
	maxCells      = 1000
	maxKeyWorkers = 1000
	maxCount      = 1e6 // of jobs or connections
	minFraction   = 0.001
	minWeight     = 0.01
	maxWeight     = 1000
	maxSocketPath = 100 // a Unix socket's path holds little more (unix(7): 108 bytes)
)

// fractionTolerance is by how much cells' fractions may add up to more than 1, as they are rounded.
const fractionTolerance = 0.0001

// ParseOperator reads an operator's file from its text and checks it against the
// platform's settings. Its error is OperatorErrors: all that is wrong, not the first alone.
func ParseOperator(name string, text []byte, s *Settings) (*OperatorConfig, error) {
	r := &reader{file: name}
	op := &OperatorConfig{}
	r.readTopLevel(text, op, func(f form) { op.Cells = r.cells(f, s) })
	if len(r.errors) > 0 {
		return nil, r.sorted()
	}
	return op, nil
}

// topLevel reads the file's top-level forms; cells reads that of cells.
func (r *reader) readTopLevel(text []byte, op *OperatorConfig, readCells func(form)) {
	r.readForms("", r.parse(text), map[string]rule{"foxlift": {read: func(f form) {
		r.readForms("", f.args, map[string]rule{
			"control": {read: func(f form) { r.readControl(f, op) }},
			"list":    {read: func(f form) { r.readEndpointCheckpoint(f, op) }},
			"cells":   {read: readCells},
		})
	}}})
}

// ControlSocket reads the path of the control socket alone from an operator's file, for a caller
// without the platform's settings.
func ReadControlSocket(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", OperatorErrors{{File: path, Text: err.Error()}}
	}
	r, op := &reader{file: path}, &OperatorConfig{}
	r.readTopLevel(text, op, func(form) {})
	if len(r.errors) > 0 {
		return "", r.sorted()
	}
	return op.ControlSocket, nil
}

// absolutePath reads a form's one value as an absolute path; "" if it is none.
func (r *reader) readAbsolutePath(f form) (v *sexp, path string) {
	v = r.singleValue(f)
	path = r.text(f, v)
	if path != "" && !filepath.IsAbs(path) {
		r.addError(v, f.key, "%q is not an absolute path", path)
		return v, ""
	}
	return v, path
}

// control reads what is said of the control socket.
func (r *reader) readControl(f form, op *OperatorConfig) {
	r.readForms(f.key, f.args, map[string]rule{"socket": {read: func(f form) {
		v, path := r.readAbsolutePath(f)
		if len(path) > maxSocketPath {
			r.addError(v, f.key, "a socket's path holds %d bytes at most", maxSocketPath)
			return
		}
		op.ControlSocket = path
	}}})
	if len(f.args) == 0 {
		r.addError(f.at, f.key, "socket is missing")
	}
}

// endpointCheckpoint reads what is said of the endpoint list's checkpoint.
func (r *reader) readEndpointCheckpoint(f form, op *OperatorConfig) {
	r.readForms(f.key, f.args, map[string]rule{"checkpoint": {read: func(f form) {
		_, op.EndpointCheckpoint = r.readAbsolutePath(f)
	}}})
	if len(f.args) == 0 {
		r.addError(f.at, f.key, "checkpoint is missing")
	}
}

// cells reads the cells and checks them against the platform's settings.
func (r *reader) cells(f form, s *Settings) *cells.Plan {
	before := len(r.errors)
	spec := &cells.Spec{Weights: map[string]float64{}}
	r.subjects = map[string]form{"cells": f}
	r.readForms(f.key, f.args, map[string]rule{
		"default": {read: func(f form) {
			r.subjects["default"] = f
			spec.Default = r.text(f, r.singleValue(f))
		}},
		"key":   {read: func(f form) { r.readKeyLimits(f, spec) }},
		"kind":  {repeatable: true, read: func(f form) { r.readKind(f, spec) }},
		"cell":  {repeatable: true, read: func(f form) { spec.Cells = append(spec.Cells, r.readCell(f)) }},
		"split": {repeatable: true, read: func(f form) { spec.Splits = append(spec.Splits, r.readSplit(f)) }},
	})
	sum := 0.0
	for _, c := range spec.Cells {
		sum += c.CapacityFraction
	}
	if sum > 1+fractionTolerance {
		r.addError(f.at, f.key, "the shares add up to %.3g, more than 1", sum)
	}
	if len(spec.Cells) > maxCells {
		r.addError(f.at, f.key, "%d cells, %d at most", len(spec.Cells), maxCells)
	}
	if len(spec.Cells) == 0 && len(r.errors) > before {
		return nil // the errors may be why there is none
	}
	plan, specErrors := s.PlanCells(spec)
	for _, e := range specErrors {
		subject, ok := r.subjects[e.Subject]
		if !ok {
			subject = f
		}
		r.addError(subject.at, subject.key, "%s", e.Text)
	}
	return plan
}

// keyLimits reads what the jobs with one key may use.
func (r *reader) readKeyLimits(f form, spec *cells.Spec) {
	r.readForms(f.key, f.args, map[string]rule{
		"nodes": {read: func(f form) { spec.WorkersPerKey = r.positiveInteger(f, r.singleValue(f), maxKeyWorkers) }},
		"jobs":  {read: func(f form) { spec.MaxJobsPerKey = r.positiveInteger(f, r.singleValue(f), maxCount) }},
	})
}

// kind reads what is said of a kind of workers.
func (r *reader) readKind(f form, spec *cells.Spec) {
	name, rest := r.readName(f)
	r.subjects["kind "+name] = f.withName(name)
	r.readForms(f.key+" "+name, rest, map[string]rule{
		"weight": {read: func(f form) {
			spec.Weights[name] = r.number(f, r.singleValue(f), minWeight, maxWeight)
		}},
	})
}

// split reads a tenant that several cells serve.
func (r *reader) readSplit(f form) cells.Split {
	name, rest := r.readName(f)
	r.subjects["split "+name], r.subjects["tenant "+name] = f.withName(name), f.withName(name)
	split, byKey := cells.Split{Tenant: name}, false
	r.readForms(f.key+" "+name, rest, map[string]rule{
		"cells": {read: func(f form) { split.Cells = r.readNames(f, "") }},
		"by": {read: func(f form) {
			r.keyword(f, r.singleValue(f), "key")
			byKey = true
		}},
	})
	if len(split.Cells) < 2 || !byKey {
		r.addError(f.at, f.key+" "+name, "it needs two cells or more, and (by key)")
	}
	return split
}

// cell reads one cell.
func (r *reader) readCell(f form) cells.Cell {
	name, rest := r.readName(f)
	c := cells.Cell{Name: name}
	r.subjects["cell "+name] = f.withName(name)
	r.readForms(f.key+" "+name, rest, map[string]rule{
		"share":       {read: func(f form) { c.CapacityFraction = r.number(f, r.singleValue(f), minFraction, 1) }},
		"tenants":     {read: func(f form) { c.Tenants = r.readNames(f, "tenant ") }},
		"jobs":        {read: func(f form) { c.MaxJobs = r.positiveInteger(f, r.singleValue(f), maxCount) }},
		"connections": {read: func(f form) { c.MaxConnections = r.positiveInteger(f, r.singleValue(f), maxCount) }},
		"when-unable": {read: func(f form) { r.readWhenUnable(f, &c) }},
	})
	return c
}

// whenUnable reads (when-unable refuse) or (when-unable spill CELL PART).
func (r *reader) readWhenUnable(f form, c *cells.Cell) {
	if len(f.args) == 0 {
		r.addError(f.at, f.key, "it needs refuse, or spill with a cell and a part")
		return
	}
	switch r.keyword(f, f.args[0], "refuse", "spill") {
	case "refuse":
		if len(f.args) > 1 {
			r.addError(f.args[1], f.key, "refuse stands alone")
		}
	case "spill":
		if len(f.args) != 3 {
			r.addError(f.at, f.key, "spill needs a cell and the part of its jobs that it may take")
			return
		}
		r.subjects["spill "+c.Name] = form{f.args[1], f.key, nil}
		c.SpillCell, c.SpillFraction = r.text(f, f.args[1]), r.number(f, f.args[2], minFraction, 1)
	}
}

// withName returns the form with a name after its key, for messages.
func (f form) withName(name string) form {
	f.key += " " + name
	return f
}

// namedForm returns the name that follows a form's key, and the values after it.
func (r *reader) readName(f form) (name string, rest []*sexp) {
	if len(f.args) == 0 || f.args[0].Form != nil {
		r.addError(f.at, f.key, "its name is missing")
		return "", f.args
	}
	return r.text(f, f.args[0]), f.args[1:]
}

// names reads all values of a form as names, each the subject of its errors.
func (r *reader) readNames(f form, subject string) (names []string) {
	if len(f.args) == 0 {
		r.addError(f.at, f.key, "no names")
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
