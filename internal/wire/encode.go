package wire

// Encoding of the module's actions.

import (
	"encoding/base64"
	"strconv"

	"github.com/vatu-meals/foxlift"
)

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
	case foxlift.ActionShed:
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
	case foxlift.ActionHealthCheck:
		open("poll")
		str(a.Worker)
	case foxlift.ActionClose:
		open("letGo")
		str(a.Worker)
	case foxlift.ActionMessage:
		open("post")
		num(int64(a.To))
		str(base64.StdEncoding.EncodeToString(a.Data))
	case foxlift.ActionWatchEndpoints:
		open("subscribe")
		b = append(b, ",true"...)
	}
	return append(b, ']')
}

// AppendError writes the report of an instance that cannot run.
func AppendError(b []byte, instance, why string) []byte {
	b = append(b, `["internalError",`...)
	b = strconv.AppendQuote(b, instance)
	b = append(b, ',')
	b = strconv.AppendQuote(b, why)
	return append(b, ']')
}
