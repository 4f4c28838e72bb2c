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
	errNoSource = errors.New("a figure has no source")
	errOff      = errors.New("the page is not what the measurements give")
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
	t, err := newTarget(m)
	if err != nil {
		return "", err
	}
	page, err := template.New("page").Funcs(template.FuncMap{
		"figure": t.show, "table": t.table, "walls": t.wallTable, "lines": t.lineTable, "series": t.seriesTable,
		"wall":      func() string { return t.wall().Name },
		"fraction":  func() string { return number(percent*t.wall().Fraction) + " %" },
		"nextWall":  func() string { return t.nextWall().Name },
		"next":      func() string { return number(t.nextWall().Fraction) + " times the target" },
		"carried":   func() string { return fmt.Sprintf("%d of %d", t.carried(), len(t.lines)) },
		"commit":    func() string { return m.Commit },
		"zones":     func() int { return TargetZones },
		"regions":   func() int { return TargetRegions },
		"machines":  func() int { return TargetControlHosts },
		"failures":  func() int { return TargetFailuresADay },
		"urgent":    func() string { return number(TargetUrgentStart.Seconds()) + " s" },
		"inForce":   func() string { return number(TargetConfigInForce.Seconds()) + " s" },
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
			return fmt.Errorf("%w: line %d: %q", errOff, i+1, is[i])
		}
	}
	return fmt.Errorf("%w: it ends after line %d", errOff, len(is))
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
	action = regexp.MustCompile(`\{\{[^}]*\}\}`)
	digit  = regexp.MustCompile(`[0-9]`)
)

// checkSources sees that a template has no figure but those that are looked up.
func checkSources(text string) error {
	for i, line := range strings.Split(text, "\n") {
		if digit.MatchString(action.ReplaceAllString(line, "")) {
			return fmt.Errorf("%w: line %d: %q", errNoSource, i+1, line)
		}
	}
	return nil
}

// number writes a value with three digits that count.
func number(x float64) string {
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

// farBeyond is a multiple of the target past which a slope says only that there is no wall near.
const farBeyond = 1000

// multiple writes a multiple of the target.
func multiple(x float64) string {
	if x > farBeyond {
		return fmt.Sprintf("over %d", farBeyond)
	}
	return number(x)
}

// show returns a figure with its unit.
func (t *target) show(name string) (string, error) {
	f, there := t.byName[name]
	if !there {
		return "", unknownFigureError(name)
	}
	return number(f.value) + " " + f.unit, nil
}

// table returns a group of figures with their sources.
func (t *target) table(group string) (string, error) {
	rows := []string{"| figure | value | from |", "| --- | --- | --- |"}
	for _, name := range t.order {
		if f := t.byName[name]; f.group == group {
			rows = append(rows, fmt.Sprintf("| %s | %s %s | %s |", f.name, number(f.value), f.unit, f.from))
		}
	}
	if len(rows) == 2 {
		return "", unknownFigureError(group)
	}
	return strings.Join(rows, "\n"), nil
}

func (t *target) wallTable() string {
	rows := []string{"| budget | crossed at, of the target | from |", "| --- | --- | --- |"}
	for _, w := range t.walls {
		rows = append(rows, fmt.Sprintf("| %s | %s | %s |", w.Name, multiple(w.Fraction), w.from))
	}
	return strings.Join(rows, "\n")
}

func (t *target) lineTable() string {
	rows := []string{"| line of the target | mechanism | state | breaks at, of the target | what breaks |", "| --- | --- | --- | --- | --- |"}
	for _, l := range t.lines {
		rows = append(rows, fmt.Sprintf("| %s | %s | %s | %s | %s |", l.name, l.mechanism, l.state, multiple(l.multiple), l.breaks))
	}
	return strings.Join(rows, "\n")
}

// seriesTable returns all that was measured: sizes, medians, the worst spread, slope and residual.
func (t *target) seriesTable() string {
	rows := []string{"| series | by | sizes | medians | unit | worst spread | slope | residual |", "| --- | --- | --- | --- | --- | --- | --- | --- |"}
	for i := range t.from.Series {
		s := &t.from.Series[i]
		var sizes, medians []string
		spread := 0.0
		for _, p := range s.Points {
			sizes, medians = append(sizes, fmt.Sprint(p.Size)), append(medians, number(p.Median))
			spread = max(spread, p.Spread)
		}
		rows = append(rows, fmt.Sprintf("| %s | %s | %s | %s | %s | %s %% | %s | %s %% |", s.Name, s.Of, strings.Join(sizes, ", "),
			strings.Join(medians, ", "), s.Unit, number(percent*spread), number(s.Slope), number(s.Residual)))
	}
	return strings.Join(rows, "\n")
}
