package platform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/vatu-meals/foxlift"
	"github.com/vatu-meals/foxlift/internal/core"
)

const probeLimit = 500 * time.Millisecond // for a probe's answer

// Probe implements core.Nodes.
func (n *nodes) Probe(node string, report func(core.Report)) {
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
		n.discard(conn)
	} else {
		n.keep(conn)
	}
	return r
}

func (n *nodes) ask(conn *nodeConn, node string) (core.Report, bool) {
	path := pathPing
	if n.withLoad {
		path = pathLoad
	}
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, node); err != nil {
		return ended(foxlift.Unreachable), false
	}
	m := conn.buf.message(maxResponse)
	defer m.end()
	resp, err := m.response()
	if err != nil {
		return ended(foxlift.TimedOut), false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return ended(foxlift.Reset), false
	}
	reusable := !resp.Close && m.Buffered() == 0
	if resp.StatusCode != http.StatusOK {
		return ended(foxlift.Erred), reusable
	}
	r := ended(foxlift.Served)
	if n.withLoad {
		r.Load, r.HasLoad = parseLoad(string(body), n.loadNames)
	}
	return r, reusable
}

// parseLoad reads a load report, name=value,name=value, in the settings' order.
// A report that lacks a value counts as none.
func parseLoad(s string, names []string) (load [foxlift.MaxGauges]float64, ok bool) {
	values := map[string]float64{}
	for part := range strings.SplitSeq(strings.TrimSpace(s), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		x, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return load, false
		}
		values[name] = x
	}
	for i, name := range names[:min(len(names), len(load))] {
		if load[i], ok = values[name]; !ok {
			return load, false
		}
	}
	return load, len(names) > 0
}
