package wire

import (
	"encoding/base64"
	"strconv"

	"github.com/vatu-meals/foxlift"
)

// AppendAction appends an action of an instance, encoded as a JSON message of the simulator.
func AppendAction(b []byte, instance string, action *foxlift.Action) []byte {
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
	switch action.Kind {
	case foxlift.ActionSend:
		begin("try")
		appendUint(action.ID)
		appendString(action.Worker)
		appendInt(action.Timeout)
	case foxlift.ActionShed:
		begin("shed")
		appendUint(action.ID)
		appendInt(action.RetryAfter)
	case foxlift.ActionFail:
		begin("finishError")
		appendUint(action.ID)
	case foxlift.ActionCancel:
		begin("recall")
		appendUint(action.ID)
		appendInt(int64(action.Attempt))
	case foxlift.ActionTimer:
		begin("notifyMe")
		appendInt(action.At)
		appendUint(action.Token)
	case foxlift.ActionHealthCheck:
		begin("poll")
		appendString(action.Worker)
	case foxlift.ActionClose:
		begin("letGo")
		appendString(action.Worker)
	case foxlift.ActionMessage:
		begin("post")
		appendInt(int64(action.To))
		appendString(base64.StdEncoding.EncodeToString(action.Data))
	case foxlift.ActionWatchEndpoints:
		begin("subscribe")
		b = append(b, ",true"...)
	}
	return append(b, ']')
}

// AppendError appends the message that reports invalid settings of an instance.
func AppendError(b []byte, instance, message string) []byte {
	b = append(b, `["internalError",`...)
	b = strconv.AppendQuote(b, instance)
	b = append(b, ',')
	b = strconv.AppendQuote(b, message)
	return append(b, ']')
}
