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

const healthCheckTimeout = 500 * time.Millisecond // for the request and its answer, without the dial

// HealthCheck implements core.Workers.
func (p *workerPool) HealthCheck(worker string, report func(core.Report)) {
	go func() { report(p.healthCheck(worker)) }()
}

// healthCheck runs one health check of a worker and returns its report. The code is NotSent if the worker is not live
// or the endpoint list is stale, and that of the error of acquire if there is no connection.
func (p *workerPool) healthCheck(worker string) core.Report {
	target, ok := p.findUsable(worker)
	if !ok {
		return finalReport(foxlift.NotSent)
	}
	conn, err := p.acquire(context.Background(), target, false) // dialTimeout bounds a dial
	if err != nil {
		return finalReport(sendCode(err))
	}
	conn.SetDeadline(time.Now().Add(healthCheckTimeout))
	report, reusable := p.exchangeHealthCheck(conn, worker)
	if conn.SetDeadline(time.Time{}) != nil || !reusable {
		conn.reset() // a request that is not delivered yet must not arrive later
		p.discard(conn)
	} else {
		p.release(conn)
	}
	return report
}

// exchangeHealthCheck sends a health check request and reads the answer. If the settings name gauges, it requests the
// worker's load report instead of a ping. The code is Served for status 200, WorkerError for another status,
// Unreachable if the request cannot be written, DeadlineExceeded if no valid head of an answer arrives, and Reset if
// the body is incomplete. reusable reports whether the connection can be used for another request.
func (p *workerPool) exchangeHealthCheck(conn *workerConn, worker string) (report core.Report, reusable bool) {
	path := pathPing
	if len(p.loadParser.names) > 0 {
		path = pathLoad
	}
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, worker); err != nil {
		return finalReport(foxlift.Unreachable), false
	}
	m := conn.buf.newMessage(maxHeadBytes) // a load report is short
	m.releaseEarly = true
	defer m.close()
	resp, err := m.readResponse()
	if err != nil {
		return finalReport(foxlift.DeadlineExceeded), false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return finalReport(foxlift.Reset), false
	}
	reusable = !resp.Close && m.Buffered() == 0
	if resp.StatusCode != http.StatusOK {
		return finalReport(foxlift.WorkerError), reusable
	}
	report = finalReport(foxlift.Served)
	if len(p.loadParser.names) > 0 {
		report.Load, report.HasLoad = p.loadParser.parseBody(body)
	}
	return report, reusable
}
