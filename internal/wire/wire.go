// Package wire translates between the JSON dialect of the schedulers' bench and
// the types of package foxlift. It decides nothing.
package wire

import (
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"

	"github.com/valyala/fastjson"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/config"
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
	entries []foxlift.Worker
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
	need, ok := lengths[string(name)]
	if !ok {
		return fmt.Errorf("unknown message %q", name)
	}
	if len(f) < need {
		return fmt.Errorf("%s: %d values, want %d", name, len(f), need)
	}
	if err := d.fields(string(name), instance, f, h); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

var lengths = map[string]int{
	"attach": 4, "down": 2, "registry": 5, "accept": 11, "flowing": 6, "interim": 7,
	"completed": 10, "clientLeft": 3, "deadlineHit": 3, "probeDone": 6, "neighbourSays": 4,
}

func (d *Decoder) fields(name string, instance []byte, f []*fastjson.Value, h Handler) error {
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
		err = d.list(n, f)
	case "accept":
		err = d.request(n, f)
	case "flowing":
		d.event.Kind, d.event.Stream = foxlift.EventStarted, true
		err = d.attempt(n, f[2], f[3], f[4])
	case "interim":
		err = d.interim(n, f)
	case "completed":
		err = d.outcome(n, f)
	case "clientLeft":
		d.event.Kind = foxlift.EventClientLeft
		d.event.ID, err = unsigned(f[2], "xid")
	case "deadlineHit":
		d.event.Kind = foxlift.EventTimer
		d.event.Token, err = unsigned(f[2], "name")
	case "probeDone":
		err = d.probed(n, f)
	case "neighbourSays":
		err = d.neighbour(f)
	}
	if err != nil {
		return err
	}
	return h.Event(n, &d.event)
}

func (d *Decoder) attempt(n *Names, xid, worker, attempt *fastjson.Value) (err error) {
	if d.event.ID, err = unsigned(xid, "xid"); err != nil {
		return err
	}
	if d.event.Worker, err = n.worker(worker); err != nil {
		return err
	}
	a, err := integer(attempt, "go")
	d.event.Attempt = int(a)
	return err
}

func (d *Decoder) interim(n *Names, f []*fastjson.Value) error {
	kind, err := integer(f[4], "kind")
	if err != nil {
		return err
	}
	d.event.Kind = foxlift.EventProgress
	if kind == 1 {
		d.event.Kind = foxlift.EventStarted
	}
	return d.attempt(n, f[2], f[5], f[6])
}

func (d *Decoder) outcome(n *Names, f []*fastjson.Value) (err error) {
	e := &d.event
	e.Kind = foxlift.EventOutcome
	if err = d.attempt(n, f[2], f[3], f[6]); err != nil {
		return err
	}
	if e.Took, err = integer(f[4], "took"); err != nil {
		return err
	}
	if e.Ended, err = boolean(f[5], "noMore"); err != nil {
		return err
	}
	if e.Code, err = code(f[7]); err != nil {
		return err
	}
	return d.load(f[9])
}

func (d *Decoder) probed(n *Names, f []*fastjson.Value) (err error) {
	e := &d.event
	e.Kind = foxlift.EventProbed
	if e.Worker, err = n.worker(f[2]); err != nil {
		return err
	}
	if e.Code, err = code(f[3]); err != nil {
		return err
	}
	if e.Took, err = integer(f[4], "took"); err != nil {
		return err
	}
	return d.load(f[5])
}

func (d *Decoder) neighbour(f []*fastjson.Value) error {
	from, err := integer(f[2], "src")
	if err != nil {
		return err
	}
	s, err := text(f[3], "content")
	if err != nil {
		return err
	}
	data, err := base64.StdEncoding.DecodeString(string(s))
	if err != nil {
		return fmt.Errorf("content: %v", err)
	}
	d.event.Kind, d.event.From, d.event.Data = foxlift.EventMessage, int(from), data
	return nil
}

func (d *Decoder) load(v *fastjson.Value) error {
	if absent(v) {
		return nil
	}
	row, err := array(v, "feedback")
	if err != nil {
		return err
	}
	for i, x := range row {
		if i == foxlift.MaxGauges {
			break
		}
		if d.event.Load[i], err = number(x, "feedback"); err != nil {
			return err
		}
	}
	d.event.HasLoad = true
	return nil
}

func (d *Decoder) request(n *Names, f []*fastjson.Value) (err error) {
	e := &d.event
	e.Kind = foxlift.EventRequest
	r := &e.Request
	if r.ID, err = unsigned(f[2], "xid"); err != nil {
		return err
	}
	if r.Deadline, err = integer(f[3], "deadline"); err != nil {
		return err
	}
	class, err := text(f[4], "cls")
	if err != nil {
		return err
	}
	c, ok := n.classes[string(class)]
	if !ok {
		return fmt.Errorf("unknown class %q", class)
	}
	r.Class = c
	if r.Key, err = key(f[5]); err != nil {
		return err
	}
	bits, err := optional(f[8], "stateBits")
	if err != nil {
		return err
	}
	hint, err := optional(f[6], "hint")
	if err != nil {
		return err
	}
	if int64(bits)&1 != 0 {
		r.Size = int64(hint)
	}
	r.Repeat = int64(bits)&2 != 0
	if r.Slots, err = optional(f[7], "slots"); err != nil {
		return err
	}
	if r.Memory, err = optional(f[10], "mem"); err != nil {
		return err
	}
	r.Tenant = -1
	if f[9].Type() == fastjson.TypeString {
		if t, ok := n.tenants[string(f[9].GetStringBytes())]; ok {
			r.Tenant = t
		}
	}
	return nil
}

// key reads the subject of a request.
func key(v *fastjson.Value) (uint64, error) {
	if absent(v) {
		return 0, nil
	}
	s, err := text(v, "item")
	return config.ParseKey(s), err
}

var listKinds = map[string]foxlift.ListKind{
	"incr": foxlift.ListChanges, "total": foxlift.ListFull,
	"warm_copy": foxlift.ListSaved, "lost": foxlift.ListFailed,
}

var states = map[string]foxlift.WorkerState{
	"live": foxlift.Live, "quiescing": foxlift.Draining, "dead": foxlift.Gone,
}

func (d *Decoder) list(n *Names, f []*fastjson.Value) error {
	scope, err := text(f[2], "scope")
	if err != nil {
		return err
	}
	kind, ok := listKinds[string(scope)]
	if !ok {
		return fmt.Errorf("unknown scope %q", scope)
	}
	d.event.Kind, d.event.List = foxlift.EventList, kind
	d.entries = d.entries[:0]
	if !absent(f[4]) {
		items, err := array(f[4], "items")
		if err != nil {
			return err
		}
		for i, it := range items {
			w, err := n.entry(it)
			if err != nil {
				return fmt.Errorf("entry %d: %w", i, err)
			}
			d.entries = append(d.entries, w)
		}
	}
	d.event.Workers = d.entries
	return nil
}

func (n *Names) entry(v *fastjson.Value) (w foxlift.Worker, err error) {
	f, err := array(v, "entry")
	if err != nil {
		return w, err
	}
	if len(f) < 7 {
		return w, fmt.Errorf("%d values, want 7", len(f))
	}
	id, err := text(f[0], "worker")
	if err != nil {
		return w, err
	}
	w.ID = n.intern(id)
	w.Zone, w.Kind = n.find(n.zones, f[1]), n.find(n.kinds, f[2])
	cell, err := optional(f[3], "block")
	if err != nil {
		return w, err
	}
	w.Cell = int(cell)
	state, err := text(f[4], "stageState")
	if err != nil {
		return w, err
	}
	s, ok := states[string(state)]
	if !ok {
		return w, fmt.Errorf("unknown state %q", state)
	}
	w.State = s
	if !absent(f[6]) {
		w.Started, err = integer(f[6], "cameUp")
	}
	return w, err
}

func (n *Names) find(table map[string]int, v *fastjson.Value) int {
	if v.Type() == fastjson.TypeString {
		if i, ok := table[string(v.GetStringBytes())]; ok {
			return i
		}
	}
	return -1
}

func (n *Names) intern(id []byte) string {
	s, ok := n.workers[string(id)]
	if !ok {
		s = string(id)
		n.workers[s] = s
	}
	return s
}

func (n *Names) worker(v *fastjson.Value) (string, error) {
	s, err := text(v, "worker")
	if err != nil {
		return "", err
	}
	return n.intern(s), nil
}

func code(v *fastjson.Value) (foxlift.Code, error) {
	c, err := integer(v, "rc")
	if err != nil {
		return 0, err
	}
	if c == 100 {
		return foxlift.Served, nil
	}
	if c < 301 || c > 307 {
		return 0, fmt.Errorf("unknown rc %d", c)
	}
	return foxlift.Code(c-301) + foxlift.Erred, nil
}

// Append writes one action of an instance as JSON.
func Append(b []byte, instance string, a *foxlift.Action) []byte {
	open := func(name string) {
		b = append(b, '[', '"')
		b = append(b, name...)
		b = append(b, '"', ',', '"')
		b = append(b, instance...)
		b = append(b, '"')
	}
	num := func(x int64) { b = strconv.AppendInt(append(b, ','), x, 10) }
	id := func() { b = strconv.AppendUint(append(b, ','), a.ID, 10) }
	str := func(s string) { b = append(append(append(b, ',', '"'), s...), '"') }
	switch a.Kind {
	case foxlift.ActionSend:
		open("try")
		id()
		str(a.Worker)
		num(a.Timeout)
	case foxlift.ActionRefuse:
		open("shed")
		id()
		num(a.RetryAfter)
	case foxlift.ActionFail:
		open("finishError")
		id()
	case foxlift.ActionCancel:
		open("recall")
		id()
		num(int64(a.Attempt))
	case foxlift.ActionTimer:
		open("notifyMe")
		num(a.At)
		b = strconv.AppendUint(append(b, ','), a.Token, 10)
	case foxlift.ActionProbe:
		open("poll")
		str(a.Worker)
	case foxlift.ActionClose:
		open("letGo")
		str(a.Worker)
	case foxlift.ActionMessage:
		open("post")
		num(int64(a.To))
		str(base64.StdEncoding.EncodeToString(a.Data))
	case foxlift.ActionSubscribe:
		open("subscribe")
		b = append(b, ",true"...)
	}
	return append(b, ']')
}

// AppendFault writes the report of an instance that cannot run.
func AppendFault(b []byte, instance, why string) []byte {
	b = append(b, `["internalError",`...)
	b = strconv.AppendQuote(b, instance)
	b = append(b, ',')
	b = strconv.AppendQuote(b, why)
	return append(b, ']')
}

func absent(v *fastjson.Value) bool { return v == nil || v.Type() == fastjson.TypeNull }

func array(v *fastjson.Value, name string) ([]*fastjson.Value, error) {
	if v == nil || v.Type() != fastjson.TypeArray {
		return nil, fmt.Errorf("%s is not an array", name)
	}
	return v.GetArray(), nil
}

func text(v *fastjson.Value, name string) ([]byte, error) {
	if v == nil || v.Type() != fastjson.TypeString {
		return nil, fmt.Errorf("%s is not a string", name)
	}
	return v.GetStringBytes(), nil
}

func integer(v *fastjson.Value, name string) (int64, error) {
	if v != nil && v.Type() == fastjson.TypeNumber {
		if x, err := v.Int64(); err == nil {
			return x, nil
		}
	}
	return 0, fmt.Errorf("%s is not a whole number", name)
}

func unsigned(v *fastjson.Value, name string) (uint64, error) {
	if v != nil && v.Type() == fastjson.TypeNumber {
		if x, err := v.Uint64(); err == nil {
			return x, nil
		}
	}
	return 0, fmt.Errorf("%s is not a whole number", name)
}

func number(v *fastjson.Value, name string) (float64, error) {
	if absent(v) {
		return 0, nil
	}
	if v.Type() != fastjson.TypeNumber {
		return 0, fmt.Errorf("%s is not a number", name)
	}
	return v.Float64()
}

func optional(v *fastjson.Value, name string) (float64, error) { return number(v, name) }

func boolean(v *fastjson.Value, name string) (bool, error) {
	if v == nil || v.Type() != fastjson.TypeTrue && v.Type() != fastjson.TypeFalse {
		return false, fmt.Errorf("%s is not true or false", name)
	}
	return v.Type() == fastjson.TypeTrue, nil
}
