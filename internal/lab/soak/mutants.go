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

// A Mutant is a deliberate fault of the scheduler, and the count that has to show it.
type Mutant struct {
	lab.Mutant
	Shows func(Violations) int
}

func drain(v Violations) int         { return v.Drain }
func lost(v Violations) int          { return v.Lost }
func duplicate(v Violations) int     { return v.Duplicate }
func disconnected(v Violations) int  { return v.Disconnected }
func deadline(v Violations) int      { return v.Deadline }
func startOverload(v Violations) int { return v.StartOverload }

// Mutants are the faults by which the soak is proved, two for each rule.
var Mutants = []Mutant{
	{lab.Mutant{Name: "a saved list is trusted at once", File: "internal/decision/membership/lease.go", Old: "now-l.confirmedAt >= CachedEndpointsGrace", New: "now >= l.confirmedAt"}, drain},
	{lab.Mutant{Name: "drains are not heard", File: "internal/platform/endpoint_table.go", Old: "state := workerStates[h.Health]", New: "state := workerStates[h.Health]\n\t\tif state == foxlift.Draining {\n\t\t\tstate = foxlift.Live\n\t\t}"}, drain},
	{lab.Mutant{Name: "unanswered attempts go on at nodes that are gone", File: "internal/platform/in_flight.go", Old: "if state == foxlift.Live {", New: "if true {"}, drain},
	{lab.Mutant{Name: "some answers are never written", File: "internal/platform/client_reply.go", Old: "\t_, err := c.conn.Write(b)\n", New: "\tif len(b)%7 == 0 {\n\t\treturn false\n\t}\n\t_, err := c.conn.Write(b)\n"}, lost},
	{lab.Mutant{Name: "the end waits for no job", File: "internal/platform/shutdown.go", Old: "\tp.clients.shutDown(acceptAfterShutdown, stay)\n\tp.core.Stop()", New: "\tgo p.clients.shutDown(acceptAfterShutdown, stay)\n\ttime.Sleep(acceptAfterShutdown / 4)\n\tp.core.Stop()"}, lost},
	{lab.Mutant{Name: "a reset counts as never run", File: "api.go", Old: "c == Unreachable || c == NotSent }", New: "c == Unreachable || c == NotSent || c == Reset }"}, duplicate},
	{lab.Mutant{Name: "a timed-out claim counts as never run", File: "api.go", Old: "c == Unreachable || c == NotSent }", New: "c == Unreachable || c == NotSent || c == DeadlineExceeded || c == Cancelled || c == Reset }"}, duplicate},
	{lab.Mutant{Name: "a submitter that leaves is not noticed", File: "internal/platform/client_conn.go", Old: "\t\t\tc.server.core.ClientDisconnected(job)\n", New: "\t\t\tjob.Client = nil\n"}, disconnected},
	{lab.Mutant{Name: "a submitter's leaving is noticed late", File: "internal/platform/client_conn.go", Old: "\t\t\tjob.MarkDisconnected()\n\t\t\tc.server.core.ClientDisconnected(job)\n", New: "\t\t\tjob.Client = nil\n\t\t\ttime.Sleep(400 * time.Millisecond)\n\t\t\tc.server.core.ClientDisconnected(job)\n"}, disconnected},
	{lab.Mutant{Name: "nodes are told of a second more", File: "internal/platform/attempt.go", Old: "formatRemaining(remaining)", New: "formatRemaining(remaining+time.Second)"}, deadline},
	{lab.Mutant{Name: "the time in the queue is not taken off", File: "internal/core/send.go", Old: "Remaining: remaining,", New: "Remaining: j.Remaining,"}, deadline},
	{lab.Mutant{Name: "cold nodes count as warm", File: "internal/decision/health/slow_start.go", Old: "return w.startedAt != 0 && now-w.startedAt < s.config.Duration", New: "return false"}, startOverload},
	{lab.Mutant{Name: "starts are not heard", File: "endpoints.go", Old: "if w.warmup.StartedAt() != e.StartedAt {", New: "if false {"}, startOverload},
}

const (
	maxSeeds      = 10 // that the soak has to see a mutant
	mutantsAtOnce = 3  // that are played side by side
)

// CheckMutants plays each mutant for at most so many seeds, until its rule is seen broken.
func CheckMutants(ctx context.Context, w io.Writer, o Options) (caught int, err error) {
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(mutantsAtOnce)
	for i := range Mutants {
		m := &Mutants[i]
		group.Go(func() error {
			seeds, err := m.check(ctx, o)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				return fmt.Errorf("%s: %w", m.Name, err)
			case seeds > maxSeeds:
				fmt.Fprintf(w, "NOT SEEN in %d seeds  %s\n", maxSeeds, m.Name)
			default:
				caught++
				fmt.Fprintf(w, "caught by seed %2d     %s\n", seeds, m.Name)
			}
			return nil
		})
	}
	err = group.Wait()
	return caught, err
}

// check returns by which seed, counted from 1, a mutant was seen.
func (m *Mutant) check(ctx context.Context, o Options) (seeds int, err error) {
	dir, err := os.MkdirTemp("", "foxlift-soak-mutant-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	if o.Program, err = m.BuildProgram(ctx, dir); err != nil {
		return 0, err
	}
	for seeds = 1; seeds <= maxSeeds; seeds++ {
		o.Seed = uint64(seeds)
		r, err := o.Run(io.Discard)
		if err != nil {
			return 0, err
		}
		if m.Shows(r.Violations) > 0 {
			break
		}
	}
	return seeds, nil
}
