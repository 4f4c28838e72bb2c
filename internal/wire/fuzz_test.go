package wire

import (
	"bytes"
	"testing"

	"github.com/valyala/fastjson"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/fuzz"
)

// A collector handles messages as foxlift-sim does and counts the events.
type collector struct {
	names  map[string]*NameTables
	events int
}

func (h *collector) Attach(instance string, seed uint64, settings *fastjson.Value) error {
	cfg, names, err := ParseSettings(instance, settings)
	if err != nil {
		h.names[instance] = &NameTables{Instance: instance}
		return nil //nolint:nilerr // as in foxlift-sim, an instance with invalid settings is kept without tables
	}
	if _, err := foxlift.New(*cfg, seed); err != nil {
		names = &NameTables{Instance: instance}
	}
	h.names[instance] = names
	return nil
}

func (h *collector) Down(instance string) error              { delete(h.names, instance); return nil }
func (h *collector) Names(instance []byte) *NameTables       { return h.names[string(instance)] }
func (h *collector) Event(*NameTables, *foxlift.Event) error { h.events++; return nil }

// checkBatch checks that decoding a line does not panic, and gives the same result when it is repeated with the buffers
// of the same Decoder.
func checkBatch(t testing.TB, data []byte) {
	var dec Decoder
	decode := func() (Batch, int, string) {
		h := &collector{names: map[string]*NameTables{}}
		b, err := dec.Decode(bytes.Clone(data), func(Batch) {}, h)
		if err != nil {
			return b, h.events, err.Error()
		}
		return b, h.events, ""
	}
	b1, n1, e1 := decode()
	b2, n2, e2 := decode()
	if b1 != b2 || n1 != n2 || e1 != e2 {
		t.Fatalf("Decode(%q): batch %v, %d events, error %q; the second time %v, %d, %q", data, b1, n1, e1, b2, n2, e2)
	}
}

// batchSeeds returns valid batches with every kind of message, and invalid ones.
func batchSeeds() (seeds [][]byte) {
	const attach = `["attach","scheduler_3",7,{"grades":[{"name":"r","aim":1,"deadline":2,"effect":"idempotent"}],` +
		`"dcs":["a"],"flavors":["k"],"projects":[{"name":"t","quotaRps":1}]}]`
	for _, s := range []string{
		`{"simTime":8412250000,"batch":1,"news":[]}`,
		`{"simTime":1,"batch":2,"news":[` + attach +
			`,["registry","scheduler_3","warm_copy",41,[["10.18.74.7:8083","a","k",0,"live",1,null]]],` +
			`["accept","scheduler_3",1564119492,8652250000,"r","91f03b7c55d20a64",12000000,2,1,"t",1.5]]}`,
		`{"simTime":1,"batch":2,"news":[` + attach +
			`,["completed","scheduler_3",1,"10.18.74.7:8083",18500000,true,0,100,null,null],` +
			`["interim","scheduler_3",1,0.4,2,"w",0],["flowing","scheduler_3",1,"w",0,5],` +
			`["clientLeft","scheduler_3",1],["deadlineHit","scheduler_3",77],["probeDone","scheduler_3","w",100,5,null],` +
			`["neighbourSays","scheduler_3",1,"aGkgNw=="],["down","scheduler_3"]]}`,
		`{"simTime":-1,"batch":1e400,"news":{}}`, `[`, `{"simTime":1,"batch":2,"news":[["accept","nobody"]]}`,
	} {
		seeds = append(seeds, []byte(s))
	}
	return seeds
}

func FuzzBatch(f *testing.F) {
	for _, s := range batchSeeds() {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, data []byte) { checkBatch(t, data) })
}

func TestFuzzBatch(t *testing.T) { fuzz.Run(t, 21, 20000, batchSeeds(), checkBatch) }
