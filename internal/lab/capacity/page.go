package capacity

import (
	"bytes"
	_ "embed"
	"errors"
	"fmt"
	"math"
	"os"
	"regexp"
	"strings"
	"text/template"
)

// The page is written from a template that holds no figure of its own: each is looked up by its name.

//go:embed page.md.tmpl
var pageTemplate string

// Errors of a page.
var (
	errFigureWithoutSource = errors.New("a figure has no source")
	errPageDiffers         = errors.New("the page is not what the measurements give")
)

// An unknownFigureError names a figure that no formula gives.
type unknownFigureError string

func (e unknownFigureError) Error() string { return fmt.Sprintf("unknown figure %q", string(e)) }

// Page writes the page from measurements.
func Page(m *Measured) (string, error) { return renderPage(pageTemplate, m) }

func renderPage(text string, m *Measured) (string, error) {
	if err := checkSources(text); err != nil {
		return "", err
	}
	t, err := newAssessment(m)
	if err != nil {
		return "", err
	}
	page, err := template.New("page").Funcs(template.FuncMap{
		"figure": t.showFigure, "table": t.figureTable, "walls": t.limitTable, "lines": t.requirementTable, "series": t.seriesTable,
		"wall":      func() string { return t.lowestLimit().Name },
		"fraction":  func() string { return formatNumber(percent*t.lowestLimit().Fraction) + " %" },
		"nextWall":  func() string { return t.secondLimit().Name },
		"next":      func() string { return formatNumber(t.secondLimit().Fraction) + " times the target" },
		"carried":   func() string { return fmt.Sprintf("%d of %d", t.metCount(), len(t.requirements)) },
		"commit":    func() string { return m.Commit },
		"zones":     func() int { return TargetZones },
		"regions":   func() int { return TargetRegions },
		"machines":  func() int { return TargetControlHosts },
		"failures":  func() int { return TargetFailuresPerDay },
		"urgent":    func() string { return formatNumber(TargetUrgentStart.Seconds()) + " s" },
		"inForce":   func() string { return formatNumber(TargetConfigInForce.Seconds()) + " s" },
		"memory":    func() string { return fmt.Sprint(TargetControlMemory, " MB") },
		"traffic":   func() string { return fmt.Sprint(TargetControlTraffic, " KB/s") },
		"processor": func() string { return fmt.Sprint(TargetControlCPU, " % of a core") },
	}).Parse(text)
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	if err := page.Execute(&b, nil); err != nil {
		return "", err
	}
	return b.String(), nil
}

// Check compares a page with what the measurements give.
func Check(page string, m *Measured) error {
	want, err := Page(m)
	if err != nil {
		return err
	}
	if page == want {
		return nil
	}
	is, should := strings.Split(page, "\n"), strings.Split(want, "\n")
	for i := range is {
		if i >= len(should) || is[i] != should[i] {
			return fmt.Errorf("%w: line %d: %q", errPageDiffers, i+1, is[i])
		}
	}
	return fmt.Errorf("%w: it ends after line %d", errPageDiffers, len(is))
}

// CheckFiles compares a page's file with that of the measurements.
func CheckFiles(pagePath, measuredPath string) error {
	m, err := Load(measuredPath)
	if err != nil {
		return err
	}
	page, err := os.ReadFile(pagePath)
	if err != nil {
		return err
	}
	if err := Check(string(page), m); err != nil {
		return fmt.Errorf("%s: %w", pagePath, err)
	}
	return nil
}

var (
	templateAction = regexp.MustCompile(`\{\{[^}]*\}\}`)
	digit          = regexp.MustCompile(`[0-9]`)
)

// checkSources sees that a template has no figure but those that are looked up.
func checkSources(text string) error {
	for i, line := range strings.Split(text, "\n") {
		if digit.MatchString(templateAction.ReplaceAllString(line, "")) {
			return fmt.Errorf("%w: line %d: %q", errFigureWithoutSource, i+1, line)
		}
	}
	return nil
}

// number writes a value with three digits that count.
func formatNumber(x float64) string {
	switch {
	case math.IsNaN(x):
		return "not known"
	case math.IsInf(x, 0):
		return "never"
	case x == 0:
		return "0"
	}
	digits := max(0, 2-int(math.Floor(math.Log10(math.Abs(x)))))
	if math.Abs(x) < 1e-6 {
		return fmt.Sprintf("%.1e", x)
	}
	return fmt.Sprintf("%.*f", digits, x)
}

// maxShownMultiple is a multiple of the target past which a slope says only that there is no wall near.
const maxShownMultiple = 1000

// multiple writes a multiple of the target.
func formatMultiple(x float64) string {
	if x > maxShownMultiple {
		return fmt.Sprintf("over %d", maxShownMultiple)
	}
	return formatNumber(x)
}

// show returns a figure with its unit.
func (t *assessment) showFigure(name string) (string, error) {
	f, there := t.byName[name]
	if !there {
		return "", unknownFigureError(name)
	}
	return formatNumber(f.value) + " " + f.unit, nil
}

// table returns a group of figures with their sources.
func (t *assessment) figureTable(group string) (string, error) {
	rows := []string{"| figure | value | from |", "| --- | --- | --- |"}
	for _, name := range t.order {
		if f := t.byName[name]; f.group == group {
			rows = append(rows, fmt.Sprintf("| %s | %s %s | %s |", f.name, formatNumber(f.value), f.unit, f.formula))
		}
	}
	if len(rows) == 2 {
		return "", unknownFigureError(group)
	}
	return strings.Join(rows, "\n"), nil
}

func (t *assessment) limitTable() string {
	rows := []string{"| budget | crossed at, of the target | from |", "| --- | --- | --- |"}
	for _, w := range t.limits {
		rows = append(rows, fmt.Sprintf("| %s | %s | %s |", w.Name, formatMultiple(w.Fraction), w.from))
	}
	return strings.Join(rows, "\n")
}

func (t *assessment) requirementTable() string {
	rows := []string{"| line of the target | mechanism | state | breaks at, of the target | what breaks |", "| --- | --- | --- | --- | --- |"}
	for _, l := range t.requirements {
		rows = append(rows, fmt.Sprintf("| %s | %s | %s | %s | %s |", l.name, l.mechanism, l.state, formatMultiple(l.multiple), l.breaks))
	}
	return strings.Join(rows, "\n")
}

// seriesTable returns all that was measured: sizes, medians, the worst spread, slope and residual.
func (t *assessment) seriesTable() string {
	rows := []string{"| series | by | sizes | medians | unit | worst spread | slope | residual |", "| --- | --- | --- | --- | --- | --- | --- | --- |"}
	for i := range t.measured.Series {
		s := &t.measured.Series[i]
		var sizes, medians []string
		spread := 0.0
		for _, p := range s.Points {
			sizes, medians = append(sizes, fmt.Sprint(p.Size)), append(medians, formatNumber(p.Median))
			spread = max(spread, p.RelativeRange)
		}
		rows = append(rows, fmt.Sprintf("| %s | %s | %s | %s | %s | %s %% | %s | %s %% |", s.Name, s.Of, strings.Join(sizes, ", "),
			strings.Join(medians, ", "), s.Unit, formatNumber(percent*spread), formatNumber(s.Slope), formatNumber(s.Residual)))
	}
	return strings.Join(rows, "\n")
}
