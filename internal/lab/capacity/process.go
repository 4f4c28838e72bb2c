package capacity

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/prometheus/procfs"

	"github.com/vatu-meals/foxlift/internal/lab/fleet"
	"github.com/vatu-meals/foxlift/internal/lab/service"
)

// A processSample is the resource usage of a process from its start until a time.
type processSample struct {
	at     time.Time // time of the sample
	cpu    float64   // processor time in seconds
	memory float64   // resident bytes
	bytes  int64     // bytes carried by the link to discovery, in both directions
}

// sampleProcess samples a process and its link to discovery.
func sampleProcess(proc procfs.Proc, link *fleet.Link) (processSample, error) {
	stat, err := proc.Stat()
	if err != nil {
		return processSample{}, err
	}
	return processSample{
		at:     time.Now(),
		cpu:    stat.CPUTime(),
		memory: float64(stat.ResidentMemory()),
		bytes:  link.ForwardedBytes(fleet.ToTarget) + link.ForwardedBytes(fleet.FromTarget),
	}, nil
}

const (
	propagationTimeout      = 30 * time.Second      // for the endpoint list or its last change to be in force
	propagationPollInterval = 50 * time.Millisecond // between two checks of the number of workers
)

// errNotPropagated reports that a process did not apply the endpoint list within propagationTimeout.
var errNotPropagated = errors.New("endpoint list not in force in time")

// awaitWorkerCount waits until the endpoint list of a process has a number of workers. It fails with errNotPropagated
// after propagationTimeout, and with another error if the process or ctx ends before.
func awaitWorkerCount(ctx context.Context, p *fleet.Process, workers int) error {
	var figures service.Metrics
	var err error
	operators := service.AdminClient{Addr: p.AdminAddr}
	for end := time.Now().Add(propagationTimeout); time.Now().Before(end); {
		if figures, err = operators.Stats(ctx); err == nil && int(figures.PoolSize) == workers {
			return nil
		}
		select {
		case <-p.Done():
			return fmt.Errorf("scheduler process exited: %s", strings.Join(p.Log(), "\n"))
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(propagationPollInterval):
		}
	}
	if err != nil {
		return fmt.Errorf("%w: %v of %d workers (%w)", errNotPropagated, figures.PoolSize, workers, err)
	}
	return fmt.Errorf("%w: %v of %d workers", errNotPropagated, figures.PoolSize, workers)
}
