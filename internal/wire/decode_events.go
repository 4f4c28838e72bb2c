package wire

import (
	"encoding/base64"
	"fmt"

	"github.com/valyala/fastjson"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/saturate"
)

// The bits of stateBits in an "accept" message.
const (
	stateBitSize  = 1 << iota // hint holds the job's size
	stateBitRetry             // the request is a retry by the client
)

// The values of rc, the code of an outcome or a health check. Failures are numbered in the order of foxlift's codes.
const (
	codeServed       = 100
	codeFirstFailure = 301
	codeLastFailure  = 307
)

// progressKindStarted is the kind of an "interim" message that reports the start of a job.
const progressKindStarted = 1

// decodeRequest decodes ["accept", schedulerId, xid, deadline, cls, item, hint, slots, stateBits, tenant, mem]. An
// unknown class is an error; an unknown or absent tenant becomes -1. hint is ignored unless stateBits has stateBitSize.
func (d *Decoder) decodeRequest(names *NameTables, fields []*fastjson.Value) (err error) {
	event := &d.event
	event.Kind = foxlift.EventRequest
	request := &event.Request
	if request.ID, err = readUint(fields[2], "xid"); err != nil {
		return err
	}
	if request.Deadline, err = readInt(fields[3], "deadline"); err != nil {
		return err
	}
	class, err := readString(fields[4], "cls")
	if err != nil {
		return err
	}
	index, ok := names.classes[string(class)]
	if !ok {
		return fmt.Errorf("unknown class %q", class)
	}
	request.Class = index
	if request.Key, err = decodeAffinityKey(fields[5]); err != nil {
		return err
	}
	stateBits, err := readOptionalNumber(fields[8], "stateBits")
	if err != nil {
		return err
	}
	hint, err := readOptionalNumber(fields[6], "hint")
	if err != nil {
		return err
	}
	bits := saturate.Int64(stateBits)
	if bits&stateBitSize != 0 {
		request.Size = saturate.Int64(hint)
	}
	request.ClientRetry = bits&stateBitRetry != 0
	if request.Slots, err = readOptionalNumber(fields[7], "slots"); err != nil {
		return err
	}
	if request.Memory, err = readOptionalNumber(fields[10], "mem"); err != nil {
		return err
	}
	request.Tenant = -1
	if fields[9].Type() == fastjson.TypeString {
		if tenant, ok := names.tenants[string(fields[9].GetStringBytes())]; ok {
			request.Tenant = tenant
		}
	}
	return nil
}

// decodeAffinityKey decodes the affinity key of a request; 0 if it has none.
func decodeAffinityKey(v *fastjson.Value) (uint64, error) {
	if isAbsent(v) {
		return 0, nil
	}
	key, err := readString(v, "item")
	return config.ParseAffinityKey(key), err
}

// decodeAttempt decodes the request ID, worker and number of the attempt that an event refers to.
func (d *Decoder) decodeAttempt(names *NameTables, xid, worker, attempt *fastjson.Value) (err error) {
	if d.event.ID, err = readUint(xid, "xid"); err != nil {
		return err
	}
	if d.event.Worker, err = names.decodeWorkerID(worker); err != nil {
		return err
	}
	number, err := readInt(attempt, "go")
	d.event.Attempt = int(number)
	return err
}

// decodeProgress decodes ["interim", schedulerId, xid, share, kind, worker, go]. Any kind but progressKindStarted is a
// progress report. It ignores the share.
func (d *Decoder) decodeProgress(names *NameTables, fields []*fastjson.Value) error {
	kind, err := readInt(fields[4], "kind")
	if err != nil {
		return err
	}
	d.event.Kind = foxlift.EventProgress
	if kind == progressKindStarted {
		d.event.Kind = foxlift.EventStarted
	}
	return d.decodeAttempt(names, fields[2], fields[5], fields[6])
}

// decodeOutcome decodes ["completed", schedulerId, xid, worker, took, noMore, go, rc, _, feedback].
func (d *Decoder) decodeOutcome(names *NameTables, fields []*fastjson.Value) (err error) {
	event := &d.event
	event.Kind = foxlift.EventOutcome
	if err = d.decodeAttempt(names, fields[2], fields[3], fields[6]); err != nil {
		return err
	}
	if event.Took, err = readInt(fields[4], "took"); err != nil {
		return err
	}
	if event.Ended, err = readBool(fields[5], "noMore"); err != nil {
		return err
	}
	if event.Code, err = decodeCode(fields[7]); err != nil {
		return err
	}
	return d.decodeLoadReport(fields[9])
}

// decodeHealthCheck decodes ["probeDone", schedulerId, worker, rc, took, feedback].
func (d *Decoder) decodeHealthCheck(names *NameTables, fields []*fastjson.Value) (err error) {
	event := &d.event
	event.Kind = foxlift.EventHealthChecked
	if event.Worker, err = names.decodeWorkerID(fields[2]); err != nil {
		return err
	}
	if event.Code, err = decodeCode(fields[3]); err != nil {
		return err
	}
	if event.Took, err = readInt(fields[4], "took"); err != nil {
		return err
	}
	return d.decodeLoadReport(fields[5])
}

// decodePeerMessage decodes ["neighbourSays", schedulerId, src, content].
func (d *Decoder) decodePeerMessage(fields []*fastjson.Value) error {
	from, err := readInt(fields[2], "src")
	if err != nil {
		return err
	}
	encoded, err := readString(fields[3], "content")
	if err != nil {
		return err
	}
	data, err := base64.StdEncoding.DecodeString(string(encoded))
	if err != nil {
		return fmt.Errorf("content: %w", err)
	}
	d.event.Kind, d.event.From, d.event.Data = foxlift.EventMessage, int(from), data
	return nil
}

// decodeLoadReport decodes a worker's load report, if there is one. Values beyond foxlift.MaxGauges are ignored.
func (d *Decoder) decodeLoadReport(report *fastjson.Value) error {
	if isAbsent(report) {
		return nil
	}
	values, err := readArray(report, "feedback")
	if err != nil {
		return err
	}
	for i, value := range values {
		if i == foxlift.MaxGauges {
			break
		}
		if d.event.Load[i], err = readOptionalNumber(value, "feedback"); err != nil {
			return err
		}
	}
	d.event.HasLoad = true
	return nil
}

// decodeCode decodes the code of an outcome or a health check; an unknown one is an error.
func decodeCode(v *fastjson.Value) (foxlift.Code, error) {
	code, err := readInt(v, "rc")
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
