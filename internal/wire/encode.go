package wire

import (
	"encoding/base64"
	"strconv"

	"github.com/vatu-meals/foxlift"
)

// AppendAction appends an action of an instance, encoded as a JSON message of the simulator. It writes the instance and
// worker IDs without escaping.
func AppendAction(buf []byte, instance string, action *foxlift.Action) []byte {
	begin := func(name string) {
		buf = append(buf, `["`...)
		buf = append(buf, name...)
		buf = append(buf, `","`...)
		buf = append(buf, instance...)
		buf = append(buf, '"')
	}
	appendInt := func(x int64) { buf = strconv.AppendInt(append(buf, ','), x, 10) }
	appendUint := func(x uint64) { buf = strconv.AppendUint(append(buf, ','), x, 10) }
	appendString := func(s string) {
		buf = append(buf, `,"`...)
		buf = append(buf, s...)
		buf = append(buf, '"')
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
		buf = append(buf, ",true"...)
	}
	return append(buf, ']')
}

// AppendError appends the message that reports invalid settings of an instance.
func AppendError(buf []byte, instance, message string) []byte {
	buf = append(buf, `["internalError",`...)
	buf = strconv.AppendQuote(buf, instance)
	buf = append(buf, ',')
	buf = strconv.AppendQuote(buf, message)
	return append(buf, ']')
}
