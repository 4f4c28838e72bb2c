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

const healthCheckTimeout = 500 * time.Millisecond // for a probe's answer

// Probe implements core.Nodes.
func (p *workerPool) HealthCheck(worker string, report func(core.Report)) {
	go func() { report(p.healthCheck(worker)) }()
}

func (p *workerPool) healthCheck(worker string) core.Report {
	target, ok := p.find(worker)
	if !ok {
		return finalReport(foxlift.NotSent)
	}
	conn, code := p.acquire(context.Background(), target)
	if conn == nil {
		return finalReport(code)
	}
	conn.SetDeadline(time.Now().Add(healthCheckTimeout))
	r, reusable := p.exchangeHealthCheck(conn, worker)
	if conn.SetDeadline(time.Time{}) != nil || !reusable {
		conn.reset() // a probe that is still on its way must not arrive later
		p.discard(conn)
	} else {
		p.release(conn)
	}
	return r
}

func (p *workerPool) exchangeHealthCheck(conn *workerConn, worker string) (core.Report, bool) {
	path := pathPing
	if len(p.loadReports.names) > 0 {
		path = pathLoad
	}
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, worker); err != nil {
		return finalReport(foxlift.Unreachable), false
	}
	m := conn.buf.newMessage(maxResponse)
	defer m.close()
	resp, err := m.readResponse()
	if err != nil {
		return finalReport(foxlift.DeadlineExceeded), false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return finalReport(foxlift.Reset), false
	}
	reusable := !resp.Close && m.Buffered() == 0
	if resp.StatusCode != http.StatusOK {
		return finalReport(foxlift.WorkerError), reusable
	}
	r := finalReport(foxlift.Served)
	if len(p.loadReports.names) > 0 {
		r.Load, r.HasLoad = p.loadReports.body(body)
	}
	return r, reusable
}
