// Package wire converts between the simulator's JSON messages and the types of package foxlift. It makes no decisions.
// A Decoder owns the buffers that it reuses for each message; the name tables of an instance belong to the handler.
package wire

import (
	"errors"
	"fmt"

	"github.com/valyala/fastjson"

	"github.com/vatu-meals/foxlift"
)

// A Handler receives the decoded messages of a batch in order. An error from a method ends the decoding of the batch.
type Handler interface {
	// Attach starts an instance with a random seed and settings.
	Attach(instance string, seed uint64, settings *fastjson.Value) error
	// Down stops an instance.
	Down(instance string) error
	// Names returns the name tables of a running instance, or nil if it is not running.
	Names(instance []byte) *NameTables
	// Event handles an event of a running instance. ev is valid only during the call.
	Event(n *NameTables, ev *foxlift.Event) error
}

// NameTables holds the tables that map the names in the messages of one instance to indexes and interned strings.
type NameTables struct {
	Instance string
	Owner    any // for the handler's own use
	classes  map[string]int
	tenants  map[string]int
	zones    map[string]int
	kinds    map[string]int
	workers  map[string]string // interned worker IDs; nil if the settings of the instance are invalid
}

// A Decoder decodes batches. It is not safe for concurrent use.
type Decoder struct {
	parser  fastjson.Parser
	event   foxlift.Event
	workers []foxlift.Worker
}

// A Batch is the header of one line of input.
type Batch struct {
	Now    int64 // simulated time, in nanoseconds
	Number int64 // identifies the batch in the reply
}

// Decode decodes one line and passes its messages to h. It calls begin with the header before the first message, and
// returns the header. If an error occurs, messages before the faulty one have been passed to h; header values that were
// not decoded are 0.
func (d *Decoder) Decode(line []byte, begin func(Batch), h Handler) (b Batch, err error) {
	batch, err := d.parser.ParseBytes(line)
	if err != nil {
		return b, fmt.Errorf("not JSON: %w", err)
	}
	if batch.Type() != fastjson.TypeObject {
		return b, errors.New("batch is not an object")
	}
	if b.Number, err = readInt(batch.Get("batch"), "batch"); err != nil {
		return b, err
	}
	if b.Now, err = readInt(batch.Get("simTime"), "simTime"); err != nil {
		return b, err
	}
	messages, err := readArray(batch.Get("news"), "news")
	if err != nil {
		return b, err
	}
	begin(b)
	for i, message := range messages {
		if err := d.decodeMessage(message, h); err != nil {
			return b, fmt.Errorf("message %d: %w", i, err)
		}
	}
	return b, nil
}

// decodeMessage decodes one message, an array of its name, the instance and further values, and passes it to h.
func (d *Decoder) decodeMessage(value *fastjson.Value, h Handler) error {
	fields, err := readArray(value, "message")
	if err != nil {
		return err
	}
	if len(fields) < 2 {
		return errors.New("fewer than two values")
	}
	name, err := readString(fields[0], "name")
	if err != nil {
		return err
	}
	instance, err := readString(fields[1], "schedulerId")
	if err != nil {
		return err
	}
	minCount, ok := minFields[string(name)]
	if !ok {
		return fmt.Errorf("unknown message %q", name)
	}
	if len(fields) < minCount {
		return fmt.Errorf("%s: %d values, want %d", name, len(fields), minCount)
	}
	if err := d.dispatch(string(name), instance, fields, h); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// minFields maps the name of each message to the minimum number of its values.
var minFields = map[string]int{
	"attach": 4, "down": 2, "registry": 5, "accept": 11, "flowing": 6, "interim": 7,
	"completed": 10, "clientLeft": 3, "deadlineHit": 3, "probeDone": 6, "neighbourSays": 4,
}

// dispatch decodes the values of a message and passes it to the method of h for it. An event for an instance that is
// not running is an error; one for an instance with invalid settings is ignored.
func (d *Decoder) dispatch(name string, instance []byte, fields []*fastjson.Value, h Handler) error {
	switch name {
	case "attach":
		seed, err := readUint(fields[2], "rngSeed")
		if err != nil {
			return err
		}
		if fields[3].Type() != fastjson.TypeObject {
			return errors.New("conf is not an object")
		}
		return h.Attach(string(instance), seed, fields[3])
	case "down":
		return h.Down(string(instance))
	}
	names := h.Names(instance)
	if names == nil {
		return fmt.Errorf(`instance %q is not running; an "attach" message starts it`, instance)
	}
	if names.workers == nil {
		return nil // the settings of the instance were invalid, which has been reported
	}
	if err := d.decodeEvent(name, names, fields); err != nil {
		return err
	}
	return h.Event(names, &d.event)
}

// decodeEvent decodes a message for a running instance into d.event.
func (d *Decoder) decodeEvent(name string, names *NameTables, fields []*fastjson.Value) (err error) {
	d.event = foxlift.Event{}
	switch name {
	case "registry":
		return d.decodeEndpoints(names, fields)
	case "accept":
		return d.decodeRequest(names, fields)
	case "flowing":
		d.event.Kind, d.event.Stream = foxlift.EventStarted, true
		return d.decodeAttempt(names, fields[2], fields[3], fields[4])
	case "interim":
		return d.decodeProgress(names, fields)
	case "completed":
		return d.decodeOutcome(names, fields)
	case "clientLeft":
		d.event.Kind = foxlift.EventClientDisconnected
		d.event.ID, err = readUint(fields[2], "xid")
	case "deadlineHit":
		d.event.Kind = foxlift.EventTimer
		d.event.Token, err = readUint(fields[2], "name")
	case "probeDone":
		return d.decodeHealthCheck(names, fields)
	case "neighbourSays":
		return d.decodePeerMessage(fields)
	}
	return err
}
