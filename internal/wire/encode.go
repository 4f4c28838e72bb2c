package wire

import (
	"encoding/base64"
	"strconv"

	"github.com/vatu-meals/foxlift"
)

// Append appends an action of an instance in the simulator's JSON.
func Append(b []byte, instance string, a *foxlift.Action) []byte {
	begin := func(name string) {
		b = append(b, `["`...)
		b = append(b, name...)
		b = append(b, `","`...)
		b = append(b, instance...)
		b = append(b, '"')
	}
	appendInt := func(x int64) { b = strconv.AppendInt(append(b, ','), x, 10) }
	appendUint := func(x uint64) { b = strconv.AppendUint(append(b, ','), x, 10) }
	appendString := func(s string) {
		b = append(b, `,"`...)
		b = append(b, s...)
		b = append(b, '"')
	}
	switch a.Kind {
	case foxlift.ActionSend:
		begin("try")
		appendUint(a.ID)
		appendString(a.Worker)
		appendInt(a.Timeout)
	case foxlift.ActionShed:
		begin("shed")
		appendUint(a.ID)
		appendInt(a.RetryAfter)
	case foxlift.ActionFail:
		begin("finishError")
		appendUint(a.ID)
	case foxlift.ActionCancel:
		begin("recall")
		appendUint(a.ID)
		appendInt(int64(a.Attempt))
	case foxlift.ActionTimer:
		begin("notifyMe")
		appendInt(a.At)
		appendUint(a.Token)
	case foxlift.ActionHealthCheck:
		begin("poll")
		appendString(a.Worker)
	case foxlift.ActionClose:
		begin("letGo")
		appendString(a.Worker)
	case foxlift.ActionMessage:
		begin("post")
		appendInt(int64(a.To))
		appendString(base64.StdEncoding.EncodeToString(a.Data))
	case foxlift.ActionWatchEndpoints:
		begin("subscribe")
		b = append(b, ",true"...)
	}
	return append(b, ']')
}

// AppendError appends the report of an instance whose settings cannot run.
func AppendError(b []byte, instance, message string) []byte {
	b = append(b, `["internalError",`...)
	b = strconv.AppendQuote(b, instance)
	b = append(b, ',')
	b = strconv.AppendQuote(b, message)
	return append(b, ']')
}
