package daemon

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
)

// Real sockets: each tenant's jobs run on its cell's nodes, and after a move on the
// other's; a ratify that is out at the move runs once.
func TestCellsOnSockets(t *testing.T) {
	w := startFixture(t, twoCells)
	islands, mainland := w.client("islands", "reading", "i"), w.client("central-belt", "reading", "m")
	for range 20 {
		if a, b := islands.Send(), mainland.Send(); a != 200 || b != 200 {
			t.Fatalf("answers %d, %d", a, b)
		}
	}
	if a, b := w.runsByCell(t, "islands"), w.runsByCell(t, "central-belt"); a["isles"] != 20 || b["mainland"] != 20 {
		t.Errorf("islands ran in %v, central-belt in %v", a, b)
	}
	ratify := w.client("islands", "ratify", "r")
	answer := make(chan int)
	go func() { answer <- ratify.Send() }()
	w.await(t, "the ratify runs", func() bool { return w.runsByCell(t, "islands")["isles"] == 21 })
	m, err := w.Core.MigrateTenant(t.Context(), "islands", "mainland")
	if err != nil || m.InFlight != 1 || m.Queued != 0 {
		t.Errorf("%+v, %v", m, err)
	}
	if a := islands.Send(); a != 200 {
		t.Errorf("after the move %d", a)
	}
	if a := <-answer; a != 200 {
		t.Errorf("the ratify's answer is %d", a)
	}
	if ran := w.runsByCell(t, "islands"); ran["isles"] != 21 || ran["mainland"] != 1 {
		t.Errorf("islands ran in %v", ran)
	}
}

// A reload carries a changed map out as moves; one that changes nothing of it leaves
// the operators' moves alone; a faulty one, and what a reload cannot change, change
// nothing and say why.
func TestReloadOfCells(t *testing.T) {
	w := startFixture(t, twoCells)
	if _, err := w.Core.MigrateTenant(t.Context(), "islands", "mainland"); err != nil {
		t.Fatal(err)
	}
	if err := w.Reload(); err != nil {
		t.Fatal(err)
	}
	tenants := func() string {
		states, err := w.Core.Cells(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		var s []string
		for _, c := range states {
			for _, x := range c.Tenants {
				s = append(s, x.Name+" "+c.Name)
			}
		}
		return strings.Join(s, ", ")
	}
	if got := tenants(); got != "central-belt mainland, islands mainland" {
		t.Errorf("after a reload of the same file: %s", got)
	}
	for name, text := range map[string]string{
		"cells.cell a.tenants nobody: ": `(foxlift (control (socket %q)) (cells (cell a (tenants nobody))))`,
		"control.socket: ":              `(foxlift (control (socket "/tmp/%s-other")) (cells (cell a)))`,
		"cells: ":                       `(foxlift (control (socket %q)))`,
	} {
		w.write(t, w.operator, fmt.Sprintf(text, w.socket))
		if err := w.Reload(); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if got := tenants(); got != "central-belt mainland, islands mainland" {
		t.Errorf("after faulty reloads: %s", got)
	}
	w.write(t, w.operator, fmt.Sprintf(`(foxlift (control (socket %q)) (cells (cell far (tenants islands)) (cell mainland (tenants central-belt))))`, w.socket))
	if err := w.Reload(); err != nil {
		t.Fatal(err)
	}
	if got := tenants(); got != "islands far, central-belt mainland" {
		t.Errorf("after a changed file: %s", got)
	}
	if a := w.client("islands", "reading", "i").Send(); a != 200 {
		t.Errorf("answer %d", a)
	}
}

// Hard case 6: connections of a cell past its bound end after their answer, and leave
// other cells' alone.
func TestConnectionsOfACell(t *testing.T) {
	w := startFixture(t, strings.Replace(twoCells, "(tenants islands)", "(tenants islands) (connections 3)", 1))
	ask := func(c net.Conn, id, tenant string) bool {
		c.SetDeadline(time.Now().Add(patience))
		fmt.Fprintf(c, "POST /reading HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Lane: reading\r\nX-Org: %s\r\nX-Remaining: 5000m\r\nContent-Length: 0\r\n\r\n", id, tenant)
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || r.StatusCode != 200 {
			t.Fatalf("%s: %v, %v", id, r, err)
		}
		return r.Close
	}
	closed := map[string]int{}
	for i := range 6 {
		for _, tenant := range []string{"islands", "central-belt"} {
			c, err := net.Dial("tcp", w.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if ask(c, fmt.Sprint(tenant, i), tenant) {
				closed[tenant]++
			}
		}
	}
	if closed["islands"] != 3 || closed["central-belt"] != 0 {
		t.Errorf("closed: %v", closed)
	}
}

// Hard case 9: a kill in the middle of moves: what is answered is true, and a start
// from the same files has the file's map.
func TestKillDuringMigrations(t *testing.T) {
	w := startFixture(t, twoCells)
	stop := make(chan struct{})
	s := w.client("islands", "ratify", "r")
	s.Remaining = time.Second
	done := make(chan struct{})
	go func() {
		s.Run(func() float64 { return 40 }, 3, stop)
		close(done)
	}()
	for i := range 30 {
		if _, err := w.Core.MigrateTenant(t.Context(), "islands", []string{"mainland", "isles"}[i%2]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond)
	}
	w.Kill()
	close(stop)
	<-done
	runs := map[string]int{}
	for _, n := range w.workers {
		for id, k := range n.Runs() {
			runs[id] += k
		}
	}
	for id, k := range runs {
		if k > 1 {
			t.Errorf("%s ran %d times", id, k)
		}
	}
	for id := range s.Served() {
		if runs[id] != 1 {
			t.Errorf("%s is answered as served and ran %d times", id, runs[id])
		}
	}
	again, err := Start(Options{Getenv: w.getenv, Operator: w.operator, Log: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	defer again.Kill()
	states, err := again.Core.Cells(t.Context())
	if err != nil || states[1].Name != "isles" || len(states[1].Tenants) != 1 || states[1].Tenants[0].Migrated {
		t.Errorf("after a restart: %+v, %v", states, err)
	}
}
