package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/vatu-meals/foxlift/internal/lab"
)

// Mutant is a deliberate fault of the scheduler with the kind of violation that must reveal it.
type Mutant struct {
	lab.Mutant
	ViolationCount func(Violations) int // returns the number of violations of that kind
}

func drain(v Violations) int         { return v.Drain }
func lost(v Violations) int          { return v.Lost }
func duplicate(v Violations) int     { return v.Duplicate }
func disconnected(v Violations) int  { return v.Disconnected }
func deadline(v Violations) int      { return v.Deadline }
func startOverload(v Violations) int { return v.StartOverload }

const (
	maxSeedsPerMutant    = 10 // a mutant that no run with these seeds reveals is not caught
	maxConcurrentMutants = 3  // checked at the same time
)

// CheckMutants builds each mutant from the module in the current folder and runs it with the seeds from
// 1 to maxSeedsPerMutant until the soak catches it; it ignores o.Program and o.Seed. It writes a line for
// each mutant and returns how many were caught. A mutant that is not caught is no error. If a build or a
// run fails, CheckMutants still checks the remaining mutants and returns the first error. ctx ends only
// the builds, not the runs.
func CheckMutants(ctx context.Context, w io.Writer, o Options) (caught int, err error) {
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxConcurrentMutants)
	for i := range Mutants {
		m := &Mutants[i]
		group.Go(func() error {
			seeds, err := m.check(ctx, o)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				return fmt.Errorf("%s: %w", m.Name, err)
			case seeds > maxSeedsPerMutant:
				fmt.Fprintf(w, "NOT CAUGHT in %d seeds  %s\n", maxSeedsPerMutant, m.Name)
			default:
				caught++
				fmt.Fprintf(w, "caught by seed %2d       %s\n", seeds, m.Name)
			}
			return nil
		})
	}
	err = group.Wait()
	return caught, err
}

// check returns the seed, counted from 1, with which the soak caught the mutant; maxSeedsPerMutant+1 if
// none did.
func (m *Mutant) check(ctx context.Context, o Options) (seeds int, err error) {
	dir, err := os.MkdirTemp("", "foxlift-soak-mutant-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	if o.Program, err = m.BuildProgram(ctx, dir); err != nil {
		return 0, err
	}
	for seeds = 1; seeds <= maxSeedsPerMutant; seeds++ {
		o.Seed = uint64(seeds)
		r, err := o.Run(io.Discard)
		if err != nil {
			return 0, err
		}
		if m.ViolationCount(r.Violations) > 0 {
			break
		}
	}
	return seeds, nil
}
