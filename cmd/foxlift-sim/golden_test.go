package main

import (
	"strings"
	"testing"

	"github.com/vatu-meals/foxlift/internal/golden"
)

// sessionSettings are the settings of one of two schedulers that may use all kinds of actions.
const sessionSettings = `{"balancers":2,"slotNo":0,"dcs":["a","b"],"zone":"a","flavors":["big","small"],` +
	`"discovery":"subscribe",` +
	`"grades":[{"name":"read","aim":75000000,"deadline":5000000000,"effect":"idempotent","gain":1.0},` +
	`{"name":"pay","aim":75000000,"deadline":5000000000,"effect":"at_most_once","gain":1.0},` +
	`{"name":"seal","aim":75000000,"deadline":5000000000,"effect":"deduplicated","dedupScope":"cell",` +
	`"keyTtl":2000000000}],` +
	`"familyInfo":{"classKind":[-1,1,-1],"tellsStart":true,"reportX0":"free slots"},` +
	`"bounds":{"cancel":true,"probes":true,"peerMessages":true,"retryAfter":true,"maxRetryAfter":1000000000,` +
	`"maxAttempts":3,"secondCopies":true},` +
	`"obligations":{"warmAfter":20000000000,"startCapacity":0.2,"fall":2000000000,"mustAskIn":4000000000},` +
	`"projects":[{"name":"t1","quotaRps":10}],"report":{"names":["backlog","x0"]}}`

// session holds batches with each kind of message that the simulator sends.
var session = []string{
	`{"simTime":9000000000,"batch":1,"news":[["attach","s_0",7,` + sessionSettings + `],` +
		`["attach","s_1",8,` + strings.Replace(sessionSettings, `"slotNo":0`, `"slotNo":1`, 1) + `],` +
		`["attach","s_2",9,{"grades":[]}],` +
		`["registry","s_0","warm_copy",1,[["w:1","a","big",0,"live",1,null],["w:2","b","small",1,"live",1,1000000000],` +
		`["w:3","a","small",1,"live",1,null]]]]}`,
	`{"simTime":9001000000,"batch":2,"news":[` +
		`["accept","s_0",77,14000000000,"read","91f03b7c55d20a64",3000000,1,1,"t1",0.5],` +
		`["accept","s_0",78,14000000000,"pay",null,null,1,2,"t1",0.5],` +
		`["accept","s_0",79,9001500000,"pay",null,null,1,0,null,0]]}`,
	`{"simTime":9002000000,"batch":3,"news":[["interim","s_0",77,0.5,1,"w:1",0],["interim","s_0",78,null,1,"w:3",0],` +
		`["flowing","s_0",78,"w:3",0,null]]}`,
	`{"simTime":9030000000,"batch":4,"news":[["completed","s_0",77,"w:1",28000000,true,0,100,null,[0,3]],` +
		`["completed","s_0",78,"w:3",28000000,false,0,301,null,[1,0.4]]]}`,
	`{"simTime":9040000000,"batch":5,"news":[["accept","s_0",80,9300000000,"seal","k",null,1,0,"t1",0]]}`,
	`{"simTime":9041000000,"batch":6,"news":[["completed","s_0",80,"w:1",1000000,false,0,305,null,null],` +
		`["completed","s_0",80,"w:3",1000000,false,0,305,null,null]]}`,
	`{"simTime":9050000000,"batch":7,"news":[["accept","s_0",81,14000000000,"read",null,null,2,0,"t1",0],` +
		`["clientLeft","s_0",81],["deadlineHit","s_0",1],["probeDone","s_0","w:1",304,1400000,null],` +
		`["neighbourSays","s_0",1,"aGkgNw=="]]}`,
	`{"simTime":9060000000,"batch":8,"news":[["registry","s_0","incr",2,[["w:1","a","big",0,"quiescing",1,null]]],` +
		`["registry","s_0","lost",2,null],["deadlineHit","s_1",1]]}`,
	`{"simTime":10100000000,"batch":9,"news":[["deadlineHit","s_0",1],["registry","s_1","total",3,[]]]}`,
	`{"simTime":10400000000,"batch":10,"news":[["deadlineHit","s_0",1],["down","s_1"]]}`,
}

// TestSession checks the bytes of the replies to a session against a golden file.
func TestSession(t *testing.T) {
	golden.Check(t, "session.txt", []byte(runBatches(t, strings.Join(session, "\n")+"\n")))
}
