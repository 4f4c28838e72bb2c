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

// The page is rendered from a template that contains no figure itself: each figure is looked up by its name.

//go:embed page.md.tmpl
var pageTemplate string

// Errors of a page.
var (
	errFigureWithoutSource = errors.New("the page template contains a figure without a source")
	errPageDiffers         = errors.New("the page differs from the page rendered from the measurements")
)

// An unknownFigureError reports the name of a figure, or of a group of figures, that does not exist.
type unknownFigureError string

// Error implements error.
func (e unknownFigureError) Error() string { return fmt.Sprintf("unknown figure %q", string(e)) }

// Page renders the page from measurements.
func Page(m *Measured) (string, error) { return renderPage(pageTemplate, m) }

// renderPage renders a page from the text of a template and measurements.
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

// templateFunctions returns the functions that the page's template can call.
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

// Check returns an error that names the first different line if page is not the page that is rendered from m.
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
	return fmt.Errorf("%w: the page ends after line %d", errPageDiffers, len(lines))
}

// CheckFiles is Check for the file of a page and the file of its measurements.
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

// checkSources returns an error if the text of a template contains digits outside of template actions.
func checkSources(text string) error {
	for i, line := range strings.Split(text, "\n") {
		if digit.MatchString(templateAction.ReplaceAllString(line, "")) {
			return fmt.Errorf("%w: line %d: %q", errFigureWithoutSource, i+1, line)
		}
	}
	return nil
}

// formatNumber formats a value with three significant digits, or with an exponent and two digits below 1e-6.
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

// maxShownMultiple is the largest multiple of the target that is shown as a number. An extrapolation beyond it shows
// only that no limit is near.
const maxShownMultiple = 1000

// formatMultiple formats a multiple of the target.
func formatMultiple(x float64) string {
	if x > maxShownMultiple {
		return fmt.Sprintf("over %d", maxShownMultiple)
	}
	return formatNumber(x)
}

// formatFigure returns the value of the named figure with its unit.
func (a *assessment) formatFigure(name string) (string, error) {
	f, ok := a.byName[name]
	if !ok {
		return "", unknownFigureError(name)
	}
	return formatNumber(f.value) + " " + f.unit, nil
}

// figureTable returns a Markdown table of a group of figures with their sources.
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

// limitTable returns a Markdown table of all limits.
func (a *assessment) limitTable() string {
	var rows [][]string
	for _, limit := range a.limits {
		rows = append(rows, []string{limit.Name, formatMultiple(limit.Fraction), limit.formula})
	}
	return markdownTable([]string{"budget", "crossed at, of the target", "from"}, rows)
}

// requirementTable returns a Markdown table of all requirements.
func (a *assessment) requirementTable() string {
	var rows [][]string
	for _, r := range a.requirements {
		rows = append(rows, []string{r.name, r.mechanism, string(r.state), formatMultiple(r.multiple), r.breaks})
	}
	return markdownTable(
		[]string{"line of the target", "mechanism", "state", "breaks at, of the target", "what breaks"}, rows)
}

// seriesTable returns a Markdown table of all series: sizes, medians, the widest relative range, slope and residual.
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

// markdownTable formats a table as Markdown.
func markdownTable(header []string, rows [][]string) string {
	lines := []string{tableRow(header), "|" + strings.Repeat(" --- |", len(header))}
	for _, row := range rows {
		lines = append(lines, tableRow(row))
	}
	return strings.Join(lines, "\n")
}

// tableRow formats a row of a Markdown table.
func tableRow(cells []string) string { return "| " + strings.Join(cells, " | ") + " |" }
