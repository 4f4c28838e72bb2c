package capacity

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// A Point is what was measured at one size.
type Point struct {
	Size          int       `json:"size"`
	Runs          []float64 `json:"runs"`
	Median        float64   `json:"median"`
	RelativeRange float64   `json:"spread"` // (largest - smallest) / median
}

// A Series is one cost by one size, the other sizes held.
type Series struct {
	Name     string  `json:"name"`
	Of       string  `json:"of"`   // what the size counts
	Unit     string  `json:"unit"` // of the runs
	Points   []Point `json:"points"`
	Slope    float64 `json:"slope"`    // of the logarithms, by least squares
	Offset   float64 `json:"offset"`   // natural logarithm of the cost at size 1
	Residual float64 `json:"residual"` // root mean square of what is left, in percent
}

// Measured is all that one run of the tool has measured.
type Measured struct {
	Commit string   `json:"commit"` // of the tree
	Short  bool     `json:"short"`  // few and small sizes, to see that the tool works
	Series []Series `json:"series"`
}

// addPoint adds the runs at one size.
func (s *Series) addPoint(size int, runs []float64) {
	sorted := slices.Sorted(slices.Values(runs))
	point := Point{Size: size, Runs: runs, Median: median(sorted)}
	if point.Median != 0 {
		point.RelativeRange = (sorted[len(sorted)-1] - sorted[0]) / point.Median
	}
	s.Points = append(s.Points, point)
}

// median returns the value in the middle of sorted ones, or the mean of the two there.
func median(sorted []float64) float64 {
	const half, above = 0.5, 0.5 + 1e-9
	return (stat.Quantile(half, stat.Empirical, sorted, nil) + stat.Quantile(above, stat.Empirical, sorted, nil)) / 2
}

// fit draws the line through the logarithms of sizes and medians. A median of 0 is under what the clock
// can tell, and has no logarithm: it is left out.
func (s *Series) fit() {
	xs, ys := s.logarithms()
	if len(xs) < 2 {
		return
	}
	s.Offset, s.Slope = stat.LinearRegression(xs, ys, nil, false)
	meanSquare := 0.0
	for i := range xs {
		residual := ys[i] - s.Offset - s.Slope*xs[i]
		meanSquare += residual * residual / float64(len(xs))
	}
	s.Residual = percent * math.Expm1(math.Sqrt(meanSquare))
}

// logarithms returns those of the sizes and their medians.
func (s *Series) logarithms() (xs, ys []float64) {
	for _, p := range s.Points {
		if p.Median > 0 {
			xs = append(xs, math.Log(float64(p.Size)))
			ys = append(ys, math.Log(p.Median))
		}
	}
	return xs, ys
}

// extrapolationSizes is how many of the largest sizes tell how a cost goes on beyond them: a part that
// does not grow hides the slope at the smallest.
const extrapolationSizes = 3

// extrapolation returns the line through the largest sizes.
func (s *Series) extrapolation() (offset, slope float64) {
	xs, ys := s.logarithms()
	if len(xs) < 2 {
		return math.NaN(), 0
	}
	from := max(0, len(xs)-extrapolationSizes)
	return stat.LinearRegression(xs[from:], ys[from:], nil, false)
}

// costAt returns the cost at a size: as measured, by the line between the two sizes around it, or by the
// line through the largest sizes beyond them.
func (s *Series) costAt(size float64) float64 {
	for i, p := range s.Points {
		if float64(p.Size) == size {
			return p.Median
		}
		if i > 0 && float64(p.Size) > size && float64(s.Points[i-1].Size) < size {
			before := s.Points[i-1]
			position := math.Log(size/float64(before.Size)) / math.Log(float64(p.Size)/float64(before.Size))
			return before.Median * math.Pow(p.Median/before.Median, position)
		}
	}
	offset, slope := s.extrapolation()
	return math.Exp(offset + slope*math.Log(size))
}

// sizeAt returns the size at which the cost reaches a bound: between two measured sizes, or beyond
// them; +Inf if it never does.
func (s *Series) sizeAt(bound float64) float64 {
	for i, p := range s.Points {
		if p.Median < bound {
			continue
		}
		if i == 0 || s.Points[i-1].Median <= 0 {
			return float64(p.Size)
		}
		before := s.Points[i-1]
		position := math.Log(bound/before.Median) / math.Log(p.Median/before.Median)
		return float64(before.Size) * math.Pow(float64(p.Size)/float64(before.Size), position)
	}
	offset, slope := s.extrapolation()
	if slope <= 0 {
		return math.Inf(1)
	}
	return math.Exp((math.Log(bound) - offset) / slope)
}

// A missingSeriesError names a series that a page needs and a file lacks.
type missingSeriesError string

// Error implements error.
func (e missingSeriesError) Error() string { return fmt.Sprintf("there is no series %q", string(e)) }

// series returns a series by its name.
func (m *Measured) series(name string) (*Series, error) {
	for i := range m.Series {
		if m.Series[i].Name == name && len(m.Series[i].Points) > 0 {
			return &m.Series[i], nil
		}
	}
	return nil, missingSeriesError(name)
}

// errNotMeasurements says that a file is not one of this tool's.
var errNotMeasurements = errors.New("not a file of measurements")

// Load reads what an earlier run has measured.
func Load(path string) (*Measured, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var m Measured
	if err := json.Unmarshal(text, &m); err != nil {
		return nil, fmt.Errorf("%s: %w: %w", path, errNotMeasurements, err)
	}
	if m.Commit == "" || len(m.Series) == 0 {
		return nil, fmt.Errorf("%s: %w", path, errNotMeasurements)
	}
	return &m, nil
}

// Save writes the measurements: aside first, so that a run that is broken off leaves the old ones.
func (m *Measured) Save(path string) error {
	text, err := json.MarshalIndent(m, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", append(text, '\n'), 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
