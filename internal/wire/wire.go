// Package wire translates between the simulator's JSON messages and the types of package foxlift. It
// decides nothing. A Decoder owns the buffers that it reuses from one message to the next; the names of an
// instance belong to its handler.
package wire

import (
	"errors"
	"fmt"

	"github.com/valyala/fastjson"

	"github.com/vatu-meals/foxlift"
)

// A Handler receives the decoded messages of a batch in order. Its errors end the decoding.
type Handler interface {
	// Attach starts an instance with its settings.
	Attach(instance string, seed uint64, settings *fastjson.Value) error
	// Down ends an instance.
	Down(instance string) error
	// Names returns the tables of a running instance, or nil if there is none.
	Names(instance []byte) *Names
	// Event receives an event of a running instance. It is valid only during the call.
	Event(n *Names, ev *foxlift.Event) error
}

// Names are the tables by which the messages of one instance are translated.
type Names struct {
	Instance string
	Owner    any // for the handler's own use
	classes  map[string]int
	tenants  map[string]int
	zones    map[string]int
	kinds    map[string]int
	workers  map[string]string // interned ids
}

// A Decoder reads batches. It is not safe for concurrent use.
type Decoder struct {
	parser  fastjson.Parser
	event   foxlift.Event
	workers []foxlift.Worker
}

// A Batch is the header of one line.
type Batch struct {
	Now    int64
	Number int64
}

// Decode reads one line and passes its messages to h. begin is called with the header before the first
// message.
func (d *Decoder) Decode(line []byte, begin func(Batch), h Handler) (b Batch, err error) {
	v, err := d.parser.ParseBytes(line)
	if err != nil {
		return b, fmt.Errorf("not JSON: %w", err)
	}
	if v.Type() != fastjson.TypeObject {
		return b, errors.New("a batch is not an object")
	}
	if b.Number, err = integer(v.Get("batch"), "batch"); err != nil {
		return b, err
	}
	if b.Now, err = integer(v.Get("simTime"), "simTime"); err != nil {
		return b, err
	}
	news, err := array(v.Get("news"), "news")
	if err != nil {
		return b, err
	}
	begin(b)
	for i, m := range news {
		if err := d.message(m, h); err != nil {
			return b, fmt.Errorf("message %d: %w", i, err)
		}
	}
	return b, nil
}

// message decodes one message: an array of its name, the instance and its fields.
func (d *Decoder) message(m *fastjson.Value, h Handler) error {
	f, err := array(m, "message")
	if err != nil {
		return err
	}
	if len(f) < 2 {
		return errors.New("fewer than two values")
	}
	name, err := text(f[0], "name")
	if err != nil {
		return err
	}
	instance, err := text(f[1], "schedulerId")
	if err != nil {
		return err
	}
	want, ok := minFields[string(name)]
	if !ok {
		return fmt.Errorf("unknown message %q", name)
	}
	if len(f) < want {
		return fmt.Errorf("%s: %d values, want %d", name, len(f), want)
	}
	if err := d.dispatch(string(name), instance, f, h); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// minFields are the messages and how many values each has at least.
var minFields = map[string]int{
	"attach": 4, "down": 2, "registry": 5, "accept": 11, "flowing": 6, "interim": 7,
	"completed": 10, "clientLeft": 3, "deadlineHit": 3, "probeDone": 6, "neighbourSays": 4,
}

// dispatch passes a message to the handler.
func (d *Decoder) dispatch(name string, instance []byte, f []*fastjson.Value, h Handler) error {
	switch name {
	case "attach":
		seed, err := unsigned(f[2], "rngSeed")
		if err != nil {
			return err
		}
		if f[3].Type() != fastjson.TypeObject {
			return errors.New("conf is not an object")
		}
		return h.Attach(string(instance), seed, f[3])
	case "down":
		return h.Down(string(instance))
	}
	n := h.Names(instance)
	if n == nil {
		return fmt.Errorf("instance %q does not run", instance)
	}
	if n.workers == nil {
		return nil // its settings could not be run; that was reported
	}
	if err := d.decodeEvent(name, n, f); err != nil {
		return err
	}
	return h.Event(n, &d.event)
}

// decodeEvent decodes a message to a running instance into d.event.
func (d *Decoder) decodeEvent(name string, n *Names, f []*fastjson.Value) (err error) {
	d.event = foxlift.Event{}
	switch name {
	case "registry":
		return d.endpoints(n, f)
	case "accept":
		return d.request(n, f)
	case "flowing":
		d.event.Kind, d.event.Stream = foxlift.EventStarted, true
		return d.attemptOf(n, f[2], f[3], f[4])
	case "interim":
		return d.progress(n, f)
	case "completed":
		return d.outcome(n, f)
	case "clientLeft":
		d.event.Kind = foxlift.EventClientDisconnected
		d.event.ID, err = unsigned(f[2], "xid")
	case "deadlineHit":
		d.event.Kind = foxlift.EventTimer
		d.event.Token, err = unsigned(f[2], "name")
	case "probeDone":
		return d.healthChecked(n, f)
	case "neighbourSays":
		return d.peerMessage(f)
	}
	return err
}
