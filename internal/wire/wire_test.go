package wire

import (
	"testing"

	"github.com/valyala/fastjson"

	"github.com/vatu-meals/foxlift"
)

// A recorder is a Handler of one instance that records the decoded events.
type recorder struct {
	names  *NameTables
	events []foxlift.Event
}

func (r *recorder) Attach(instance string, _ uint64, v *fastjson.Value) (err error) {
	_, r.names, err = ParseSettings(instance, v)
	return err
}
func (r *recorder) Down(string) error        { return nil }
func (r *recorder) Names([]byte) *NameTables { return r.names }
func (r *recorder) Event(_ *NameTables, e *foxlift.Event) error {
	r.events = append(r.events, *e)
	return nil
}

// decode decodes a batch for an instance that was attached before, and returns its events.
func decode(t *testing.T, line string) []foxlift.Event {
	t.Helper()
	var d Decoder
	r := &recorder{}
	start := `{"simTime":1,"batch":1,"news":[["attach","scheduler_3",1,{"grades":[{"name":"menu-read",` +
		`"effect":"deduplicated","dedupScope":"cell","keyTtl":9}],"dcs":["suva","nadi"],"flavors":["fast-six"],` +
		`"projects":[{"name":"walu-bay-works","quotaRps":61.5}]}]]}`
	for _, l := range []string{start, line} {
		if _, err := d.Decode([]byte(l), func(Batch) {}, r); err != nil {
			t.Fatal(err)
		}
	}
	return r.events
}

// The documented example messages must be decoded to the right events.
func TestDecodeDocumentedExamples(t *testing.T) {
	ev := decode(t, `{"simTime":8412250000,"batch":12,"news":[`+
		`["accept","scheduler_3",1564119492,8652250000,"menu-read","91f03b7c55d20a64",12000000,2,1,"walu-bay-works",1.5],`+
		`["deadlineHit","scheduler_3",77],["clientLeft","scheduler_3",242166553],`+
		`["completed","scheduler_3",1564119492,"10.18.74.7:8083",18500000,true,0,100,null,[140,0.62,0.4,1.25]],`+
		`["registry","scheduler_3","warm_copy",41,[["10.144.17.242:8124","nadi","fast-six",3,"quiescing",1.5,6100000000]]],`+
		`["probeDone","scheduler_3","10.144.17.242:8124",304,1400000,null],`+
		`["neighbourSays","scheduler_3",2,"aGkgNw=="],["interim","scheduler_3",9,0.5,1,"10.18.74.7:8083",1]]}`)
	r := ev[0].Request
	if r.ID != 1564119492 || r.Deadline != 8652250000 || r.Class != 0 || r.Key != 0x91f03b7c55d20a64 ||
		r.Size != 12000000 || r.Slots != 2 || r.Tenant != 0 || r.Memory != 1.5 || r.ClientRetry {
		t.Errorf("decoded request is %+v, want the values of the accept message", r)
	}
	if ev[1].Token != 77 || ev[2].ID != 242166553 || ev[2].Kind != foxlift.EventClientDisconnected {
		t.Errorf("decoded events are %+v and %+v, want timer 77 and the disconnect of client 242166553", ev[1], ev[2])
	}
	if o := ev[3]; o.Code != foxlift.Served || !o.Ended || o.Took != 18500000 || o.Load[3] != 1.25 || !o.HasLoad {
		t.Errorf("decoded outcome is %+v, want the values of the completed message", o)
	}
	w := ev[4].Workers[0]
	if w.Zone != 1 || w.Kind != 0 || w.Cell != 3 || w.State != foxlift.Draining || w.StartedAt != 6100000000 {
		t.Errorf("decoded worker is %+v, want the values of the registry message", w)
	}
	if p := ev[5]; p.Code != foxlift.Unreachable || p.HasLoad || p.Kind != foxlift.EventHealthChecked {
		t.Errorf("decoded health check is %+v, want an unreachable worker without a load report", p)
	}
	if m := ev[6]; m.From != 2 || string(m.Data) != "hi 7" {
		t.Errorf("decoded peer message is %+v, want \"hi 7\" from peer 2", m)
	}
	if n := ev[7]; n.Kind != foxlift.EventStarted || n.Attempt != 1 || n.ID != 9 {
		t.Errorf("decoded event is %+v, want the start of attempt 1 of request 9", n)
	}
}

// Each rc value must be decoded to its outcome.
func TestDecodeOutcomeCodes(t *testing.T) {
	want := map[string]foxlift.Code{
		"100": foxlift.Served, "301": foxlift.WorkerError, "302": foxlift.Saturated, "303": foxlift.DeadlineExceeded,
		"304": foxlift.Unreachable, "305": foxlift.Reset, "306": foxlift.Cancelled, "307": foxlift.NotSent,
	}
	for s, c := range want {
		ev := decode(t, `{"simTime":2,"batch":2,"news":[["completed","scheduler_3",1,"w:1",1,false,0,`+s+`,null,null]]}`)
		if ev[0].Code != c {
			t.Errorf("rc %s decoded as %d, want %d", s, ev[0].Code, c)
		}
	}
}

// Each kind of action must be encoded as its message.
func TestAppendAction(t *testing.T) {
	for want, a := range map[string]foxlift.Action{
		`["try","scheduler_3",5,"10.18.74.7:8083",80000000]`: {
			Kind: foxlift.ActionSend, ID: 5,
			Worker: "10.18.74.7:8083", Timeout: 80000000,
		},
		`["shed","scheduler_3",5,250000000]`:   {Kind: foxlift.ActionShed, ID: 5, RetryAfter: 250000000},
		`["finishError","scheduler_3",5]`:      {Kind: foxlift.ActionFail, ID: 5},
		`["recall","scheduler_3",5,1]`:         {Kind: foxlift.ActionCancel, ID: 5, Attempt: 1},
		`["notifyMe","scheduler_3",8912,77]`:   {Kind: foxlift.ActionTimer, At: 8912, Token: 77},
		`["poll","scheduler_3","w:1"]`:         {Kind: foxlift.ActionHealthCheck, Worker: "w:1"},
		`["letGo","scheduler_3","w:1"]`:        {Kind: foxlift.ActionClose, Worker: "w:1"},
		`["post","scheduler_3",-1,"aGkgNw=="]`: {Kind: foxlift.ActionMessage, To: -1, Data: []byte("hi 7")},
		`["subscribe","scheduler_3",true]`:     {Kind: foxlift.ActionWatchEndpoints},
	} {
		if got := string(AppendAction(nil, "scheduler_3", &a)); got != want {
			t.Errorf("AppendAction() = %s, want %s", got, want)
		}
	}
}

// Settings of the simulator must result in the right dispatcher configuration.
func TestParseSettings(t *testing.T) {
	v := fastjson.MustParse(`{"balancers":3,"slotNo":2,"discovery":"subscribe","zone":"nadi","dcs":["suva","nadi"],` +
		`"grades":[{"name":"x","aim":5,"deadline":9,"effect":"at_most_once"}],` +
		`"familyInfo":{"classKind":[0],"classStretch":[1.75],"reportX0":"free slots","reportX1":"free memory"},` +
		`"report":{"names":["utilization","x0","x1","novel"]},"obligations":{"mustAskIn":10}}`)
	c, _, err := ParseSettings("scheduler_2", v)
	if err != nil {
		t.Fatal(err)
	}
	if c.Dispatchers != 3 || c.Index != 2 || !c.PollEndpoints || c.Zone != 1 || c.MaxPollInterval != 10 {
		t.Errorf("ParseSettings() = %+v, want 3 dispatchers, index 2, polling at most every 10 ns and zone 1", c)
	}
	want := foxlift.Class{
		Name: "x", LatencyObjective: 5, ObjectiveStretch: 1.75, Deadline: 9, Effect: foxlift.AtMostOnce,
	}
	if c.Classes[0] != want {
		t.Errorf("class %+v, want %+v", c.Classes[0], want)
	}
	g := []foxlift.Gauge{foxlift.GaugeBusy, foxlift.GaugeFreeSlots, foxlift.GaugeFreeMemory, 0}
	for i := range g {
		if c.Gauges[i] != g[i] {
			t.Errorf("gauge %d is %d, want %d", i, c.Gauges[i], g[i])
		}
	}
}
