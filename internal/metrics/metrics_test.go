package metrics

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
	"github.com/vatu-meals/foxlift/internal/memory"
)

// A source is a Source with fixed values.
type source struct {
	pool core.WorkerPool
	err  error
}

func (s *source) Active() int                                         { return 14 }
func (s *source) WorkerPool(context.Context) (core.WorkerPool, error) { return s.pool, s.err }

func fixedMemory() memory.Usage { return memory.Usage{Limit: 3000, Mapped: 2000, Live: 1000} }

// The metrics have the values of the counters and of the core, with label values escaped. While the core does
// not report, the worker pool keeps its last values.
func TestMetricValues(t *testing.T) {
	set := &counters.Set{}
	for range 812 {
		set.AddLabeled("jobs.served", "C")
	}
	set.AddLabeled("jobs.refused", `odd"name`)
	set.AddLabeled("jobs.failed", "C")
	set.Add(counters.ClaimsWritten)
	s := &source{pool: core.WorkerPool{Size: 12, Ejected: 2}}
	handler := Handler([]string{"C", `odd"name`}, set, s, fixedMemory)
	read := func() string {
		w := httptest.NewRecorder()
		request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/admin/stats", nil)
		handler.ServeHTTP(w, request)
		return w.Body.String()
	}
	text := read()
	for _, line := range []string{
		`scheduler_responses_total{kind="C",result="ok"} 812`,
		`scheduler_responses_total{kind="C",result="shed"} 0`,
		`scheduler_responses_total{kind="C",result="errors"} 1`,
		`scheduler_responses_total{kind="odd\"name",result="shed"} 1`,
		"scheduler_tries_total 1", "scheduler_active 14", "scheduler_pool_size 12", "scheduler_pool_ejected 2",
		"scheduler_memory_limit_bytes 3000", "scheduler_memory_mapped_bytes 2000", "scheduler_memory_live_bytes 1000",
	} {
		if !strings.Contains("\n"+text, "\n"+line+"\n") {
			t.Errorf("line %q is missing in\n%s", line, text)
		}
	}
	if set.Get("jobs.served") != 812 {
		t.Errorf("counter jobs.served is %d, want 812", set.Get("jobs.served"))
	}
	// If the core is too busy to report, the last values of the worker pool remain.
	s.pool, s.err = core.WorkerPool{}, errors.New("busy")
	if text := read(); !strings.Contains(text, "scheduler_pool_size 12\n") {
		t.Errorf("without a report of the core, scheduler_pool_size is not 12:\n%s", text)
	}
}
