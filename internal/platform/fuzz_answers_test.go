package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/core"
	"github.com/vatu-meals/foxlift/internal/fuzz"
)

// checkAnswer reads data as a worker's answer and checks the result against referenceAnswer: the attempt ends exactly
// once, is served only by a complete and valid answer, and ends in the same way however the bytes are split.
func checkAnswer(t testing.TB, data []byte) {
	receive := func(parts [][]byte) (string, core.Report, int) {
		conn := &memConn{parts: parts}
		c := &workerConn{Conn: conn, buf: readBuffer{conn: conn}}
		reports := 0
		a := &attempt{pool: &workerPool{}, job: &core.Job{ID: "j"}, report: func(r core.Report) {
			if r.Ended {
				t.Fatalf("%q: an intermediate report has Ended set", data)
			}
			reports++
		}}
		r, reusable := a.receiveAnswer(c)
		if reusable && c.buf.buffered() != 0 {
			t.Fatalf("%q: the connection is reusable with %d bytes in its buffer", data, c.buf.buffered())
		}
		return fmt.Sprintf("%v %q, %d intermediate reports", r.Code, r.Result, reports), r, conn.read
	}
	got, report, read := receive(splitAt(data))
	if !report.Ended {
		t.Fatalf("%q: receiveAnswer() returned a report without Ended", data)
	}
	if read > 2*maxResponseBytes { // the last read before the limit can fill the rest of the buffer
		t.Fatalf("%d bytes are read, want at most %d", read, 2*maxResponseBytes)
	}
	if report.Code == foxlift.Served {
		id, result, ok := referenceAnswer(data)
		if !ok || id != "j" || result != string(report.Result) {
			t.Fatalf("%q: served with %q, want result %q of job %q, valid answer: %t", data, report.Result, result, id, ok)
		}
	}
	if report.Code.NeverRan() && !bytes.Contains(bytes.ToLower(data), []byte("turned-away")) &&
		!bytes.Contains(data, []byte("returned")) && !bytes.Contains(data, []byte(`\u`)) {
		t.Fatalf("%q: code %v means that the job never ran, which the answer does not prove", data, report.Code)
	}
	if other, _, _ := receive(splitAt(data, everyOffset(len(data))...)); other != got {
		t.Fatalf("%q: received at once: %s\nreceived byte by byte: %s", data, got, other)
	}
}

// referenceAnswer parses an answer with net/http and encoding/json alone. ok reports whether the answer has status 200,
// a complete body and valid lines of one job ID, of which only the last has the state "done".
func referenceAnswer(data []byte) (id, result string, ok bool) {
	br := newByteReader(data)
	resp, err := http.ReadResponse(br, nil)
	for err == nil && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
		resp.Body.Close()
		resp, err = http.ReadResponse(br, nil)
	}
	if err != nil {
		return "", "", false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", "", false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", "", false
	}
	done := false
	for _, text := range bytes.Split(body, []byte("\n")) {
		if text = bytes.TrimSpace(text); len(text) == 0 {
			continue
		}
		var line struct{ ID, State, Result string }
		keys := map[string]json.RawMessage{}
		if json.Unmarshal(text, &line) != nil || json.Unmarshal(text, &keys) != nil || done || id != "" && line.ID != id {
			return "", "", false
		}
		id, done, result = line.ID, line.State == "done", line.Result
	}
	return id, result, done
}

// answerSeeds returns the seeds of FuzzAnswer.
func answerSeeds() (seeds [][]byte) {
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	stateChunk := func(id, state string) string {
		return chunk(fmt.Sprintf(`{"id":%q,"from":"n","state":%q,"result":"r"}`+"\n", id, state))
	}
	for _, s := range []string{
		head + stateChunk("j", "started") + stateChunk("j", "running") + stateChunk("j", "done") + "0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n" + head + stateChunk("j", "done") + "0\r\n\r\n",
		head + stateChunk("j", "done"), head + stateChunk("j", "done") + stateChunk("j", "done") + "0\r\n\r\n",
		head + stateChunk("k", "done") + "0\r\n\r\n",
		head + stateChunk("j", "done") + stateChunk("j", "running") + "0\r\n\r\n",
		head + stateChunk("j", "failed") + "0\r\n\r\n",
		head + stateChunk("j", "returned") + "0\r\n\r\n",
		head + stateChunk("j", "lost") + "0\r\n\r\n", head + stateChunk("j", "later") + "0\r\n\r\n", head + "0\r\n\r\n",
		head + chunk("not JSON\n") + "0\r\n\r\n",
		head + chunk(`{"id":"j","state":"failed","state":"done","result":"r"}`+"\n") + "0\r\n\r\n",
		head + chunk(`{"id":"j","state":"done","State":"failed","result":"r"}`+"\n") + "0\r\n\r\n",
		head + chunk(`{"id":"k","id":"j","state":"done","result":"r"}`+"\n") + "0\r\n\r\n",
		head + chunk(`{"id":"j","state":"running","share":1e400}`+"\n") + stateChunk("j", "done") + "0\r\n\r\n",
		head + chunk(strings.Repeat("[", 11000)+"\n") + "0\r\n\r\n",
		head + chunk(`{"id":"j","state":"done","result":"`+strings.Repeat("x", 200<<10)+`"}`+"\n") + "0\r\n\r\n",
		head + "5;" + strings.Repeat("e", 60<<10) + "\r\nabcde\r\n0\r\n\r\n",
		"HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 504 Full\r\nX-Turned-Away: 1\r\nContent-Length: 5\r\n\r\nab", "HTTP/1.1 500 Failed\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 36\r\n\r\n" + `{"id":"j","state":"done","result":""}`,
		"HTTP/1.1 101 Switching\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + stateChunk("j", "done") + "0\r\n\r\n",
		strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 50), "garbage",
		head + stateChunk("j", "done") + "0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		seeds = append(seeds, []byte(s))
	}
	return seeds
}

func FuzzAnswer(f *testing.F) {
	for _, s := range answerSeeds() {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, data []byte) { checkAnswer(t, data) })
}

func TestFuzzAnswer(t *testing.T) { fuzz.Run(t, 2, 4000, answerSeeds(), checkAnswer) }
