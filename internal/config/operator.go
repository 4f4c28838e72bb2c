package config

import (
	"os"
	"path/filepath"

	"github.com/vatu-meals/foxlift/internal/cells"
)

// An OperatorConfig holds the settings of the operator's file. Each feature is off unless the file configures it.
type OperatorConfig struct {
	ControlSocket      string      // path of the control socket; "": none
	EndpointCheckpoint string      // path of the checkpoint of the endpoint list; "": none
	Cells              *cells.Plan // nil: no cells
}

// Bounds of the values in the operator's file.
const (
	maxCells      = 1000
	maxKeyWorkers = 1000
	maxCount      = 1e6 // of open jobs or of connections
	minFraction   = 0.001
	minWeight     = 0.01
	maxWeight     = 1000
	maxSocketPath = 100 // bytes; the kernel allows 108 (unix(7))
)

// fractionTolerance is by how much the sum of the cells' capacity fractions may exceed 1, since they are rounded.
const fractionTolerance = 0.0001

// ParseOperator parses the text of an operator's file and checks it against the platform's settings. name is the
// file name for error messages. The error is of type OperatorErrors and lists everything that is wrong, not only
// the first error.
func ParseOperator(name string, text []byte, settings *Settings) (*OperatorConfig, error) {
	r := &reader{file: name}
	op := &OperatorConfig{}
	r.readTopLevel(text, op, func(f form) { op.Cells = r.readCells(f, settings) })
	if len(r.errors) > 0 {
		return nil, r.sorted()
	}
	return op, nil
}

// readTopLevel reads the top-level forms of the file. It calls readCells for the cells form.
func (r *reader) readTopLevel(text []byte, op *OperatorConfig, readCells func(form)) {
	r.readForms("", r.parse(text), map[string]rule{"foxlift": {read: func(f form) {
		r.readForms("", f.args, map[string]rule{
			"control": {read: func(f form) { r.readControl(f, op) }},
			"list":    {read: func(f form) { r.readEndpointCheckpoint(f, op) }},
			"cells":   {read: readCells},
		})
	}}})
}

// ReadControlSocket reads only the path of the control socket from an operator's file, for callers that do not
// have the platform's settings. The path is empty if the file configures no control socket. The error is of type
// OperatorErrors; the content of the cells form is not checked.
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

// readAbsolutePath reads the only value of a form as an absolute path. If it is not one, it records an error and
// returns an empty path. v is the value, as the position of further errors; nil if there is not exactly one.
func (r *reader) readAbsolutePath(f form) (v *sexp, path string) {
	v = r.singleValue(f)
	path = r.readText(f, v)
	if path != "" && !filepath.IsAbs(path) {
		r.addError(v, f.key, "%q is not an absolute path", path)
		return v, ""
	}
	return v, path
}

// readControl reads the control form.
func (r *reader) readControl(f form, op *OperatorConfig) {
	r.readForms(f.key, f.args, map[string]rule{"socket": {read: func(f form) {
		v, path := r.readAbsolutePath(f)
		if len(path) > maxSocketPath {
			r.addError(v, f.key, "the path has %d bytes, at most %d are allowed", len(path), maxSocketPath)
			return
		}
		op.ControlSocket = path
	}}})
	if len(f.args) == 0 {
		r.addError(f.at, f.key, "socket is missing")
	}
}

// readEndpointCheckpoint reads the list form, which configures the checkpoint of the endpoint list.
func (r *reader) readEndpointCheckpoint(f form, op *OperatorConfig) {
	r.readForms(f.key, f.args, map[string]rule{"checkpoint": {read: func(f form) {
		_, op.EndpointCheckpoint = r.readAbsolutePath(f)
	}}})
	if len(f.args) == 0 {
		r.addError(f.at, f.key, "checkpoint is missing")
	}
}

// readCells reads the cells form and checks it against the platform's settings. The result is nil if there is an
// error that rules out a plan.
func (r *reader) readCells(f form, settings *Settings) *cells.Plan {
	before := len(r.errors)
	spec := &cells.Spec{Weights: map[string]float64{}}
	r.subjects = map[string]form{"cells": f}
	r.readForms(f.key, f.args, map[string]rule{
		"default": {read: func(f form) {
			r.subjects["default"] = f
			spec.Default = r.readText(f, r.singleValue(f))
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
		r.addError(f.at, f.key, "%d cells are configured, at most %d are allowed", len(spec.Cells), maxCells)
	}
	if len(spec.Cells) == 0 && len(r.errors) > before {
		return nil // the missing cells may be a consequence of the recorded errors
	}
	plan, specErrors := settings.PlanCells(spec)
	for _, e := range specErrors {
		subject, ok := r.subjects[e.Subject]
		if !ok {
			subject = f
		}
		r.addError(subject.at, subject.key, "%s", e.Text)
	}
	return plan
}

// readKeyLimits reads the key form: the limits of the jobs with one affinity key.
func (r *reader) readKeyLimits(f form, spec *cells.Spec) {
	r.readForms(f.key, f.args, map[string]rule{
		"nodes": {read: func(f form) { spec.WorkersPerKey = r.readPositiveInteger(f, r.singleValue(f), maxKeyWorkers) }},
		"jobs":  {read: func(f form) { spec.MaxJobsPerKey = r.readPositiveInteger(f, r.singleValue(f), maxCount) }},
	})
}

// readKind reads a kind form: the weight of a kind of workers, which is its capacity relative to other kinds.
func (r *reader) readKind(f form, spec *cells.Spec) {
	name, rest := r.readName(f)
	r.subjects["kind "+name] = f.withName(name)
	r.readForms(f.key+" "+name, rest, map[string]rule{
		"weight": {read: func(f form) {
			spec.Weights[name] = r.readNumber(f, r.singleValue(f), minWeight, maxWeight)
		}},
	})
}

// readSplit reads a split form: a tenant that two or more cells serve, divided by affinity key.
func (r *reader) readSplit(f form) cells.Split {
	name, rest := r.readName(f)
	r.subjects["split "+name], r.subjects["tenant "+name] = f.withName(name), f.withName(name)
	split, byKey := cells.Split{Tenant: name}, false
	r.readForms(f.key+" "+name, rest, map[string]rule{
		"cells": {read: func(f form) { split.Cells = r.readNames(f, "") }},
		"by": {read: func(f form) {
			r.readKeyword(f, r.singleValue(f), "key")
			byKey = true
		}},
	})
	if len(split.Cells) < 2 || !byKey {
		r.addError(f.at, f.key+" "+name, "a split needs at least two cells and (by key)")
	}
	return split
}

// readCell reads a cell form.
func (r *reader) readCell(f form) cells.Cell {
	name, rest := r.readName(f)
	c := cells.Cell{Name: name}
	r.subjects["cell "+name] = f.withName(name)
	r.readForms(f.key+" "+name, rest, map[string]rule{
		"share":       {read: func(f form) { c.CapacityFraction = r.readNumber(f, r.singleValue(f), minFraction, 1) }},
		"tenants":     {read: func(f form) { c.Tenants = r.readNames(f, "tenant ") }},
		"jobs":        {read: func(f form) { c.MaxJobs = r.readPositiveInteger(f, r.singleValue(f), maxCount) }},
		"connections": {read: func(f form) { c.MaxConnections = r.readPositiveInteger(f, r.singleValue(f), maxCount) }},
		"when-unable": {read: func(f form) { r.readWhenUnable(f, &c) }},
	})
	return c
}

// readWhenUnable reads (when-unable refuse) or (when-unable spill CELL FRACTION). While the cell has no warm worker,
// its jobs are refused or may use the fraction of the other cell's job bound.
func (r *reader) readWhenUnable(f form, c *cells.Cell) {
	if len(f.args) == 0 {
		r.addError(f.at, f.key, "want refuse, or spill with a cell and a fraction")
		return
	}
	switch r.readKeyword(f, f.args[0], "refuse", "spill") {
	case "refuse":
		if len(f.args) > 1 {
			r.addError(f.args[1], f.key, "unexpected value after refuse")
		}
	case "spill":
		if len(f.args) != 3 {
			r.addError(f.at, f.key, "spill needs a cell and a fraction of that cell's job bound")
			return
		}
		r.subjects["spill "+c.Name] = form{f.args[1], f.key, nil}
		c.SpillCell, c.SpillFraction = r.readText(f, f.args[1]), r.readNumber(f, f.args[2], minFraction, 1)
	}
}

// withName returns a copy of the form with a name appended to its key, for error messages.
func (f form) withName(name string) form {
	f.key += " " + name
	return f
}

// readName returns the first value of a form, which is its name, and the values after it. If there is no name, it
// records an error and returns an empty name and all values.
func (r *reader) readName(f form) (name string, rest []*sexp) {
	if len(f.args) == 0 || f.args[0].Form != nil {
		r.addError(f.at, f.key, "the name is missing")
		return "", f.args
	}
	return r.readText(f, f.args[0]), f.args[1:]
}

// readNames reads all values of a form as names; without any it records an error. If subject is not empty, it is the
// prefix under which each name is registered as the subject of errors of the cell plan.
func (r *reader) readNames(f form, subject string) (names []string) {
	if len(f.args) == 0 {
		r.addError(f.at, f.key, "at least one name is required")
	}
	for _, v := range f.args {
		name := r.readText(f, v)
		names = append(names, name)
		if subject != "" {
			r.subjects[subject+name] = form{v, f.key, nil}.withName(name)
		}
	}
	return names
}

// PlanCells builds a cell plan from a specification and checks it against the settings. If there are errors, it
// returns them and no plan. It adds the worker kinds that the classes require to the specification.
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
