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

// A processSample is what a process has cost by a moment.
type processSample struct {
	at     time.Time
	cpu    float64 // seconds
	memory float64 // bytes
	bytes  int64   // on the link to discovery, both ways
}

// sampleProcess takes a sample now.
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
	propagationTimeout      = 30 * time.Second // for the endpoint list, or its last change, to be in force
	propagationPollInterval = 50 * time.Millisecond
)

// errNotPropagated says that a process did not take in the endpoint list in time.
var errNotPropagated = errors.New("the list is not in force in time")

// awaitWorkerCount waits until a process knows so many workers.
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
			return fmt.Errorf("the scheduler ended: %s", strings.Join(p.Log(), "\n"))
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
