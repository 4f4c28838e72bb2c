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

// A Point contains the measurements at one size.
type Point struct {
	Size          int       `json:"size"`
	Runs          []float64 `json:"runs"` // cost in each run
	Median        float64   `json:"median"`
	RelativeRange float64   `json:"spread"` // (largest - smallest) / median
}

// A Series is one cost as a function of one size, with the other sizes constant.
type Series struct {
	Name     string  `json:"name"`
	Of       string  `json:"of"`   // what the sizes count
	Unit     string  `json:"unit"` // unit of the cost
	Points   []Point `json:"points"`
	Slope    float64 `json:"slope"`    // exponent of the size: slope of the least-squares line through the logarithms
	Offset   float64 `json:"offset"`   // natural logarithm of the cost at size 1
	Residual float64 `json:"residual"` // root mean square deviation of the medians from the line, in percent
}

// Measured contains all measurements of one run of the tool.
type Measured struct {
	Commit string   `json:"commit"` // commit that was measured
	Short  bool     `json:"short"`  // few and small sizes, to test the tool
	Series []Series `json:"series"`
}

// addPoint adds the costs of the runs at one size. runs must not be empty.
func (s *Series) addPoint(size int, runs []float64) {
	sorted := slices.Sorted(slices.Values(runs))
	point := Point{Size: size, Runs: runs, Median: median(sorted)}
	if point.Median != 0 {
		point.RelativeRange = (sorted[len(sorted)-1] - sorted[0]) / point.Median
	}
	s.Points = append(s.Points, point)
}

// median returns the median of sorted values; for an even number of values, the mean of the two in the middle.
func median(sorted []float64) float64 {
	const half, above = 0.5, 0.5 + 1e-9
	return (stat.Quantile(half, stat.Empirical, sorted, nil) + stat.Quantile(above, stat.Empirical, sorted, nil)) / 2
}

// fit sets the least-squares line through the logarithms of sizes and medians. A median of 0 is below the resolution of
// the clock and has no logarithm: it is omitted. fit does nothing if fewer than two points remain.
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

// logarithms returns the logarithms of the sizes and medians, without the points whose median is 0.
func (s *Series) logarithms() (xs, ys []float64) {
	for _, p := range s.Points {
		if p.Median > 0 {
			xs = append(xs, math.Log(float64(p.Size)))
			ys = append(ys, math.Log(p.Median))
		}
	}
	return xs, ys
}

// extrapolationSizes is the number of the largest sizes from which a cost is extrapolated. A constant part of the cost
// hides the slope at the smallest sizes.
const extrapolationSizes = 3

// extrapolation returns the line through the logarithms of the largest sizes and their medians. The offset is NaN if
// fewer than two medians are positive.
func (s *Series) extrapolation() (offset, slope float64) {
	xs, ys := s.logarithms()
	if len(xs) < 2 {
		return math.NaN(), 0
	}
	from := max(0, len(xs)-extrapolationSizes)
	return stat.LinearRegression(xs[from:], ys[from:], nil, false)
}

// costAt returns the cost at a size: the measured median, the logarithmic interpolation between the two nearest sizes,
// or the extrapolation from the largest sizes.
func (s *Series) costAt(size float64) float64 {
	for i, p := range s.Points {
		if float64(p.Size) == size {
			return p.Median
		}
		if i > 0 && float64(p.Size) > size && float64(s.Points[i-1].Size) < size {
			previous := s.Points[i-1]
			position := math.Log(size/float64(previous.Size)) / math.Log(float64(p.Size)/float64(previous.Size))
			return previous.Median * math.Pow(p.Median/previous.Median, position)
		}
	}
	offset, slope := s.extrapolation()
	return math.Exp(offset + slope*math.Log(size))
}

// sizeAt returns the size at which the cost reaches a bound, by interpolation or extrapolation. It is +Inf if the cost
// never reaches the bound, and the smallest measured size if the cost reaches the bound there.
func (s *Series) sizeAt(bound float64) float64 {
	for i, p := range s.Points {
		if p.Median < bound {
			continue
		}
		if i == 0 || s.Points[i-1].Median <= 0 {
			return float64(p.Size)
		}
		previous := s.Points[i-1]
		position := math.Log(bound/previous.Median) / math.Log(p.Median/previous.Median)
		return float64(previous.Size) * math.Pow(float64(p.Size)/float64(previous.Size), position)
	}
	offset, slope := s.extrapolation()
	if slope <= 0 {
		return math.Inf(1)
	}
	return math.Exp((math.Log(bound) - offset) / slope)
}

// A missingSeriesError is the name of a series that the page needs but the measurements do not contain.
type missingSeriesError string

// Error implements error.
func (e missingSeriesError) Error() string {
	return fmt.Sprintf("series %q not found in the measurements", string(e))
}

// series returns the series with a name.
func (m *Measured) series(name string) (*Series, error) {
	for i := range m.Series {
		if m.Series[i].Name == name && len(m.Series[i].Points) > 0 {
			return &m.Series[i], nil
		}
	}
	return nil, missingSeriesError(name)
}

// errNotMeasurements reports a file that this tool has not written.
var errNotMeasurements = errors.New("not a file of capacity measurements")

// Load reads the measurements that an earlier run has saved.
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

// Save writes the measurements to a temporary file and renames it, so that an interrupted run leaves the old
// measurements intact.
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
