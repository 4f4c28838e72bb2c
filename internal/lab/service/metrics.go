package service

import (
	"fmt"
	"math"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// The names of the metrics in the scheduler's response.
const (
	responsesName = "scheduler_responses_total"
	attemptsName  = "scheduler_tries_total"
	activeName    = "scheduler_active"
	poolSizeName  = "scheduler_pool_size"
	ejectedName   = "scheduler_pool_ejected"
)

// The tolerances of the metrics, as fractions of the true value.
const (
	JobsTolerance     = 0.01
	AttemptsTolerance = 0.02
	ActiveTolerance   = 0.10
	absoluteTolerance = 3 // used where it is more than the fraction
)

// Responses counts the jobs of a class by the kind of their response.
type Responses struct{ OK, Shed, Errors float64 }

// Metrics are the values that a scheduler reports on its admin address.
type Metrics struct {
	Responses map[string]Responses // by class
	Attempts  float64
	Active    float64
	PoolSize  float64
	Ejected   float64
}

// ParseMetrics parses the Prometheus text format. It fails if a metric is missing, except that the
// responses of a class may be missing if there were none, and if the responses have an unknown result.
func ParseMetrics(text string) (m Metrics, err error) {
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(strings.NewReader(text))
	if err != nil {
		return m, err
	}
	single := map[string]*float64{
		attemptsName: &m.Attempts,
		activeName:   &m.Active,
		poolSizeName: &m.PoolSize,
		ejectedName:  &m.Ejected,
	}
	for name, to := range single {
		metrics := families[name].GetMetric()
		if len(metrics) != 1 {
			return m, fmt.Errorf("metrics contain %s %d times, want once", name, len(metrics))
		}
		*to = metricValue(metrics[0])
	}
	m.Responses = map[string]Responses{}
	for _, metric := range families[responsesName].GetMetric() {
		if err := m.addResponses(metric); err != nil {
			return m, err
		}
	}
	return m, nil
}

// addResponses stores the number of responses of one class and result.
func (m *Metrics) addResponses(metric *dto.Metric) error {
	labels := map[string]string{}
	for _, label := range metric.GetLabel() {
		labels[label.GetName()] = label.GetValue()
	}
	responses := m.Responses[labels["kind"]]
	switch labels["result"] {
	case "ok":
		responses.OK = metricValue(metric)
	case "shed":
		responses.Shed = metricValue(metric)
	case "errors":
		responses.Errors = metricValue(metric)
	default:
		return fmt.Errorf("metric %s has unknown labels %v", responsesName, labels)
	}
	m.Responses[labels["kind"]] = responses
	return nil
}

// metricValue returns a metric's value, whether it is a counter, a gauge or untyped.
func metricValue(metric *dto.Metric) float64 {
	return metric.GetCounter().GetValue() + metric.GetGauge().GetValue() + metric.GetUntyped().GetValue()
}

// WithinTolerance reports whether a metric differs from the true value by at most the tolerance, a
// fraction of the true value, or by absoluteTolerance if that is more.
func WithinTolerance(reported, actual, tolerance float64) bool {
	return math.Abs(reported-actual) <= max(tolerance*actual, absoluteTolerance)
}

// Mismatches describes how the responses differ from the clients' own tally; it is empty if they agree
// within JobsTolerance or absoluteTolerance. It does not compare classes that answers lacks.
func (m Metrics) Mismatches(answers map[string]Responses) string {
	var mismatches []string
	check := func(class, result string, reported, actual float64) {
		if !WithinTolerance(reported, actual, JobsTolerance) {
			mismatches = append(mismatches, fmt.Sprintf("%s %s: metrics report %.0f, clients received %.0f",
				class, result, reported, actual))
		}
	}
	for class, received := range answers {
		reported := m.Responses[class]
		check(class, "ok", reported.OK, received.OK)
		check(class, "shed", reported.Shed, received.Shed)
		check(class, "errors", reported.Errors, received.Errors)
	}
	return strings.Join(mismatches, "; ")
}
