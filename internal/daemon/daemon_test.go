package daemon

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/vatu-meals/foxlift/internal/dialtest"
)

// Over real sockets, each tenant's jobs run on the workers of its cell, and after a migration on the workers of
// the new cell. A ratify job that is in flight during the migration runs once.
func TestCellsOnSockets(t *testing.T) {
	f := startFixture(t, twoCells)
	islands, mainland := f.client("islands", "reading", "i"), f.client("central-belt", "reading", "m")
	for range 20 {
		a, b := islands.Send(), mainland.Send()
		if a != http.StatusOK || b != http.StatusOK {
			t.Fatalf("Send() for islands and central-belt returned %d and %d, want %d", a, b, http.StatusOK)
		}
	}
	if a, b := f.runsByCell(t, "islands"), f.runsByCell(t, "central-belt"); a["isles"] != 20 || b["mainland"] != 20 {
		t.Errorf("runs of islands %v, want 20 in isles; runs of central-belt %v, want 20 in mainland", a, b)
	}
	ratify := f.client("islands", "ratify", "r")
	answer := make(chan int)
	go func() { answer <- ratify.Send() }()
	f.await(t, "the ratify job runs", func() bool { return f.runsByCell(t, "islands")["isles"] == 21 })
	m, err := f.Core.MigrateTenant(t.Context(), "islands", "mainland")
	if err != nil || m.InFlight != 1 || m.Queued != 0 {
		t.Errorf("MigrateTenant() = %+v, %v, want 1 job in flight, 0 queued and no error", m, err)
	}
	if a := islands.Send(); a != http.StatusOK {
		t.Errorf("Send() after the migration returned %d, want %d", a, http.StatusOK)
	}
	if a := <-answer; a != http.StatusOK {
		t.Errorf("Send() of the ratify job returned %d, want %d", a, http.StatusOK)
	}
	if runs := f.runsByCell(t, "islands"); runs["isles"] != 21 || runs["mainland"] != 1 {
		t.Errorf("runs of islands after the migration %v, want 21 in isles and 1 in mainland", runs)
	}
}

// A reload applies a changed cell plan by migrating tenants. A reload of an unchanged file keeps the migrations
// that operators have made. An invalid file, or one with a change that needs a restart, is rejected with an
// error that names the key, and changes nothing.
func TestReloadOfCells(t *testing.T) {
	f := startFixture(t, twoCells)
	if _, err := f.Core.MigrateTenant(t.Context(), "islands", "mainland"); err != nil {
		t.Fatal(err)
	}
	if err := f.Reload(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := f.tenantCells(t); got != "central-belt mainland, islands mainland" {
		t.Errorf("tenantCells() after a reload of the same file = %q, want both tenants in mainland", got)
	}
	for name, text := range map[string]string{
		"cells.cell a.tenants nobody: ": `(foxlift (control (socket %q)) (cells (cell a (tenants nobody))))`,
		"control.socket: ":              `(foxlift (control (socket "/tmp/%s-other")) (cells (cell a)))`,
		"cells: ":                       `(foxlift (control (socket %q)))`,
	} {
		f.write(t, f.operator, fmt.Sprintf(text, f.operatorPathArgument))
		if err := f.Reload(t.Context()); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("Reload() = %v, want an error that contains %q", err, name)
		}
	}
	if got := f.tenantCells(t); got != "central-belt mainland, islands mainland" {
		t.Errorf("tenantCells() after rejected reloads = %q, want both tenants in mainland", got)
	}
	const changed = `(foxlift (control (socket %q)) (cells
 (cell far (tenants islands)) (cell mainland (tenants central-belt))))`
	f.write(t, f.operator, fmt.Sprintf(changed, f.operatorPathArgument))
	if err := f.Reload(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := f.tenantCells(t); got != "islands far, central-belt mainland" {
		t.Errorf("tenantCells() after a reload of a changed file = %q, want islands in far", got)
	}
	if a := f.client("islands", "reading", "i").Send(); a != http.StatusOK {
		t.Errorf("Send() after the reload returned %d, want %d", a, http.StatusOK)
	}
}

// tenantCells returns each tenant with its cell, in the order of the cells.
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

// post sends a job on a connection, and reports whether the response closes the connection.
func post(t *testing.T, c net.Conn, id, tenant string) (closes bool) {
	t.Helper()
	c.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(c, "POST /reading HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Lane: reading\r\nX-Org: %s\r\n"+
		"X-Remaining: 5000m\r\nContent-Length: 0\r\n\r\n", id, tenant)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("reading the response to job %s: %v", id, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("job %s: response %v, want status %d", id, response, http.StatusOK)
	}
	return response.Close
}

// Connections beyond the connection limit of a cell are closed after their response. Connections of other
// cells stay open.
func TestConnectionsOfACell(t *testing.T) {
	f := startFixture(t, strings.Replace(twoCells, "(tenants islands)", "(tenants islands) (connections 3)", 1))
	closed := map[string]int{}
	for i := range 6 {
		for _, tenant := range []string{"islands", "central-belt"} {
			c := dialtest.Dial(t, "tcp", f.Addr().String())
			if post(t, c, fmt.Sprint(tenant, i), tenant) {
				closed[tenant]++
			}
		}
	}
	if closed["islands"] != 3 || closed["central-belt"] != 0 {
		t.Errorf("closed connections by tenant %v, want 3 of islands and 0 of central-belt", closed)
	}
}

// If the scheduler is killed during migrations, no job has run twice, each job that was answered as served has
// run once, and a start from the same files uses the cell plan of the operator's file.
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
			t.Errorf("job %s ran %d times, want at most 1", id, n)
		}
	}
	for id := range client.Served() {
		if runs[id] != 1 {
			t.Errorf("job %s was answered as served and ran %d times, want 1", id, runs[id])
		}
	}
	f.restart(t)
	states, err := f.Core.Cells(t.Context())
	if err != nil || states[1].Name != "isles" || len(states[1].Tenants) != 1 || states[1].Tenants[0].Migrated {
		t.Errorf("Cells() after a restart = %+v, %v, want one tenant in isles that is not migrated", states, err)
	}
}
