package service

import (
	"fmt"
	"math"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// The names of the figures in the scheduler's answer.
const (
	responsesName = "scheduler_responses_total"
	attemptsName  = "scheduler_tries_total"
	activeName    = "scheduler_active"
	poolSizeName  = "scheduler_pool_size"
	ejectedName   = "scheduler_pool_ejected"
)

// How far figures may be off: by a fraction of the true number, or by slack where that is more.
const (
	JobsTolerance     = 0.01
	AttemptsTolerance = 0.02
	ActiveTolerance   = 0.10
	absoluteTolerance = 3
)

// Responses are the jobs of a class by their answer.
type Responses struct{ OK, Shed, Errors float64 }

// Figures are the metrics that a scheduler reports on its operators' address.
type Metrics struct {
	Responses map[string]Responses // by class
	Attempts  float64
	Active    float64
	PoolSize  float64
	Ejected   float64
}

// ParseFigures reads the Prometheus text format. Each figure has to be there, but responses
// may be left out where there were none.
func ParseMetrics(text string) (f Metrics, err error) {
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(strings.NewReader(text))
	if err != nil {
		return f, err
	}
	single := map[string]*float64{
		attemptsName: &f.Attempts,
		activeName:   &f.Active,
		poolSizeName: &f.PoolSize,
		ejectedName:  &f.Ejected,
	}
	for name, to := range single {
		metrics := families[name].GetMetric()
		if len(metrics) != 1 {
			return f, fmt.Errorf("the figures hold %s %d times", name, len(metrics))
		}
		*to = metricValue(metrics[0])
	}
	f.Responses = map[string]Responses{}
	for _, metric := range families[responsesName].GetMetric() {
		if err := f.addResponses(metric); err != nil {
			return f, err
		}
	}
	return f, nil
}

// addResponses takes in the responses of one class and result.
func (f *Metrics) addResponses(metric *dto.Metric) error {
	labels := map[string]string{}
	for _, label := range metric.GetLabel() {
		labels[label.GetName()] = label.GetValue()
	}
	responses := f.Responses[labels["kind"]]
	switch labels["result"] {
	case "ok":
		responses.OK = metricValue(metric)
	case "shed":
		responses.Shed = metricValue(metric)
	case "errors":
		responses.Errors = metricValue(metric)
	default:
		return fmt.Errorf("%s has the unknown labels %v", responsesName, labels)
	}
	f.Responses[labels["kind"]] = responses
	return nil
}

// value is a metric's number, whichever type the text says that it has.
func metricValue(metric *dto.Metric) float64 {
	return metric.GetCounter().GetValue() + metric.GetGauge().GetValue() + metric.GetUntyped().GetValue()
}

// Within reports whether a figure is as close to the true number as the tolerance, a fraction of the
// true number, demands.
func WithinTolerance(figure, truth, tolerance float64) bool {
	return math.Abs(figure-truth) <= max(tolerance*truth, absoluteTolerance)
}

// Disagreement describes how the responses differ from the clients' own tally; it is empty where they
// agree.
func (f Metrics) Mismatches(answers map[string]Responses) string {
	var faults []string
	check := func(class, result string, figure, truth float64) {
		if !WithinTolerance(figure, truth, JobsTolerance) {
			faults = append(faults, fmt.Sprintf("%s %s: the figures say %.0f, clients received %.0f",
				class, result, figure, truth))
		}
	}
	for class, truth := range answers {
		told := f.Responses[class]
		check(class, "ok", told.OK, truth.OK)
		check(class, "shed", told.Shed, truth.Shed)
		check(class, "errors", told.Errors, truth.Errors)
	}
	return strings.Join(faults, "; ")
}
