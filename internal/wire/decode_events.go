package wire

// Decoding of requests, of what becomes of their attempts, and of messages from other schedulers.

import (
	"encoding/base64"
	"fmt"

	"github.com/valyala/fastjson"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/config"
)

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
	if r.Key, err = affinityKey(f[5]); err != nil {
		return err
	}
	bits, err := optionalNumber(f[8], "stateBits")
	if err != nil {
		return err
	}
	hint, err := optionalNumber(f[6], "hint")
	if err != nil {
		return err
	}
	if int64(bits)&1 != 0 {
		r.Size = int64(hint)
	}
	r.ClientRetry = int64(bits)&2 != 0
	if r.Slots, err = optionalNumber(f[7], "slots"); err != nil {
		return err
	}
	if r.Memory, err = optionalNumber(f[10], "mem"); err != nil {
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
func affinityKey(v *fastjson.Value) (uint64, error) {
	if absent(v) {
		return 0, nil
	}
	s, err := text(v, "item")
	return config.ParseKey(s), err
}

func (d *Decoder) attemptOf(n *Names, xid, worker, attempt *fastjson.Value) (err error) {
	if d.event.ID, err = unsigned(xid, "xid"); err != nil {
		return err
	}
	if d.event.Worker, err = n.workerID(worker); err != nil {
		return err
	}
	a, err := integer(attempt, "go")
	d.event.Attempt = int(a)
	return err
}

func (d *Decoder) progress(n *Names, f []*fastjson.Value) error {
	kind, err := integer(f[4], "kind")
	if err != nil {
		return err
	}
	d.event.Kind = foxlift.EventProgress
	if kind == 1 {
		d.event.Kind = foxlift.EventStarted
	}
	return d.attemptOf(n, f[2], f[5], f[6])
}

func (d *Decoder) outcome(n *Names, f []*fastjson.Value) (err error) {
	e := &d.event
	e.Kind = foxlift.EventOutcome
	if err = d.attemptOf(n, f[2], f[3], f[6]); err != nil {
		return err
	}
	if e.Took, err = integer(f[4], "took"); err != nil {
		return err
	}
	if e.Ended, err = boolean(f[5], "noMore"); err != nil {
		return err
	}
	if e.Code, err = outcomeCode(f[7]); err != nil {
		return err
	}
	return d.loadReport(f[9])
}

func (d *Decoder) healthChecked(n *Names, f []*fastjson.Value) (err error) {
	e := &d.event
	e.Kind = foxlift.EventHealthChecked
	if e.Worker, err = n.workerID(f[2]); err != nil {
		return err
	}
	if e.Code, err = outcomeCode(f[3]); err != nil {
		return err
	}
	if e.Took, err = integer(f[4], "took"); err != nil {
		return err
	}
	return d.loadReport(f[5])
}

func (d *Decoder) peerMessage(f []*fastjson.Value) error {
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

func (d *Decoder) loadReport(v *fastjson.Value) error {
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

func outcomeCode(v *fastjson.Value) (foxlift.Code, error) {
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
	return foxlift.Code(c-301) + foxlift.WorkerError, nil
}
