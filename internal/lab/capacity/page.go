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

// Error implements error.
func (e unknownFigureError) Error() string { return fmt.Sprintf("unknown figure %q", string(e)) }

// Page writes the page from measurements.
func Page(m *Measured) (string, error) { return renderPage(pageTemplate, m) }

// renderPage writes a page from a template and measurements.
func renderPage(text string, m *Measured) (string, error) {
	if err := checkSources(text); err != nil {
		return "", err
	}
	a, err := newAssessment(m)
	if err != nil {
		return "", err
	}
	page, err := template.New("page").Funcs(a.templateFunctions()).Parse(text)
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	if err := page.Execute(&b, nil); err != nil {
		return "", err
	}
	return b.String(), nil
}

// templateFunctions are what the page's template can look up, by the page's names for it.
func (a *assessment) templateFunctions() template.FuncMap {
	return template.FuncMap{
		"figure":    a.formatFigure,
		"table":     a.figureTable,
		"walls":     a.limitTable,
		"lines":     a.requirementTable,
		"series":    a.seriesTable,
		"wall":      func() string { return a.lowestLimit().Name },
		"fraction":  func() string { return formatNumber(percent*a.lowestLimit().Fraction) + " %" },
		"nextWall":  func() string { return a.secondLimit().Name },
		"next":      func() string { return formatNumber(a.secondLimit().Fraction) + " times the target" },
		"carried":   func() string { return fmt.Sprintf("%d of %d", a.metCount(), len(a.requirements)) },
		"commit":    func() string { return a.measured.Commit },
		"zones":     func() int { return TargetZones },
		"regions":   func() int { return TargetRegions },
		"machines":  func() int { return TargetControlHosts },
		"failures":  func() int { return TargetFailuresPerDay },
		"urgent":    func() string { return formatNumber(TargetUrgentStart.Seconds()) + " s" },
		"inForce":   func() string { return formatNumber(TargetConfigInForce.Seconds()) + " s" },
		"memory":    func() string { return fmt.Sprint(TargetControlMemory, " MB") },
		"traffic":   func() string { return fmt.Sprint(TargetControlTraffic, " KB/s") },
		"processor": func() string { return fmt.Sprint(TargetControlCPU, " % of a core") },
	}
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
	lines, wantLines := strings.Split(page, "\n"), strings.Split(want, "\n")
	for i, line := range lines {
		if i >= len(wantLines) || line != wantLines[i] {
			return fmt.Errorf("%w: line %d: %q", errPageDiffers, i+1, line)
		}
	}
	return fmt.Errorf("%w: it ends after line %d", errPageDiffers, len(lines))
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

// checkSources makes sure that a template has no figure but those that are looked up.
func checkSources(text string) error {
	for i, line := range strings.Split(text, "\n") {
		if digit.MatchString(templateAction.ReplaceAllString(line, "")) {
			return fmt.Errorf("%w: line %d: %q", errFigureWithoutSource, i+1, line)
		}
	}
	return nil
}

// formatNumber writes a value with three digits that count.
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

// maxShownMultiple is a multiple of the target past which a slope says only that there is no limit near.
const maxShownMultiple = 1000

// formatMultiple writes a multiple of the target.
func formatMultiple(x float64) string {
	if x > maxShownMultiple {
		return fmt.Sprintf("over %d", maxShownMultiple)
	}
	return formatNumber(x)
}

// showFigure returns a figure with its unit.
func (a *assessment) formatFigure(name string) (string, error) {
	f, ok := a.byName[name]
	if !ok {
		return "", unknownFigureError(name)
	}
	return formatNumber(f.value) + " " + f.unit, nil
}

// figureTable returns a group of figures with their sources.
func (a *assessment) figureTable(group string) (string, error) {
	var rows [][]string
	for _, name := range a.order {
		if f := a.byName[name]; f.group == group {
			rows = append(rows, []string{f.name, formatNumber(f.value) + " " + f.unit, f.formula})
		}
	}
	if len(rows) == 0 {
		return "", unknownFigureError(group)
	}
	return markdownTable([]string{"figure", "value", "from"}, rows), nil
}

// limitTable returns all limits.
func (a *assessment) limitTable() string {
	var rows [][]string
	for _, limit := range a.limits {
		rows = append(rows, []string{limit.Name, formatMultiple(limit.Fraction), limit.formula})
	}
	return markdownTable([]string{"budget", "crossed at, of the target", "from"}, rows)
}

// requirementTable returns all requirements.
func (a *assessment) requirementTable() string {
	var rows [][]string
	for _, r := range a.requirements {
		rows = append(rows, []string{r.name, r.mechanism, string(r.state), formatMultiple(r.multiple), r.breaks})
	}
	return markdownTable(
		[]string{"line of the target", "mechanism", "state", "breaks at, of the target", "what breaks"}, rows)
}

// seriesTable returns all that was measured: sizes, medians, the widest relative range, slope
// and residual.
func (a *assessment) seriesTable() string {
	var rows [][]string
	for i := range a.measured.Series {
		s := &a.measured.Series[i]
		var sizes, medians []string
		widest := 0.0
		for _, p := range s.Points {
			sizes = append(sizes, fmt.Sprint(p.Size))
			medians = append(medians, formatNumber(p.Median))
			widest = max(widest, p.RelativeRange)
		}
		rows = append(rows, []string{
			s.Name,
			s.Of,
			strings.Join(sizes, ", "),
			strings.Join(medians, ", "),
			s.Unit,
			formatNumber(percent*widest) + " %",
			formatNumber(s.Slope),
			formatNumber(s.Residual) + " %",
		})
	}
	return markdownTable(
		[]string{"series", "by", "sizes", "medians", "unit", "worst spread", "slope", "residual"}, rows)
}

// markdownTable writes a table.
func markdownTable(header []string, rows [][]string) string {
	lines := []string{tableRow(header), "|" + strings.Repeat(" --- |", len(header))}
	for _, row := range rows {
		lines = append(lines, tableRow(row))
	}
	return strings.Join(lines, "\n")
}

// tableRow writes a row of a table.
func tableRow(cells []string) string { return "| " + strings.Join(cells, " | ") + " |" }
