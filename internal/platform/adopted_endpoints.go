package platform

import (
	"time"

	"github.com/vatu-meals/foxlift"
)

// AdoptEndpoints applies the endpoint list that another process of this scheduler has from discovery, as a cached list,
// unless discovery has answered this process or the list is not newer. The list of another discovery than the one that
// is polled is used only before StartWatch. It returns an error if the list is not valid. One goroutine at a time may
// call it, or StartWatch.
func (p *Platform) AdoptEndpoints(snapshot *EndpointSnapshot) error {
	workers, err := p.endpoints.adopt(snapshot, !p.watchStarted)
	switch {
	case err != nil:
		return err
	case workers == nil:
	case p.watchStarted:
		p.core.UpdateEndpoints(foxlift.EndpointsCached, workers)
	default:
		p.cachedWorkers = workers
	}
	if p.endpoints.hasAdopted(snapshot) {
		p.core.InheritEndpoints(snapshot.FreshFor - time.Since(snapshot.TakenAt).Abs())
	}
	return nil
}

// adopt implements AdoptEndpoints. It returns the workers of the list, or nil if the list is not used.
func (w *endpointWatch) adopt(snapshot *EndpointSnapshot, anyDiscovery bool) ([]foxlift.Worker, error) {
	response, err := parseCached(snapshot.Endpoints)
	if response == nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	sameDiscovery := snapshot.Discovery == w.discovery
	if w.answered || w.switched || !sameDiscovery && !anyDiscovery ||
		sameDiscovery && *response.Version <= w.table.version {
		return nil, nil
	}
	workers := w.table.apply(response)
	w.needComplete = !sameDiscovery // versions of different discoveries cannot be compared
	return workers, nil
}

// hasAdopted reports whether the table is the list of a snapshot, which the discovery that is polled has confirmed to
// another process, and to this one nothing yet.
func (w *endpointWatch) hasAdopted(snapshot *EndpointSnapshot) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.answered && !w.switched && snapshot.Discovery == w.discovery && snapshot.Version == w.table.version
}
