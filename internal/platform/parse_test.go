package platform

import (
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/core"
)

func TestParseRemaining(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"480m": 480 * time.Millisecond, "480000u": 480 * time.Millisecond, "0m": 0, "1.5m": 1500 * time.Microsecond,
		"99999999999999999999m": math.MaxInt64 / 2, "1" + strings.Repeat("0", 400) + "u": math.MaxInt64 / 2,
		"": -1, "m": -1, "480": -1, "480s": -1, "-1m": -1, "NaNm": -1, "1e3m": -1, "1.2.3m": -1, " 5m": -1, ".m": -1,
	} {
		got, err := parseRemaining(text)
		if (err != nil) != (want < 0) || err == nil && got != want {
			t.Errorf("%q: %v, %v; want %v", text, got, err, want)
		}
	}
}

func TestParseLabels(t *testing.T) {
	for text, want := range map[string][2]float64{
		"": {}, "slots=2,memory=0.5": {2, 0.5}, " memory=1 , novel=x": {0, 1},
		"slots": {-1}, "slots=-1": {-1}, "memory=NaN": {-1}, "slots=Inf": {-1},
	} {
		slots, memory, err := parseLabels(text)
		if (err != nil) != (want[0] < 0) || err == nil && (slots != want[0] || memory != want[1]) {
			t.Errorf("%q: %v, %v, %v; want %v", text, slots, memory, err, want)
		}
	}
}

func TestParseEndpoints(t *testing.T) {
	const good = `{"host":"h","dial":"1.2.3.4:5","site":"a","class":"k","block":3,"health":"leaving","share":1.0,"born_ms":7}`
	for text, ok := range map[string]bool{
		`{"seq":4,"whole":true,"hosts":[` + good + `]}`:                               true,
		`{"seq":4,"whole":false,"hosts":[]}`:                                          true,
		`{"seq":4,"hosts":[{"host":"h","health":"left"}]}`:                            true,
		`{"seq":4,"whole":true,"hosts":[` + good:                                      false,
		`{"whole":true,"hosts":[]}`:                                                   false,
		`{"seq":4,"hosts":[{"host":"","dial":"1.2.3.4:5","health":"active"}]}`:        false,
		`{"seq":4,"hosts":[{"host":"h","dial":"1.2.3.4","health":"active"}]}`:         false,
		`{"seq":4,"hosts":[{"host":"h","dial":"1.2.3.4:5","health":"well"}]}`:         false,
		`{"seq":"4","hosts":[]}`:                                                      false,
		`{"seq":4,"hosts":[{"host":"h","dial":"1.2.3.4:5","health":"active"}]} extra`: false,
	} {
		if _, err := parseEndpoints([]byte(text)); (err == nil) != ok {
			t.Errorf("%s: %v", text, err)
		}
	}
}

func TestParseLoad(t *testing.T) {
	names := []string{"backlog", "x0"}
	for text, good := range map[string]bool{
		"x0=2.5, backlog=4,novel=1\n": true, "x0=2.5,backlog=4,novel=NaN,novel=2": true,
		"": false, "backlog=4": false, "backlog=4,x0=much": false, "backlog=4,x0=2.5,x0=2.5": false,
		"backlog=NaN,x0=2.5": false, "backlog=-1,x0=2.5": false, "backlog=4,x0=1e10": false, "backlog=Inf,x0=1": false,
		`{"x0":2.5,"backlog":4,"novel":{"a":[1]},"novel":-1}`: true,
		`{"x0":2.5,"backlog":4,"x0":2.5}`:                     false, `{"x0":2.5}`: false, `{"x0":"2.5","backlog":4}`: false,
		`{"x0":-2.5,"backlog":4}`: false, `{"x0":1e300,"backlog":4}`: false, `{"x0":null,"backlog":4}`: false,
		`{"x0":2.5,"backlog":4`: false, `{"x0":2.5,"backlog":4}1`: false, `[2.5,4]`: false,
	} {
		parse := parseLoad
		if text != "" && text[0] != 'x' && text[0] != 'b' {
			parse = func(s string, names []string) (loadGauges, error) { return parseLoadObject([]byte(s), names) }
		}
		l, err := parse(text, names)
		if (err == nil) != good || good && (l[0] != 4 || l[1] != 2.5) {
			t.Errorf("%q: %v, %v", text, l, err)
		}
	}
}

// What a node answers, and what that proves. A body that breaks off, or says what
// does not belong to this job, serves nothing.
func TestWorkerAnswers(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	line := func(s string) string { return say1(`{"id":"j1","from":"n","state":` + s + "}\n") }
	const end = "0\r\n\r\n"
	for name, c := range map[string]struct {
		text string
		want foxlift.Code
	}{
		"done":                    {ok + line(`"started"`) + line(`"running","share":0.4`) + line(`"done","result":"r\u0041"`) + end, foxlift.Served},
		"done after a provision":  {"HTTP/1.1 100 Continue\r\n\r\n" + ok + line(`"done","result":"rA"`) + end, foxlift.Served},
		"done in two chunks":      {ok + say1(`{"id":"j1","state":"do`) + say1(`ne","result":"rA"}`) + end, foxlift.Served},
		"done, a later protocol":  {ok + line(`"paused"`) + line(`"done","result":"rA","new":{}`) + end, foxlift.Served},
		"failed":                  {ok + line(`"started"`) + line(`"failed"`) + end, foxlift.WorkerError},
		"lost":                    {ok + line(`"started"`) + line(`"lost"`) + end, foxlift.Reset},
		"returned":                {ok + line(`"returned"`) + end, foxlift.Saturated},
		"500":                     {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", foxlift.WorkerError},
		"503 turned away":         {"HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", foxlift.Saturated},
		"504 turned away":         {"HTTP/1.1 504 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", foxlift.Saturated},
		"503 without the word":    {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", foxlift.WorkerError},
		"500 with the word":       {"HTTP/1.1 500 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", foxlift.WorkerError},
		"400":                     {"HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n", foxlift.InvalidRequest},
		"429 is no turning away":  {"HTTP/1.1 429 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", foxlift.InvalidRequest},
		"a spoilt load":           {ok + line(`"done","result":"rA","load":[1]`) + end, foxlift.Served},
		"load twice":              {ok + line(`"done","result":"rA","load":{},"load":{}`) + end, foxlift.Reset},
		"nothing":                 {"", foxlift.Reset},
		"half a head":             {"HTTP/1.1 200 OK\r\nTransfer-Enc", foxlift.Reset},
		"no HTTP":                 {"SSH-2.0-x\r\n\r\n", foxlift.Reset},
		"no last line":            {ok + line(`"started"`) + end, foxlift.Reset},
		"body breaks off at done": {ok + line(`"done","result":"rA"`), foxlift.Reset},
		"length breaks off":       {"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n" + `{"id":"j1","state":"done","result":"rA"}` + "\n", foxlift.Reset},
		"bad chunk":               {ok + "zz\r\n", foxlift.Reset},
		"bad JSON":                {ok + say1("{\"id\":\"j1\",\n") + end, foxlift.Reset},
		"another job's":           {ok + say1(`{"id":"j2","state":"done","result":"rA"}`) + end, foxlift.Reset},
		"two ends":                {ok + line(`"done","result":"rA"`) + line(`"failed"`) + end, foxlift.Reset},
		"too long":                {ok + line(`"done","result":"`+strings.Repeat("x", maxResponse)+`"`) + end, foxlift.Reset},
	} {
		a := &attempt{pool: &workerPool{}, job: &core.Job{ID: "j1", Payload: &payload{method: "POST", target: "/x"}}, report: func(core.Report) {}}
		r, _ := a.receiveAnswer(&workerConn{buf: buffer{conn: scripted{text: strings.NewReader(c.text)}}})
		if r.Code != c.want || !r.Ended || c.want == foxlift.Served && string(r.Result) != "rA" {
			t.Errorf("%s: code %d, result %.20q; want code %d", name, r.Code, r.Result, c.want)
		}
	}
}

func say1(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// scripted is a connection whose other side says text and takes everything.
type scripted struct {
	net.Conn
	text io.Reader
}

func (c scripted) Read(p []byte) (int, error)  { return c.text.Read(p) }
func (c scripted) Write(p []byte) (int, error) { return len(p), nil }

func TestParseJob(t *testing.T) {
	good := func() *http.Request {
		r, _ := http.NewRequest("POST", "/reading?user=00000000000000ff", nil)
		r.RequestURI = "/reading?user=00000000000000ff"
		r.Header = http.Header{headerID: {"j1"}, headerClass: {"reading"}, headerTenant: {"islands"},
			headerRemaining: {"480m"}, headerRepeat: {"1"}, headerLabels: {"slots=2,memory=3"}}
		return r
	}
	j, bad := parseJob(good(), []byte("b"))
	if bad != nil || j.ID != "j1" || j.Key != 255 || j.Slots != 2 || j.Memory != 3 || !j.ClientRetry ||
		j.Remaining != 480*time.Millisecond || j.Tenant != "islands" {
		t.Errorf("%+v, %v", j, bad)
	}
	for name, c := range map[string]struct {
		spoil   func(h http.Header)
		counter string
	}{
		"no id":         {func(h http.Header) { h.Del(headerID) }, "bad.id"},
		"empty id":      {func(h http.Header) { h[headerID] = []string{""} }, "bad.id"},
		"two ids":       {func(h http.Header) { h.Add(headerID, "j2") }, "bad.id"},
		"no class":      {func(h http.Header) { h.Del(headerClass) }, "bad.class"},
		"other class":   {func(h http.Header) { h.Set(headerClass, "ratify") }, "bad.class"},
		"no remaining":  {func(h http.Header) { h.Del(headerRemaining) }, "bad.remaining"},
		"bad remaining": {func(h http.Header) { h.Set(headerRemaining, "5s") }, "bad.remaining"},
		"empty key":     {func(h http.Header) { h[headerKey] = []string{""} }, "bad.key"},
		"two keys":      {func(h http.Header) { h[headerKey] = []string{"a", "a"} }, "bad.key"},
		"long key":      {func(h http.Header) { h.Set(headerKey, strings.Repeat("k", maxKey+1)) }, "bad.key"},
		"key in words":  {func(h http.Header) { h.Set(headerKey, "a b") }, "bad.key"},
		"bad labels":    {func(h http.Header) { h.Set(headerLabels, "slots=many") }, "bad.labels"},
	} {
		r := good()
		c.spoil(r.Header)
		if _, bad := parseJob(r, nil); bad == nil || bad.counter != c.counter || bad.status != http.StatusBadRequest {
			t.Errorf("%s: %+v", name, bad)
		}
	}
}
