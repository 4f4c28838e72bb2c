// Command foxlift-sim runs dispatchers for the simulator. It reads batches of events from standard input, one a line,
// and writes one line of actions for each batch to standard output.
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

// bufferSize is the size of the reader's and the writer's buffer, in bytes. Longer lines are read in several parts.
const bufferSize = 1 << 20

// An instance is one running dispatcher. Instances share no state.
type instance struct {
	names      *wire.NameTables
	dispatcher *foxlift.Dispatcher // nil if the settings are invalid
	events     []foxlift.Event     // of the current batch
}

// A batchHandler runs the instances and builds the reply to each batch. It implements wire.Handler.
type batchHandler struct {
	instances    map[string]*instance
	pending      []*instance // instances with events in this batch, in order of arrival
	now          int64
	reply        []byte
	prefixLength int // of the reply before its first action
}

// serve reads batches from in and writes one line to out for each, until in ends. A decoding error names the batch and
// its line.
func serve(in io.Reader, out io.Writer) error {
	lines := lineReader{reader: bufio.NewReaderSize(in, bufferSize)}
	w := bufio.NewWriterSize(out, bufferSize)
	h := &batchHandler{instances: map[string]*instance{}}
	var decoder wire.Decoder
	for number := 1; ; number++ {
		line, err := lines.next()
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if batch, err := decoder.Decode(line, h.beginReply, h); err != nil {
			return fmt.Errorf("batch %d (line %d): %w", batch.Number, number, err)
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

// A lineReader reads lines of any length.
type lineReader struct {
	reader   *bufio.Reader
	longLine []byte // a line that is longer than the reader's buffer
}

// next returns the next line, which is valid until the next call. The last line may be returned together with io.EOF.
func (r *lineReader) next() ([]byte, error) {
	line, err := r.reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	r.longLine = append(r.longLine[:0], line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		line, err = r.reader.ReadSlice('\n')
		r.longLine = append(r.longLine, line...)
	}
	return r.longLine, err
}

// beginReply starts the reply to a batch.
func (h *batchHandler) beginReply(batch wire.Batch) {
	h.now = batch.Now
	h.reply = append(h.reply[:0], `{"batch":`...)
	h.reply = strconv.AppendInt(h.reply, batch.Number, 10)
	h.reply = append(h.reply, `,"do":[`...)
	h.prefixLength = len(h.reply)
}

// appendSeparator appends a comma before all actions but the first.
func (h *batchHandler) appendSeparator() {
	if len(h.reply) > h.prefixLength {
		h.reply = append(h.reply, ',')
	}
}

// Attach starts an instance, which replaces a running one of the same name. It reports invalid settings in the reply.
func (h *batchHandler) Attach(name string, seed uint64, settings *fastjson.Value) error {
	cfg, names, err := wire.ParseSettings(name, settings)
	var dispatcher *foxlift.Dispatcher
	if err == nil {
		dispatcher, err = foxlift.New(*cfg, seed)
	}
	if err != nil {
		// The instance is kept without a dispatcher, so that its events are ignored.
		h.appendSeparator()
		h.reply = wire.AppendError(h.reply, name, err.Error())
		names, dispatcher = &wire.NameTables{Instance: name}, nil
	}
	h.remove(name)
	inst := &instance{names: names, dispatcher: dispatcher}
	names.Owner = inst
	h.instances[name] = inst
	return nil
}

// Down stops an instance. Its unanswered requests are lost. It returns an error if the instance is not running.
func (h *batchHandler) Down(name string) error {
	if h.instances[name] == nil {
		return fmt.Errorf(`instance %q is not running; an "attach" message starts it`, name)
	}
	h.remove(name)
	return nil
}

// remove deletes an instance and drops its events of this batch.
func (h *batchHandler) remove(name string) {
	removed := h.instances[name]
	delete(h.instances, name)
	for i, candidate := range h.pending {
		if candidate == removed {
			h.pending = append(h.pending[:i], h.pending[i+1:]...)
			return
		}
	}
}

// Names returns the name tables of a running instance, or nil if it is not running.
func (h *batchHandler) Names(name []byte) *wire.NameTables {
	if inst := h.instances[string(name)]; inst != nil {
		return inst.names
	}
	return nil
}

// Event stores an event for its instance until the whole batch has been read. It ignores events for an instance with
// invalid settings. It copies the workers, since the decoder reuses their memory.
func (h *batchHandler) Event(n *wire.NameTables, ev *foxlift.Event) error {
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

// step passes the events of the batch to each instance and appends the resulting actions to the reply.
func (h *batchHandler) step() {
	for _, inst := range h.pending {
		actions := inst.dispatcher.Step(h.now, inst.events)
		for i := range actions {
			h.appendSeparator()
			h.reply = wire.AppendAction(h.reply, inst.names.Instance, &actions[i])
		}
		inst.events = inst.events[:0]
	}
	h.pending = h.pending[:0]
}
