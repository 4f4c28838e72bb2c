package core

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
)

// Runs 1,000 migrations between two cells under load, with attempts that end in different ways, changes of the
// endpoint list and two changes of the plan. Every job must get exactly one answer, no at-most-once job may run
// twice, and no job, count or reservation may be left.
func TestThousandMigrations(t *testing.T) {
	l := newMigrationLoad(t)
	for i := range 1000 {
		l.submitSome()
		l.migrate(t, cellTenants[l.random.IntN(3)], l.random.IntN(2))
		l.completeSome()
		switch {
		case i%100 == 50:
			l.drainOne()
		case i == 333:
			l.replan(t, fourCells())
		case i == 666:
			l.replan(t, twoCells())
		}
	}
	l.completeAll()
	for tries := 0; len(l.jobs.open) > 0 && tries < 1000; tries++ { // queued jobs end at their deadlines
		l.applyEvent(<-l.loop.inbox)
		l.completeAll()
	}
	l.checkAnswers(t)
	l.checkEmpty(t)

	migrated, withheld := l.counters.Get("jobs.moved"), l.counters.Get("claims.withheld")
	t.Logf("%d jobs, %d attempts, %d jobs migrated", len(l.clients), len(l.sent), migrated)
	if len(l.sent) < len(l.clients)/4 || migrated == 0 || withheld != 0 {
		t.Errorf("%d attempts, want at least %d; %d jobs migrated, want at least 1; %d attempts withheld, want 0",
			len(l.sent), len(l.clients)/4, migrated, withheld)
	}
}

// fourCells returns twoCells with two more cells.
func fourCells() *cells.Spec {
	spec := twoCells()
	spec.Cells[0].CapacityFraction, spec.Cells[1].CapacityFraction = 0.4, 0.3
	spec.Cells = append(spec.Cells,
		cells.Cell{Name: "c", CapacityFraction: 0}, cells.Cell{Name: "d", Tenants: []string{}})
	return spec
}

// A migrationLoad is a rig to which random jobs are submitted and whose attempts get random outcomes.
type migrationLoad struct {
	*rig
	random     *rand.Rand
	clients    []*recordingClient
	sentIDs    []string       // job id of each attempt
	completed  int            // number of attempts that have ended; they end in the order in which they were sent
	mayHaveRun map[string]int // number of attempts that may have run, by id of the at-most-once job
	codes      []foxlift.Code
}

func newMigrationLoad(t *testing.T) *migrationLoad {
	t.Helper()
	spec := twoCells()
	spec.WorkersPerKey, spec.MaxJobsPerKey = 2, 4
	l := &migrationLoad{
		rig: newCellRig(t, spec), random: rand.New(rand.NewPCG(8, 9)), mayHaveRun: map[string]int{},
		// With a higher rate of failures all workers would soon be ejected.
		codes: append(slices.Repeat([]foxlift.Code{foxlift.Served}, 60),
			foxlift.Saturated, foxlift.Reset, foxlift.Unreachable, foxlift.WorkerError, foxlift.NotSent),
	}
	l.onSend = func(j *Job) { l.sentIDs = append(l.sentIDs, j.ID) }
	return l
}

// submitSome submits up to two jobs.
func (l *migrationLoad) submitSome() {
	for range l.random.IntN(3) {
		id := fmt.Sprint("j", len(l.clients))
		class := []string{"reading", "ratify"}[l.random.IntN(2)]
		tenant := cellTenants[l.random.IntN(3)]
		l.clients = append(l.clients, l.submitToCell(id, class, tenant, uint64(l.random.IntN(4))))
	}
}

// completeSome ends some of the attempts in flight with random outcomes.
func (l *migrationLoad) completeSome() {
	for l.completed < len(l.sent) && l.random.IntN(3) > 0 {
		code := l.codes[l.random.IntN(len(l.codes))]
		if id := l.sentIDs[l.completed]; !code.NeverRan() && slices.Contains(l.atMostOnceIDs, id) {
			l.mayHaveRun[id]++
		}
		l.completeNext(code)
	}
}

// completeAll ends all attempts in flight as served.
func (l *migrationLoad) completeAll() {
	for l.completed < len(l.sent) {
		l.completeNext(foxlift.Served)
	}
}

// completeNext ends the attempt that was sent first of those in flight.
func (l *migrationLoad) completeNext(code foxlift.Code) {
	l.completed++
	l.complete(l.completed-1, code)
}

// drainOne makes one random worker draining and all other workers live.
func (l *migrationLoad) drainOne() {
	workers := cellWorkers(0)
	workers[l.random.IntN(len(workers))].State = foxlift.Draining
	l.applyEvent(endpointsUpdated{kind: foxlift.EndpointsDelta, workers: workers})
}

// checkAnswers checks that each job has exactly one answer, and that no at-most-once job may have run twice.
func (l *migrationLoad) checkAnswers(t *testing.T) {
	t.Helper()
	for i, client := range l.clients {
		if len(client.answers) != 1 {
			t.Errorf("job %d has %d answers, want 1", i, len(client.answers))
		}
	}
	for id, attempts := range l.mayHaveRun {
		if attempts > 1 {
			t.Errorf("job %s may have run %d times, want at most 1", id, attempts)
		}
	}
}

// checkEmpty checks that the core has no jobs, and no counts, reservations or slots in flight of earlier jobs.
func (l *migrationLoad) checkEmpty(t *testing.T) {
	t.Helper()
	if len(l.jobs.byNumber) != 0 || len(l.jobs.open) != 0 || len(l.cells.jobsByKey) != 0 {
		t.Errorf("the core has %d jobs, %d open jobs and %d affinity keys, want 0 of each",
			len(l.jobs.byNumber), len(l.jobs.open), len(l.cells.jobsByKey))
	}
	for i, cl := range l.cells.all {
		if cl.spilled != 0 {
			t.Errorf("cell %s: %d spilled jobs, want 0", cl.name, cl.spilled)
		}
		if cl.retired {
			continue
		}
		if open, _, _ := l.placement.Load().admission.Usage(i); open != 0 {
			t.Errorf("cell %s: Usage() has %d open jobs, want 0", cl.name, open)
		}
	}
	for id, w := range l.workers.byID {
		if len(w.inFlight) != 0 {
			t.Errorf("worker %s: slots in flight are %v, want none", id, w.inFlight)
		}
	}
}
