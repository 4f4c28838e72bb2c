// Package wire translates between the JSON dialect of the schedulers' bench and
// the types of package foxlift. It decides nothing.
package wire

import (
	"errors"
	"fmt"

	"github.com/valyala/fastjson"

	"github.com/vatu-meals/foxlift"
)

// A Handler receives the decoded messages of a batch in order. Its errors end
// the decoding. The *Event passed to Event is valid only during the call.
type Handler interface {
	Attach(instance string, seed uint64, settings *fastjson.Value) error
	Down(instance string) error
	// Names returns the tables of a running instance, or nil if there is none.
	Names(instance []byte) *Names
	Event(n *Names, ev *foxlift.Event) error
}

// Names holds what one instance's messages are translated with.
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

// A Batch is the frame of one line.
type Batch struct {
	Now    int64
	Number int64
}

// Decode reads one line and passes its messages to h. begin is called with the
// frame before the first message.
func (d *Decoder) Decode(line []byte, begin func(Batch), h Handler) (b Batch, err error) {
	v, err := d.parser.ParseBytes(line)
	if err != nil {
		return b, fmt.Errorf("not JSON: %v", err)
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
	need, ok := minFields[string(name)]
	if !ok {
		return fmt.Errorf("unknown message %q", name)
	}
	if len(f) < need {
		return fmt.Errorf("%s: %d values, want %d", name, len(f), need)
	}
	if err := d.dispatch(string(name), instance, f, h); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

var minFields = map[string]int{
	"attach": 4, "down": 2, "registry": 5, "accept": 11, "flowing": 6, "interim": 7,
	"completed": 10, "clientLeft": 3, "deadlineHit": 3, "probeDone": 6, "neighbourSays": 4,
}

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
	d.event = foxlift.Event{}
	var err error
	switch name {
	case "registry":
		err = d.endpoints(n, f)
	case "accept":
		err = d.request(n, f)
	case "flowing":
		d.event.Kind, d.event.Stream = foxlift.EventStarted, true
		err = d.attemptOf(n, f[2], f[3], f[4])
	case "interim":
		err = d.progress(n, f)
	case "completed":
		err = d.outcome(n, f)
	case "clientLeft":
		d.event.Kind = foxlift.EventClientDisconnected
		d.event.ID, err = unsigned(f[2], "xid")
	case "deadlineHit":
		d.event.Kind = foxlift.EventTimer
		d.event.Token, err = unsigned(f[2], "name")
	case "probeDone":
		err = d.healthChecked(n, f)
	case "neighbourSays":
		err = d.peerMessage(f)
	}
	if err != nil {
		return err
	}
	return h.Event(n, &d.event)
}
