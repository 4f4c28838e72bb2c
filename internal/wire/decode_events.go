package wire

import (
	"encoding/base64"
	"fmt"

	"github.com/valyala/fastjson"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/config"
)

// The bits of a request's stateBits.
const (
	stateBitSize  = 1 << iota // hint is the job's size
	stateBitRetry             // the client sends the request again
)

// Codes of outcomes and health checks: served, and the failures in the order of foxlift's codes.
const (
	codeServed       = 100
	codeFirstFailure = 301
	codeLastFailure  = 307
)

const progressKindStarted = 1

// request decodes ["accept", schedulerId, xid, deadline, cls, item, hint, slots, stateBits, tenant, mem].
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
	index, ok := n.classes[string(class)]
	if !ok {
		return fmt.Errorf("unknown class %q", class)
	}
	r.Class = index
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
	if int64(bits)&stateBitSize != 0 {
		r.Size = int64(hint)
	}
	r.ClientRetry = int64(bits)&stateBitRetry != 0
	if r.Slots, err = optionalNumber(f[7], "slots"); err != nil {
		return err
	}
	if r.Memory, err = optionalNumber(f[10], "mem"); err != nil {
		return err
	}
	r.Tenant = -1
	if f[9].Type() == fastjson.TypeString {
		if tenant, ok := n.tenants[string(f[9].GetStringBytes())]; ok {
			r.Tenant = tenant
		}
	}
	return nil
}

// affinityKey decodes the affinity key of a request; 0 if it has none.
func affinityKey(v *fastjson.Value) (uint64, error) {
	if absent(v) {
		return 0, nil
	}
	s, err := text(v, "item")
	return config.ParseAffinityKey(s), err
}

// attemptOf decodes which attempt an event is of.
func (d *Decoder) attemptOf(n *Names, xid, worker, attempt *fastjson.Value) (err error) {
	if d.event.ID, err = unsigned(xid, "xid"); err != nil {
		return err
	}
	if d.event.Worker, err = n.workerID(worker); err != nil {
		return err
	}
	number, err := integer(attempt, "go")
	d.event.Attempt = int(number)
	return err
}

// progress decodes ["interim", schedulerId, xid, share, kind, worker, go].
func (d *Decoder) progress(n *Names, f []*fastjson.Value) error {
	kind, err := integer(f[4], "kind")
	if err != nil {
		return err
	}
	d.event.Kind = foxlift.EventProgress
	if kind == progressKindStarted {
		d.event.Kind = foxlift.EventStarted
	}
	return d.attemptOf(n, f[2], f[5], f[6])
}

// outcome decodes ["completed", schedulerId, xid, worker, took, noMore, go, rc, _, feedback].
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

// healthChecked decodes ["probeDone", schedulerId, worker, rc, took, feedback].
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

// peerMessage decodes ["neighbourSays", schedulerId, src, content].
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
		return fmt.Errorf("content: %w", err)
	}
	d.event.Kind, d.event.From, d.event.Data = foxlift.EventMessage, int(from), data
	return nil
}

// loadReport decodes a worker's load report, where there is one.
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
		if d.event.Load[i], err = optionalNumber(x, "feedback"); err != nil {
			return err
		}
	}
	d.event.HasLoad = true
	return nil
}

// outcomeCode decodes the code of an outcome or a health check.
func outcomeCode(v *fastjson.Value) (foxlift.Code, error) {
	code, err := integer(v, "rc")
	if err != nil {
		return 0, err
	}
	if code == codeServed {
		return foxlift.Served, nil
	}
	if code < codeFirstFailure || code > codeLastFailure {
		return 0, fmt.Errorf("unknown rc %d", code)
	}
	return foxlift.Code(code-codeFirstFailure) + foxlift.WorkerError, nil
}
