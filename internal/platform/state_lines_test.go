package platform

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/core"
)

// A state line that repeats a name must be rejected: encoding/json would take the last value and ignore the first.
func TestRepeatedNamesInStateLine(t *testing.T) {
	for text, valid := range map[string]bool{
		`{"id":"j","state":"done","result":"r"}`:                           true,
		`{"id":"j","state":"running","share":0.5,"x":{"id":"k","id":"l"}}`: true,
		`{"id":"j","state":"done","result":"state"}`:                       true,
		`{"id":"j","a":["state","state"],"state":"done"}`:                  true,
		`{"id":"j","state":"failed","state":"done"}`:                       false,
		`{"id":"j","state":"failed","State":"done"}`:                       false,
		`{"id":"j","st\u0061te":"failed","state":"done"}`:                  false,
		`{"id":"j","ſtate":"failed","state":"done"}`:                       false,
		`{"id":"k","id":"j","state":"done"}`:                               false,
		`{"id":"j","state":"done"`:                                         false,
	} {
		if _, err := parseStateLine([]byte(text)); (err == nil) != valid {
			t.Errorf("parseStateLine(%s) returned error %v, want valid: %v", text, err, valid)
		}
	}
}

// Each answer of a worker must result in the right outcome. An answer with an incomplete body or a line of another job
// must not count as served.
func TestWorkerAnswers(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	line := func(s string) string { return httpChunk(`{"id":"j1","from":"n","state":` + s + "}\n") }
	const end = "0\r\n\r\n"
	for name, c := range map[string]struct {
		text string
		want foxlift.Code
	}{
		"done": {ok + line(`"started"`) + line(`"running","share":0.4`) +
			line(`"done","result":"r\u0041"`) + end, foxlift.Served},
		"done after a provision": {
			"HTTP/1.1 100 Continue\r\n\r\n" + ok + line(`"done","result":"rA"`) + end,
			foxlift.Served,
		},
		"done in two chunks": {
			ok + httpChunk(`{"id":"j1","state":"do`) + httpChunk(`ne","result":"rA"}`) + end,
			foxlift.Served,
		},
		"done, a later protocol": {ok + line(`"paused"`) + line(`"done","result":"rA","new":{}`) + end, foxlift.Served},
		"failed":                 {ok + line(`"started"`) + line(`"failed"`) + end, foxlift.WorkerError},
		"lost":                   {ok + line(`"started"`) + line(`"lost"`) + end, foxlift.Reset},
		"returned":               {ok + line(`"returned"`) + end, foxlift.Saturated},
		"500":                    {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", foxlift.WorkerError},
		"503 turned away":        {"HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", foxlift.Saturated},
		"504 turned away":        {"HTTP/1.1 504 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", foxlift.Saturated},
		"503 without the word":   {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", foxlift.WorkerError},
		"500 with the word":      {"HTTP/1.1 500 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", foxlift.WorkerError},
		"400":                    {"HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n", foxlift.InvalidRequest},
		"429 is no turning away": {
			"HTTP/1.1 429 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n",
			foxlift.InvalidRequest,
		},
		"a spoilt load":           {ok + line(`"done","result":"rA","load":[1]`) + end, foxlift.Served},
		"load twice":              {ok + line(`"done","result":"rA","load":{},"load":{}`) + end, foxlift.Reset},
		"nothing":                 {"", foxlift.Reset},
		"half a head":             {"HTTP/1.1 200 OK\r\nTransfer-Enc", foxlift.Reset},
		"no HTTP":                 {"SSH-2.0-x\r\n\r\n", foxlift.Reset},
		"no last line":            {ok + line(`"started"`) + end, foxlift.Reset},
		"body breaks off at done": {ok + line(`"done","result":"rA"`), foxlift.Reset},
		"length breaks off": {"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n" +
			`{"id":"j1","state":"done","result":"rA"}` + "\n", foxlift.Reset},
		"bad chunk":     {ok + "zz\r\n", foxlift.Reset},
		"bad JSON":      {ok + httpChunk("{\"id\":\"j1\",\n") + end, foxlift.Reset},
		"another job's": {ok + httpChunk(`{"id":"j2","state":"done","result":"rA"}`) + end, foxlift.Reset},
		"two ends":      {ok + line(`"done","result":"rA"`) + line(`"failed"`) + end, foxlift.Reset},
		"too long":      {ok + line(`"done","result":"`+strings.Repeat("x", maxResponseBytes)+`"`) + end, foxlift.Reset},
	} {
		a := &attempt{
			pool: &workerPool{}, job: &core.Job{ID: "j1", Payload: &payload{method: "POST", target: "/x"}},
			report: func(core.Report) {},
		}
		r, _ := a.receiveAnswer(&workerConn{buf: readBuffer{conn: scriptedConn{text: strings.NewReader(c.text)}}})
		if r.Code != c.want || !r.Ended || c.want == foxlift.Served && string(r.Result) != "rA" {
			t.Errorf("%s: receiveAnswer() returned code %d, result %.20q; want code %d", name, r.Code, r.Result, c.want)
		}
	}
}

// httpChunk returns text as one HTTP chunk.
func httpChunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// A scriptedConn is a connection whose other side sends text and accepts all writes.
type scriptedConn struct {
	net.Conn
	text io.Reader
}

func (c scriptedConn) Read(p []byte) (int, error) { return c.text.Read(p) }

func (c scriptedConn) Write(p []byte) (int, error) { return len(p), nil }
