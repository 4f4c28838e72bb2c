package daemon

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Real sockets: each tenant's jobs run on its cell's workers, and after a migration on the other's; a
// ratify that is in flight at the migration runs once.
func TestCellsOnSockets(t *testing.T) {
	f := startFixture(t, twoCells)
	islands, mainland := f.client("islands", "reading", "i"), f.client("central-belt", "reading", "m")
	for range 20 {
		a, b := islands.Send(), mainland.Send()
		if a != http.StatusOK || b != http.StatusOK {
			t.Fatalf("answers %d, %d", a, b)
		}
	}
	if a, b := f.runsByCell(t, "islands"), f.runsByCell(t, "central-belt"); a["isles"] != 20 || b["mainland"] != 20 {
		t.Errorf("islands ran in %v, central-belt in %v", a, b)
	}
	ratify := f.client("islands", "ratify", "r")
	answer := make(chan int)
	go func() { answer <- ratify.Send() }()
	f.await(t, "the ratify runs", func() bool { return f.runsByCell(t, "islands")["isles"] == 21 })
	m, err := f.Core.MigrateTenant(t.Context(), "islands", "mainland")
	if err != nil || m.InFlight != 1 || m.Queued != 0 {
		t.Errorf("%+v, %v", m, err)
	}
	if a := islands.Send(); a != http.StatusOK {
		t.Errorf("after the migration %d", a)
	}
	if a := <-answer; a != http.StatusOK {
		t.Errorf("the ratify's answer is %d", a)
	}
	if runs := f.runsByCell(t, "islands"); runs["isles"] != 21 || runs["mainland"] != 1 {
		t.Errorf("islands ran in %v", runs)
	}
}

// A reload applies a changed plan of cells as migrations, and one without changes keeps the operators'
// migrations. An invalid file, and one with what a reload cannot change, change nothing and say why.
func TestReloadOfCells(t *testing.T) {
	f := startFixture(t, twoCells)
	if _, err := f.Core.MigrateTenant(t.Context(), "islands", "mainland"); err != nil {
		t.Fatal(err)
	}
	if err := f.Reload(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := f.tenantCells(t); got != "central-belt mainland, islands mainland" {
		t.Errorf("after a reload of the same file: %s", got)
	}
	for name, text := range map[string]string{
		"cells.cell a.tenants nobody: ": `(foxlift (control (socket %q)) (cells (cell a (tenants nobody))))`,
		"control.socket: ":              `(foxlift (control (socket "/tmp/%s-other")) (cells (cell a)))`,
		"cells: ":                       `(foxlift (control (socket %q)))`,
	} {
		f.write(t, f.operator, fmt.Sprintf(text, f.operatorPathArgument))
		if err := f.Reload(t.Context()); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if got := f.tenantCells(t); got != "central-belt mainland, islands mainland" {
		t.Errorf("after invalid reloads: %s", got)
	}
	const changed = `(foxlift (control (socket %q)) (cells
 (cell far (tenants islands)) (cell mainland (tenants central-belt))))`
	f.write(t, f.operator, fmt.Sprintf(changed, f.operatorPathArgument))
	if err := f.Reload(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := f.tenantCells(t); got != "islands far, central-belt mainland" {
		t.Errorf("after a changed file: %s", got)
	}
	if a := f.client("islands", "reading", "i").Send(); a != http.StatusOK {
		t.Errorf("answer %d", a)
	}
}

// tenantCells returns each tenant with its cell.
func (f *fixture) tenantCells(t *testing.T) string {
	t.Helper()
	states, err := f.Core.Cells(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var pairs []string
	for _, cell := range states {
		for _, tenant := range cell.Tenants {
			pairs = append(pairs, tenant.Name+" "+cell.Name)
		}
	}
	return strings.Join(pairs, ", ")
}

// post sends a job on a connection, and reports whether its answer closes that.
func post(t *testing.T, c net.Conn, id, tenant string) (closes bool) {
	t.Helper()
	c.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(c, "POST /reading HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Lane: reading\r\nX-Org: %s\r\n"+
		"X-Remaining: 5000m\r\nContent-Length: 0\r\n\r\n", id, tenant)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%s: %v", id, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("%s: %v", id, response)
	}
	return response.Close
}

// Connections of a cell past its bound close after their answer; those of other cells do not.
func TestConnectionsOfACell(t *testing.T) {
	f := startFixture(t, strings.Replace(twoCells, "(tenants islands)", "(tenants islands) (connections 3)", 1))
	closed := map[string]int{}
	for i := range 6 {
		for _, tenant := range []string{"islands", "central-belt"} {
			c := dial(t, f.Addr().String())
			if post(t, c, fmt.Sprint(tenant, i), tenant) {
				closed[tenant]++
			}
		}
	}
	if closed["islands"] != 3 || closed["central-belt"] != 0 {
		t.Errorf("closed: %v", closed)
	}
}

// After a kill during migrations, each job that was answered as served has run once, and a start from the
// same files has the file's plan.
func TestKillDuringMigrations(t *testing.T) {
	f := startFixture(t, twoCells)
	stop := make(chan struct{})
	client := f.client("islands", "ratify", "r")
	client.Remaining = time.Second
	done := make(chan struct{})
	go func() {
		client.Run(func() float64 { return 40 }, 3, stop)
		close(done)
	}()
	for i := range 30 {
		cell := []string{"mainland", "isles"}[i%2]
		if _, err := f.Core.MigrateTenant(t.Context(), "islands", cell); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond)
	}
	f.Kill()
	close(stop)
	<-done
	runs := map[string]int{}
	for _, worker := range f.workers {
		for id, n := range worker.Runs() {
			runs[id] += n
		}
	}
	for id, n := range runs {
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	for id := range client.Served() {
		if runs[id] != 1 {
			t.Errorf("%s is answered as served and ran %d times", id, runs[id])
		}
	}
	f.restart(t)
	states, err := f.Core.Cells(t.Context())
	if err != nil || states[1].Name != "isles" || len(states[1].Tenants) != 1 || states[1].Tenants[0].Migrated {
		t.Errorf("after a restart: %+v, %v", states, err)
	}
}
