package metrics

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/counters"
	"github.com/vatu-meals/foxlift/internal/golden"
)

// TestExposition compares the names, help texts, types and labels of all metrics with a golden file, since
// dashboards and alerts use them.
func TestExposition(t *testing.T) {
	w := httptest.NewRecorder()
	pool := &source{pool: core.WorkerPool{Size: 3, Ejected: 1}}
	handler := Handler([]string{"first", "second"}, &counters.Set{}, pool, fixedMemory)
	request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/admin/stats", nil)
	handler.ServeHTTP(w, request)
	golden.Check(t, "exposition.txt", w.Body.Bytes())
}
