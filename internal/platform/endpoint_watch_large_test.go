package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// longEndpoints returns a complete list with the given number of entries. The first entry is worker, with the given
// health; the other entries have the usual length.
func longEndpoints(version, entries int, worker *testWorker, health string) string {
	b := fmt.Appendf(nil, `{"seq":%d,"whole":true,"hosts":[%s`, version, endpointJSON(0, worker, health))
	for i := 1; i < entries; i++ {
		b = fmt.Appendf(b, `,{"host":"n%d","dial":"10.%d.%d.%d:3000","site":"a","class":"k","block":%d,`+
			`"health":"active","share":1.0,"born_ms":%d}`,
			i, i>>16, i>>8&255, i&255, i%97, 1790000000000+i)
	}
	return string(append(b, "]}"...))
}

// entryCount returns the number of entries in the table.
func (w *endpointWatch) entryCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.table.entries)
}

// Guards against limits that reject the list of the fleet that a scheduler is designed for, compact or indented, or the
// changes of that list.
func TestLongEndpointListsAreWatched(t *testing.T) {
	t.Parallel()
	for _, entries := range []int{1200, designEndpoints} {
		for _, indented := range []bool{false, true} {
			first, second := newTestWorker(t, serveJob), newTestWorker(t, serveJob)
			text := longEndpoints(7, entries, first, healthActive) // generated before the call, which has a timeout
			if indented {
				var b bytes.Buffer
				if err := json.Indent(&b, []byte(text), "", "  "); err != nil {
					t.Fatal(err)
				}
				text = b.String()
			}
			addr, calls := newDiscovery(t)
			p, set := start(t, addr, first)
			next(t, calls).answer(endpointsJSON(1, false)) // the first watch
			c := next(t, calls)
			c.answer(text)
			c = next(t, calls)
			checkWatch(t, fmt.Sprintf("watch after %d entries in %d bytes", entries, len(text)), c.target, 7)
			check(t, "entries in the table", p.endpoints.entryCount(), entries)
			c.answer(`{"seq":8,"whole":false,"hosts":[` + endpointJSON(0, first, healthLeaving) + `,` +
				endpointJSON(entries, second, healthActive) + `]}`)
			next(t, calls)
			check(t, "entries in the table after a change", p.endpoints.entryCount(), entries+1)
			await(t, "counter machines.told is 4", func() bool { return set.Get("machines.told") == 4 })
			_, leaving := p.endpoints.findLive("n0")
			_, added := p.endpoints.findLive(fmt.Sprint("n", entries))
			check(t, "findLive of the draining and the added worker", fmt.Sprint(leaving, added), "false true")
			check(t, "counter machines.failed", set.Get("machines.failed"), int64(0))
			p.Kill()
		}
	}
}

// Guards against a send by the old list after the new one has arrived. A part of a long list changes nothing; once its
// last byte has arrived, attempts wait until the list is in the table.
func TestAttemptsWaitForLongEndpointList(t *testing.T) {
	t.Parallel()
	worker := newTestWorker(t, serveJob)
	addr, calls := newDiscovery(t)
	p, _ := start(t, addr, worker)
	next(t, calls).answer(endpointsJSON(1, false))
	c := next(t, calls)
	text := longEndpoints(7, designEndpoints, worker, healthLeaving)
	last := len(text) - 1
	fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text[:last])
	await(t, "all but the last byte is read", func() bool {
		watch := p.endpoints
		watch.mu.Lock()
		defer watch.mu.Unlock()
		return !watch.unread.lastReadAt.IsZero() && !watch.unread.exists()
	})
	if _, ok := p.endpoints.findLive("n0"); !ok {
		t.Error("findLive(n0) = false after a part of a list, want true by the old list")
	}
	writeText(t, c.conn, text[last:])
	if _, ok := p.endpoints.findLive("n0"); ok {
		t.Error("findLive(n0) = true by the old list after discovery had written the new one")
	}
	p.Kill()
}

// Guards against attempts that wait too briefly for a response that is being read, or without end.
func TestUnreadDeadline(t *testing.T) {
	startedAt := time.Now()
	for _, tc := range []struct{ lastRead, wait time.Duration }{
		{-time.Hour, unreadWait},
		{0, unreadWait},
		{unreadWait / 2, unreadWait * 3 / 2},
		{2 * unreadWait, 3 * unreadWait},
		{time.Hour, maxUnreadWait},
	} {
		unread := &unreadResponse{lastReadAt: startedAt.Add(tc.lastRead)}
		check(t, fmt.Sprint("wait if the last read was after ", tc.lastRead),
			unread.deadline(startedAt).Sub(startedAt), tc.wait)
	}
	if limit := newEndpointWatch(t.Context(), "", endpointSettings, nil, nil).pacer.Timeout(0); maxUnreadWait < limit {
		t.Errorf("maxUnreadWait = %v, want at least the timeout of a call, %v", maxUnreadWait, limit)
	}
}
