package platform

import (
	"fmt"
	"testing"

	"github.com/vatu-meals/foxlift/internal/config"
)

// Guards against a snapshot that loses or changes entries. A list that is saved and loaded again has the same version
// and entries, also for draining workers and for starts in the future or before 1970. Removed workers are not in it.
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
		t.Errorf("EndpointsVersion() = %d, %v, want 8, true", version, confirmed)
	}
	snapshot, confirmed := p.SnapshotEndpoints()
	if !confirmed || snapshot.Discovery != addr {
		t.Fatalf("SnapshotEndpoints() = %+v, %v, want a list of discovery %s", snapshot, confirmed, addr)
	}
	restored := newEndpointWatch(t.Context(), addr, &config.Settings{}, nil, nil)
	workers, err := restored.loadCached(snapshot.Endpoints)
	if err != nil {
		t.Fatal(err)
	}
	check(t, "workers of the restored list", len(workers), 3)
	check(t, "version of the restored list", restored.table.version, int64(8))
	check(t, "complete list needed after loadCached", restored.needComplete, false)
	for _, name := range []string{"n0", "n1", "n3"} {
		before, after := p.endpoints.table.entries[name], restored.table.entries[name]
		check(t, "restored entry of "+name,
			fmt.Sprint(after.address, after.state, after.announcedStartMilli,
				after.zone.Value(), after.kind.Value(), after.cell),
			fmt.Sprint(before.address, before.state, before.announcedStartMilli,
				before.zone.Value(), before.kind.Value(), before.cell))
	}
	check(t, "counter machines.failed", set.Get("machines.failed"), int64(0))
}

// Guards against saving an outdated list as current. There is no snapshot until discovery has confirmed a list since
// the start of the process, nor while the watch switches to another discovery, whose versions differ from those of the
// table.
func TestUnconfirmedEndpointsAreNotSnapshotted(t *testing.T) {
	t.Parallel()
	worker := newTestWorker(t, serveJob)
	addr, calls := newDiscovery(t)
	p, _ := start(t, addr, worker)
	c := next(t, calls)
	if _, confirmed := p.SnapshotEndpoints(); confirmed {
		t.Error("SnapshotEndpoints() returned the cached list before discovery confirmed one")
	}
	c.answer(endpointsJSON(2, true, worker))
	next(t, calls)
	if _, confirmed := p.SnapshotEndpoints(); !confirmed {
		t.Error("SnapshotEndpoints() = false after discovery sent a list, want true")
	}
	other, _ := newDiscovery(t)
	p.endpoints.switchTo(other)
	if _, confirmed := p.EndpointsVersion(); confirmed {
		t.Error("EndpointsVersion() confirmed the old discovery's version after a switch")
	}
	if _, confirmed := p.SnapshotEndpoints(); confirmed {
		t.Error("SnapshotEndpoints() returned the old discovery's list after a switch")
	}
}
