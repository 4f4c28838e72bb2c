package wire

import (
	"fmt"

	"github.com/valyala/fastjson"

	"github.com/vatu-meals/foxlift"
)

const endpointFields = 7

var endpointUpdates = map[string]foxlift.EndpointUpdate{
	"incr": foxlift.EndpointsDelta, "total": foxlift.EndpointsComplete,
	"warm_copy": foxlift.EndpointsCached, "lost": foxlift.EndpointsPollFailed,
}

var workerStates = map[string]foxlift.WorkerState{
	"live": foxlift.Live, "quiescing": foxlift.Draining, "dead": foxlift.Removed,
}

// endpoints decodes ["registry", schedulerId, scope, version, items].
func (d *Decoder) endpoints(n *Names, f []*fastjson.Value) error {
	scope, err := text(f[2], "scope")
	if err != nil {
		return err
	}
	update, ok := endpointUpdates[string(scope)]
	if !ok {
		return fmt.Errorf("unknown scope %q", scope)
	}
	d.event.Kind, d.event.EndpointUpdate = foxlift.EventEndpoints, update
	d.workers = d.workers[:0]
	if !absent(f[4]) {
		items, err := array(f[4], "items")
		if err != nil {
			return err
		}
		for i, item := range items {
			w, err := n.endpoint(item)
			if err != nil {
				return fmt.Errorf("entry %d: %w", i, err)
			}
			d.workers = append(d.workers, w)
		}
	}
	d.event.Workers = d.workers
	return nil
}

// endpoint decodes [worker, zone, kind, block, stageState, _, cameUp].
func (n *Names) endpoint(v *fastjson.Value) (w foxlift.Worker, err error) {
	f, err := array(v, "entry")
	if err != nil {
		return w, err
	}
	if len(f) < endpointFields {
		return w, fmt.Errorf("%d values, want %d", len(f), endpointFields)
	}
	id, err := text(f[0], "worker")
	if err != nil {
		return w, err
	}
	w.ID = n.intern(id)
	w.Zone, w.Kind = n.indexOf(n.zones, f[1]), n.indexOf(n.kinds, f[2])
	cell, err := optionalNumber(f[3], "block")
	if err != nil {
		return w, err
	}
	w.Cell = int(cell)
	state, err := text(f[4], "stageState")
	if err != nil {
		return w, err
	}
	known, ok := workerStates[string(state)]
	if !ok {
		return w, fmt.Errorf("unknown state %q", state)
	}
	w.State = known
	if !absent(f[6]) {
		w.StartedAt, err = integer(f[6], "cameUp")
	}
	return w, err
}

// indexOf returns the index of a name in a table; -1 if it is not there.
func (n *Names) indexOf(table map[string]int, v *fastjson.Value) int {
	if v.Type() == fastjson.TypeString {
		if i, ok := table[string(v.GetStringBytes())]; ok {
			return i
		}
	}
	return -1
}

// intern returns one string for all mentions of a worker.
func (n *Names) intern(id []byte) string {
	s, ok := n.workers[string(id)]
	if !ok {
		s = string(id)
		n.workers[s] = s
	}
	return s
}

// workerID decodes the id of a worker.
func (n *Names) workerID(v *fastjson.Value) (string, error) {
	s, err := text(v, "worker")
	if err != nil {
		return "", err
	}
	return n.intern(s), nil
}
