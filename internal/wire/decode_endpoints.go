package wire

import (
	"fmt"

	"github.com/valyala/fastjson"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/saturate"
)

// minEndpointFields is the minimum number of values in an endpoint list entry.
const minEndpointFields = 7

// endpointUpdates maps the scope of a "registry" message to its kind of update.
var endpointUpdates = map[string]foxlift.EndpointUpdate{
	"incr": foxlift.EndpointsDelta, "total": foxlift.EndpointsComplete,
	"warm_copy": foxlift.EndpointsCached, "lost": foxlift.EndpointsPollFailed,
}

// workerStates maps the stageState of an entry to a worker state.
var workerStates = map[string]foxlift.WorkerState{
	"live": foxlift.Live, "quiescing": foxlift.Draining, "dead": foxlift.Removed,
}

// decodeEndpoints decodes ["registry", schedulerId, scope, version, items]. It ignores the version; absent items are an
// empty list. The event's workers are valid until the next message is decoded.
func (d *Decoder) decodeEndpoints(names *NameTables, fields []*fastjson.Value) error {
	scope, err := readString(fields[2], "scope")
	if err != nil {
		return err
	}
	update, ok := endpointUpdates[string(scope)]
	if !ok {
		return fmt.Errorf("unknown scope %q", scope)
	}
	d.event.Kind, d.event.EndpointUpdate = foxlift.EventEndpoints, update
	d.workers = d.workers[:0]
	if !isAbsent(fields[4]) {
		items, err := readArray(fields[4], "items")
		if err != nil {
			return err
		}
		for i, item := range items {
			worker, err := names.decodeEndpoint(item)
			if err != nil {
				return fmt.Errorf("entry %d: %w", i, err)
			}
			d.workers = append(d.workers, worker)
		}
	}
	d.event.Workers = d.workers
	return nil
}

// decodeEndpoint decodes [worker, zone, kind, block, stageState, _, cameUp]. An unknown zone or kind becomes -1, an
// absent block 0 and an absent cameUp 0, which means long ago.
func (n *NameTables) decodeEndpoint(v *fastjson.Value) (worker foxlift.Worker, err error) {
	fields, err := readArray(v, "entry")
	if err != nil {
		return worker, err
	}
	if len(fields) < minEndpointFields {
		return worker, fmt.Errorf("%d values, want %d", len(fields), minEndpointFields)
	}
	id, err := readString(fields[0], "worker")
	if err != nil {
		return worker, err
	}
	worker.ID = n.intern(id)
	worker.Zone, worker.Kind = n.indexOf(n.zones, fields[1]), n.indexOf(n.kinds, fields[2])
	cell, err := readOptionalNumber(fields[3], "block")
	if err != nil {
		return worker, err
	}
	worker.Cell = int(saturate.Int64(cell))
	state, err := readString(fields[4], "stageState")
	if err != nil {
		return worker, err
	}
	stateValue, ok := workerStates[string(state)]
	if !ok {
		return worker, fmt.Errorf("unknown state %q", state)
	}
	worker.State = stateValue
	if !isAbsent(fields[6]) {
		worker.StartedAt, err = readInt(fields[6], "cameUp")
	}
	return worker, err
}

// indexOf returns the index of a name in a table; -1 if it is not a string or not in the table.
func (n *NameTables) indexOf(table map[string]int, v *fastjson.Value) int {
	if v.Type() == fastjson.TypeString {
		if i, ok := table[string(v.GetStringBytes())]; ok {
			return i
		}
	}
	return -1
}

// intern returns the same string for every occurrence of a worker ID, to avoid an allocation for each.
func (n *NameTables) intern(id []byte) string {
	interned, ok := n.workers[string(id)]
	if !ok {
		interned = string(id)
		n.workers[interned] = interned
	}
	return interned
}

// decodeWorkerID decodes a worker ID.
func (n *NameTables) decodeWorkerID(v *fastjson.Value) (string, error) {
	id, err := readString(v, "worker")
	if err != nil {
		return "", err
	}
	return n.intern(id), nil
}
