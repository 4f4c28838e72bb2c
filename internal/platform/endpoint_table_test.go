package platform

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/config"
)

// Guards against a table that grows with each worker that was ever announced, until discovery sends a complete list.
func TestRemovedWorkersLeaveTheTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newEndpointTable(&config.Settings{})
		announce := func(version int64, worker, health string) {
			table.apply(&endpointsResponse{
				Version: &version, Endpoints: []endpointEntry{{ID: worker, Address: "h:1", Health: health}},
			})
		}
		announce(1, "stays", healthActive)
		const changes = 20 * minPruneEntries
		for i := range changes {
			worker := fmt.Sprint("w", i)
			announce(2, worker, healthActive)
			announce(3, worker, healthRemoved)
			time.Sleep(time.Second)
			if state, since := table.state(worker); state != foxlift.Removed || since.IsZero() {
				t.Fatalf("state of %s, removed a second before, is %v since %v, want removed with its time", worker, state, since)
			}
		}
		if state, _ := table.state("stays"); state != foxlift.Live || len(table.entries) > minPruneEntries {
			t.Errorf("after %d workers the table has %d entries and the first worker is %v, want at most %d and live",
				changes, len(table.entries), state, minPruneEntries)
		}
	})
}

// Guards against changes that add up to more workers than there is memory for, although each response is bounded.
func TestChangesBeyondTheBoundAreRejected(t *testing.T) {
	const maxEntries = 10
	table := newEndpointTable(&config.Settings{})
	changes := func(first, count int, health string) *endpointsResponse {
		version := int64(1)
		response := &endpointsResponse{Version: &version}
		for i := range count {
			response.Endpoints = append(response.Endpoints,
				endpointEntry{ID: fmt.Sprint("w", first+i), Address: "h:1", Health: health})
		}
		return response
	}
	complete := changes(0, 2*maxEntries, healthActive)
	complete.Complete = true
	for _, c := range []struct {
		what     string
		response *endpointsResponse
		rejected bool
	}{
		{"as many as allowed", changes(0, maxEntries, healthActive), false},
		{"one more", changes(maxEntries, 1, healthActive), true},
		{"known workers", changes(0, maxEntries, healthLeaving), false},
		{"a complete list, which is bounded itself", complete, false},
	} {
		err := table.checkGrowth(c.response, maxEntries)
		if rejected := errors.As(err, &oversizedError{}); rejected != c.rejected {
			t.Errorf("%s: checkGrowth() returned %v, want an oversizedError: %t", c.what, err, c.rejected)
		}
		if err == nil && !c.response.Complete {
			table.apply(c.response)
		}
	}
}
