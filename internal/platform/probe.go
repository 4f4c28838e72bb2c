package platform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/core"
)

const probeLimit = 500 * time.Millisecond // for a probe's answer

// Probe implements core.Nodes.
func (n *nodes) HealthCheck(node string, report func(core.Report)) {
	go func() { report(n.probe(node)) }()
}

func (n *nodes) probe(node string) core.Report {
	to, ok := n.find(node)
	if !ok {
		return ended(foxlift.NotSent)
	}
	conn, code := n.take(context.Background(), to)
	if conn == nil {
		return ended(code)
	}
	conn.SetDeadline(time.Now().Add(probeLimit))
	r, reusable := n.ask(conn, node)
	if conn.SetDeadline(time.Time{}) != nil || !reusable {
		conn.reset() // a probe that is still on its way must not arrive later
		n.discard(conn)
	} else {
		n.keep(conn)
	}
	return r
}

func (n *nodes) ask(conn *nodeConn, node string) (core.Report, bool) {
	path := pathPing
	if len(n.loads.names) > 0 {
		path = pathLoad
	}
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, node); err != nil {
		return ended(foxlift.Unreachable), false
	}
	m := conn.buf.message(maxResponse)
	defer m.end()
	resp, err := m.response()
	if err != nil {
		return ended(foxlift.DeadlineExceeded), false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return ended(foxlift.Reset), false
	}
	reusable := !resp.Close && m.Buffered() == 0
	if resp.StatusCode != http.StatusOK {
		return ended(foxlift.WorkerError), reusable
	}
	r := ended(foxlift.Served)
	if len(n.loads.names) > 0 {
		r.Load, r.HasLoad = n.loads.body(body)
	}
	return r, reusable
}
