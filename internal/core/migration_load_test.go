package core

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/cells"
)

// Hard case 9: 1,000 migrations to and fro under load, with attempts that end in every way, an endpoint
// list that changes, and other plans in the middle. Every job has one answer, none that must not runs
// twice, and nothing is left behind.
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
	for tries := 0; len(l.jobs.open) > 0 && tries < 1000; tries++ { // queued ones: their time runs out
		l.applyEvent(<-l.loop.inbox)
		l.completeAll()
	}
	l.checkAnswers(t)
	l.checkEmpty(t)

	migrated, withheld := l.counters.Get("jobs.moved"), l.counters.Get("claims.withheld")
	t.Logf("%d jobs, %d attempts, %d jobs migrated", len(l.clients), len(l.sent), migrated)
	if len(l.sent) < len(l.clients)/4 || migrated == 0 || withheld != 0 {
		t.Errorf("%d jobs migrated, %d attempts withheld", migrated, withheld)
	}
}

func fourCells() *cells.Spec {
	spec := twoCells()
	spec.Cells[0].CapacityFraction, spec.Cells[1].CapacityFraction = 0.4, 0.3
	spec.Cells = append(spec.Cells,
		cells.Cell{Name: "c", CapacityFraction: 0}, cells.Cell{Name: "d", Tenants: []string{}})
	return spec
}

// A migrationLoad is a rig with random jobs and outcomes.
type migrationLoad struct {
	*rig
	random     *rand.Rand
	clients    []*recordingClient
	sentIDs    []string       // of the jobs, by attempt
	completed  int            // attempts, in the order they were sent
	mayHaveRun map[string]int // attempts of at-most-once jobs that may have run, by id
	codes      []foxlift.Code
}

func newMigrationLoad(t *testing.T) *migrationLoad {
	t.Helper()
	spec := twoCells()
	spec.WorkersPerKey, spec.MaxJobsPerKey = 2, 4
	l := &migrationLoad{
		rig: newCellRig(t, spec), random: rand.New(rand.NewPCG(8, 9)), mayHaveRun: map[string]int{},
		// With more failures all workers would soon be ejected.
		codes: append(slices.Repeat([]foxlift.Code{foxlift.Served}, 60),
			foxlift.Saturated, foxlift.Reset, foxlift.Unreachable, foxlift.WorkerError, foxlift.NotSent),
	}
	l.onSend = func(j *Job) { l.sentIDs = append(l.sentIDs, j.ID) }
	return l
}

// submitSome sends up to two jobs.
func (l *migrationLoad) submitSome() {
	for range l.random.IntN(3) {
		id := fmt.Sprint("j", len(l.clients))
		class := []string{"reading", "ratify"}[l.random.IntN(2)]
		tenant := cellTenants[l.random.IntN(3)]
		l.clients = append(l.clients, l.submitToCell(id, class, tenant, uint64(l.random.IntN(4))))
	}
}

// completeSome ends some of the attempts in flight, in any way.
func (l *migrationLoad) completeSome() {
	for l.completed < len(l.sent) && l.random.IntN(3) > 0 {
		code := l.codes[l.random.IntN(len(l.codes))]
		if id := l.sentIDs[l.completed]; !code.NeverRan() && slices.Contains(l.atMostOnceIDs, id) {
			l.mayHaveRun[id]++
		}
		l.completeNext(code)
	}
}

// completeAll ends all attempts in flight with their results.
func (l *migrationLoad) completeAll() {
	for l.completed < len(l.sent) {
		l.completeNext(foxlift.Served)
	}
}

func (l *migrationLoad) completeNext(code foxlift.Code) {
	l.completed++
	l.complete(l.completed-1, code)
}

// drainOne lets one worker drain, and those that drained be live again.
func (l *migrationLoad) drainOne() {
	workers := cellWorkers(0)
	workers[l.random.IntN(len(workers))].State = foxlift.Draining
	l.applyEvent(endpointsUpdated{kind: foxlift.EndpointsDelta, workers: workers})
}

// checkAnswers checks that each job has one answer, and that none that must not may have run twice.
func (l *migrationLoad) checkAnswers(t *testing.T) {
	t.Helper()
	for i, client := range l.clients {
		if len(client.answers) != 1 {
			t.Errorf("job %d has %d answers", i, len(client.answers))
		}
	}
	for id, attempts := range l.mayHaveRun {
		if attempts > 1 {
			t.Errorf("%s may have run %d times", id, attempts)
		}
	}
}

// checkEmpty checks that the core has no jobs, and that nothing stays counted for them.
func (l *migrationLoad) checkEmpty(t *testing.T) {
	t.Helper()
	if len(l.jobs.byNumber) != 0 || len(l.jobs.open) != 0 || len(l.cells.jobsByKey) != 0 {
		t.Errorf("%d jobs, %d open, %d keys stay", len(l.jobs.byNumber), len(l.jobs.open), len(l.cells.jobsByKey))
	}
	for i, cl := range l.cells.all {
		if cl.spilled != 0 {
			t.Errorf("%s: %d spilled jobs stay", cl.name, cl.spilled)
		}
		if cl.retired {
			continue
		}
		if open, _, _ := l.placement.Load().admission.Usage(i); open != 0 {
			t.Errorf("%s: %d reservations stay", cl.name, open)
		}
	}
	for id, w := range l.workers.byID {
		if len(w.inFlight) != 0 {
			t.Errorf("%s: attempts stay counted: %v", id, w.inFlight)
		}
	}
}
