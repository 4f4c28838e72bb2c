package main

import (
	"bytes"
	"strings"
	"testing"
)

const settings = `{"balancers":1,"slotNo":0,"dcs":["a","b"],"zone":"a","flavors":["big","small"],` +
	`"discovery":"automatic","surprise":[1,{"x":null}],` +
	`"grades":[{"name":"read","aim":75000000,"deadline":5000000000,"effect":"idempotent","gain":1.0},` +
	`{"name":"pay","aim":75000000,"deadline":5000000000,"effect":"at_most_once","gain":1.0}],` +
	`"familyInfo":{"classKind":[-1,1],"classStretch":[2.5,2.0],"tellsStart":true,"reportX0":"free slots"},` +
	`"bounds":{"cancel":true,"maxAttempts":4,"secondCopies":true},` +
	`"obligations":{"warmAfter":20000000000,"startCapacity":0.2,"fall":2000000000},` +
	`"projects":[{"name":"t1","quotaRps":10}],"report":{"names":["throughput","x0"]}}`

const attach = `["attach","scheduler_0",7,` + settings + `],` +
	`["registry","scheduler_0","warm_copy",1,[["10.0.0.1:1","a","big",0,"live",1,null],` +
	`["10.0.0.2:1","b","small",1,"live",1,null]]]`

// batch returns the line of a batch with the messages in news.
func batch(n string, messages string) string {
	return `{"simTime":9000000000,"batch":` + n + `,"news":[` + messages + "]}\n"
}

// runBatches returns the output for the given input lines.
func runBatches(t *testing.T, in string) string {
	t.Helper()
	var out bytes.Buffer
	if err := serve(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// A batch without messages must be answered without actions.
func TestEmptyBatch(t *testing.T) {
	if got := runBatches(t, batch("1", "")); got != "{\"batch\":1,\"do\":[]}\n" {
		t.Errorf("reply is %q, want one without actions", got)
	}
}

// A job of a class that requires a kind of worker must be sent to a worker of that kind.
func TestSendUsesRequiredWorkerKind(t *testing.T) {
	got := runBatches(t, batch("1", attach)+batch("2",
		`["accept","scheduler_0",77,14000000000,"pay","91f03b7c55d20a64",null,1,0,"t1",0.5]`))
	if !strings.Contains(got, `["try","scheduler_0",77,"10.0.0.2:1",0]`) {
		t.Errorf("reply is %q, want a send of job 77 to worker 10.0.0.2:1", got)
	}
}

// An at-most-once job whose attempt failed after its start must be answered as failed: a retry could run it twice.
func TestFailedAtMostOnceJobIsNotRetried(t *testing.T) {
	got := runBatches(t, batch("1", attach)+batch("2",
		`["accept","scheduler_0",77,14000000000,"pay",null,null,1,0,"t1",0.5]`)+batch("3",
		`["interim","scheduler_0",77,null,1,"10.0.0.2:1",0],`+
			`["completed","scheduler_0",77,"10.0.0.2:1",18500000,false,0,301,null,[140,0.4]]`))
	if !strings.Contains(got, `["finishError","scheduler_0",77]`) {
		t.Errorf("reply is %q, want job 77 answered as failed", got)
	}
}

// An instance that is stopped and started in one batch must lose its requests, and the new instance must start.
func TestDownAndAttachInOneBatch(t *testing.T) {
	got := runBatches(t, batch("1", attach)+batch("2",
		`["accept","scheduler_0",5,14000000000,"read",null,null,1,0,"t1",0.5],["down","scheduler_0"],`+attach))
	if strings.Contains(got, `"try"`) {
		t.Errorf("reply is %q, want no send of a request of the stopped instance", got)
	}
	if strings.Count(got, `"notifyMe","scheduler_0"`) != 2 {
		t.Errorf("reply is %q, want a timer of each of the two instances", got)
	}
}

// Invalid settings must be reported in the reply and must not end the process.
func TestInvalidSettingsAreReported(t *testing.T) {
	invalid := strings.Replace(attach, `"effect":"idempotent"`, `"effect":"sometimes"`, 1)
	got := runBatches(t, batch("1", invalid)+batch("2", ""))
	if !strings.Contains(got, `["internalError","scheduler_0","grades[0]: unknown effect`) {
		t.Errorf("reply is %q, want an internalError that names grades[0]", got)
	}
}

// The error for an invalid batch must be one line that names the input line and the cause.
func TestMalformedBatchErrors(t *testing.T) {
	for bad, want := range map[string]string{
		"{":                                  "not JSON",
		"[]\n":                               "not an object",
		batch("2", `["wave","scheduler_0"]`): "unknown message",
		batch("2", `["deadlineHit","scheduler_9",1]`):                                                  "is not running",
		batch("2", `["deadlineHit","scheduler_0"]`):                                                    "values",
		batch("2", `["deadlineHit","scheduler_0","x"]`):                                                "whole number",
		batch("2", `["accept","scheduler_0",5,14000000000,"nap",null,null,1,0,"t1",0.5]`):              "unknown class",
		batch("2", `["completed","scheduler_0",5,"10.0.0.2:1",1,false,0,299,null,null]`):               "unknown rc",
		batch("2", `["registry","scheduler_0","incr",2,[["10.0.0.1:1","a","big",0,"asleep",1,null]]]`): "unknown state",
		batch("2", `["down","scheduler_4"]`):                                                           "is not running",
	} {
		err := serve(strings.NewReader(batch("1", attach)+bad), &bytes.Buffer{})
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "line 2") {
			t.Errorf("serve(%s) returned error %v, want one that names line 2 and contains %q", bad, err, want)
		}
		if err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("serve() returned error %q, want one line", err)
		}
	}
}

// A line longer than bufferSize must be read completely. Its 30,000 messages repeat 10 request IDs, and a repeated
// request must not be sent again.
func TestVeryLongBatch(t *testing.T) {
	var b strings.Builder
	for i := range 30000 {
		b.WriteString(`,["accept","scheduler_0",`)
		b.WriteString(strings.Repeat("1", 1))
		b.WriteString(string(rune('0'+i%10)) + `0,14000000000,"read",null,null,1,0,"t1",0.5]`)
	}
	got := runBatches(t, batch("1", attach+b.String()))
	if n := strings.Count(got, `"try"`); n < 1 || n > 10 {
		t.Errorf("reply has %d sends, want 1 to 10 for 10 requests that are repeated many times", n)
	}
}
