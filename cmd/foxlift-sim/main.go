// Command foxlift-sim runs dispatchers on the simulator's wire: batches of
// events on standard input, one line of actions for each on standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/valyala/fastjson"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/wire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "foxlift-sim:", err)
		os.Exit(1)
	}
}

// An instance is one running dispatcher; instances share nothing.
type instance struct {
	names      *wire.Names
	dispatcher *foxlift.Dispatcher
	events     []foxlift.Event
}

// A host runs the instances and gathers the reply to a batch.
type host struct {
	running     map[string]*instance
	pending     []*instance // those with events in this batch, in order of arrival
	now         int64
	reply       []byte
	emptyLength int // length of a reply without actions
}

func serve(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	w := bufio.NewWriterSize(out, 1<<20)
	h := &host{running: map[string]*instance{}}
	var dec wire.Decoder
	var long []byte
	for n := 1; ; n++ {
		line, err := r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			long = append(long[:0], line...)
			for errors.Is(err, bufio.ErrBufferFull) {
				line, err = r.ReadSlice('\n')
				long = append(long, line...)
			}
			line = long
		}
		if err == io.EOF && len(line) == 0 {
			return nil
		}
		if err != nil && err != io.EOF {
			return err
		}
		if b, err := dec.Decode(line, h.begin, h); err != nil {
			return fmt.Errorf("batch %d (line %d): %w", b.Number, n, err)
		}
		h.step()
		h.reply = append(h.reply, "]}\n"...)
		if _, err := w.Write(h.reply); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

func (h *host) begin(b wire.Batch) {
	h.now = b.Now
	h.reply = append(h.reply[:0], `{"batch":`...)
	h.reply = strconv.AppendInt(h.reply, b.Number, 10)
	h.reply = append(h.reply, `,"do":[`...)
	h.emptyLength = len(h.reply)
}

func (h *host) separate() {
	if len(h.reply) > h.emptyLength {
		h.reply = append(h.reply, ',')
	}
}

// Attach starts an instance. Settings that cannot run are reported on the wire.
func (h *host) Attach(name string, seed uint64, settings *fastjson.Value) error {
	cfg, names, err := wire.Settings(name, settings)
	var gate *foxlift.Dispatcher
	if err == nil {
		gate, err = foxlift.New(*cfg, seed)
	}
	if err != nil {
		// It is kept without a dispatcher, so that its events are swallowed.
		h.separate()
		h.reply = wire.AppendError(h.reply, name, err.Error())
		names, gate = &wire.Names{Instance: name}, nil
	}
	h.remove(name)
	inst := &instance{names: names, dispatcher: gate}
	names.Owner = inst
	h.running[name] = inst
	return nil
}

// Down ends an instance; what it had not yet answered is lost with it.
func (h *host) Down(name string) error {
	if h.running[name] == nil {
		return fmt.Errorf("instance %q does not run", name)
	}
	h.remove(name)
	return nil
}

func (h *host) remove(name string) {
	old := h.running[name]
	delete(h.running, name)
	for i, t := range h.pending {
		if t == old {
			h.pending = append(h.pending[:i], h.pending[i+1:]...)
			return
		}
	}
}

// Names finds the tables of a running instance.
func (h *host) Names(name []byte) *wire.Names {
	if inst := h.running[string(name)]; inst != nil {
		return inst.names
	}
	return nil
}

// Event keeps an event for its instance until the batch has been read.
func (h *host) Event(n *wire.Names, ev *foxlift.Event) error {
	inst := n.Owner.(*instance)
	if inst.dispatcher == nil {
		return nil
	}
	if len(inst.events) == 0 {
		h.pending = append(h.pending, inst)
	}
	if ev.Kind == foxlift.EventEndpoints {
		ev.Workers = append([]foxlift.Worker(nil), ev.Workers...)
	}
	inst.events = append(inst.events, *ev)
	return nil
}

func (h *host) step() {
	for _, inst := range h.pending {
		actions := inst.dispatcher.Step(h.now, inst.events)
		for i := range actions {
			h.separate()
			h.reply = wire.Append(h.reply, inst.names.Instance, &actions[i])
		}
		inst.events = inst.events[:0]
	}
	h.pending = h.pending[:0]
}
