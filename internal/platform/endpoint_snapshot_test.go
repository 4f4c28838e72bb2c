package platform

import (
	"fmt"
	"testing"

	"github.com/vatu-meals/foxlift/internal/config"
)

// A list that is saved and loaded again is the same list, of the same version: also draining workers, and starts
// that were announced in the future or before 1970. Removed workers are not in it.
func TestSnapshotRestoresEndpoints(t *testing.T) {
	t.Parallel()
	worker := newTestWorker(t, serveJob)
	addr, calls := newDiscovery(t)
	p, set := start(t, addr, worker)
	next(t, calls).answer(endpointsJSON(1, false)) // the first watch
	next(t, calls).answer(`{"seq":7,"whole":true,"hosts":[` +
		endpointJSON(0, worker, healthActive) + `,` + endpointJSON(1, worker, healthLeaving) +
		`,{"host":"n2","dial":"10.0.0.2:3000","site":"b","class":"m","block":3,"health":"active","born_ms":-5}` +
		`,{"host":"n3","dial":"10.0.0.3:3000","site":"b","class":"m","block":4,"health":"active","born_ms":9999999999999}]}`)
	next(t, calls).answer(`{"seq":8,"whole":false,"hosts":[{"host":"n2","health":"left"}]}`)
	next(t, calls)
	if version, confirmed := p.EndpointsVersion(); version != 8 || !confirmed {
		t.Errorf("version %d, told %v", version, confirmed)
	}
	snapshot, confirmed := p.SnapshotEndpoints()
	if !confirmed || snapshot.Discovery != addr {
		t.Fatalf("%+v, %v", snapshot, confirmed)
	}
	restored := newEndpointWatch(t.Context(), addr, &config.Settings{}, nil, nil)
	workers, err := restored.loadCached(snapshot.Endpoints)
	if err != nil {
		t.Fatal(err)
	}
	check(t, "workers", len(workers), 3)
	check(t, "version", restored.table.version, int64(8))
	check(t, "asks for", restored.needComplete, false)
	for _, name := range []string{"n0", "n1", "n3"} {
		before, after := p.endpoints.table.entries[name], restored.table.entries[name]
		check(t, "restored entry of "+name,
			fmt.Sprint(after.address, after.state, after.announcedStartMilli,
				after.zone.Value(), after.kind.Value(), after.cell),
			fmt.Sprint(before.address, before.state, before.announcedStartMilli,
				before.zone.Value(), before.kind.Value(), before.cell))
	}
	check(t, "failed", set.Get("machines.failed"), int64(0))
}

// Until discovery has confirmed a list since the start there is nothing to save, nor while the watch switches to
// another discovery: its versions are not those of the table.
func TestUnconfirmedEndpointsAreNotSnapshotted(t *testing.T) {
	t.Parallel()
	worker := newTestWorker(t, serveJob)
	addr, calls := newDiscovery(t)
	p, _ := start(t, addr, worker)
	c := next(t, calls)
	if _, confirmed := p.SnapshotEndpoints(); confirmed {
		t.Error("the list as last known is saved as new")
	}
	c.answer(endpointsJSON(2, true, worker))
	next(t, calls)
	if _, confirmed := p.SnapshotEndpoints(); !confirmed {
		t.Error("a list that was told is not saved")
	}
	other, _ := newDiscovery(t)
	p.endpoints.switchTo(other)
	if _, confirmed := p.EndpointsVersion(); confirmed {
		t.Error("the old discovery's version counts for the new one")
	}
	if _, confirmed := p.SnapshotEndpoints(); confirmed {
		t.Error("the old discovery's list is saved for the new one")
	}
}
