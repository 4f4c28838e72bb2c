package platform

import (
	"iter"
	"time"

	"github.com/vatu-meals/foxlift/internal/core"
)

// setBudget changes the maximum number of client connections. It closes idle connections above the new maximum.
func (s *clientServer) setBudget(budget int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget = budget
	s.freeCapacityLocked(len(s.conns) - budget)
	s.capacityChanged.Broadcast()
}

// maxOpenJobs returns the maximum number of open jobs for a connection budget. Each open job occupies a connection;
// the remaining connections serve to read further requests and shed them. A request on a connection that only the
// kernel has accepted would be lost unread.
func maxOpenJobs(budget int) int { return budget - spareConns(budget) }

// spareConns returns the number of connections of a budget that open jobs may not occupy.
func spareConns(budget int) int { return max(1, budget/spareConnsDivisor) }

// connLimit returns the maximum number of connections now: the budget, but at least spareConns more than there are open
// jobs. These are more than maxOpenJobs after the budget was reduced, and new requests must be read and shed meanwhile.
func (s *clientServer) connLimit() int { return max(s.budget, s.core.Active()+spareConns(s.budget)) }

// awaitCapacity waits until the budget allows another connection. It starts to close idle connections before the
// budget is used up. During shutdown, when only the connections that the kernel has already accepted remain to be
// accepted, it allows shutdownReserve more, sets the accept deadline to backlogTimeout from now and returns true.
func (s *clientServer) awaitCapacity() (stopping bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		stopping = s.stopAccepting.Load()
		limit := s.connLimit()
		if stopping {
			limit += shutdownReserve
		}
		s.freeCapacityLocked(len(s.conns) + 1 + s.budget/headroomDivisor - limit)
		if len(s.conns) < limit {
			break
		}
		_, firstRequest := s.graces()
		// Connections may have passed their grace by then.
		recheck := time.AfterFunc(min(firstByteGrace, firstRequest), s.capacityChanged.Broadcast)
		s.capacityChanged.Wait()
		recheck.Stop()
	}
	if stopping {
		_ = s.listener.SetDeadline(time.Now().Add(backlogTimeout)) // fails on a closed listener, as Accept does
	}
	return stopping
}

// graces returns how long connections without a byte, and with an incomplete first request, are not closed to free
// capacity. While more connections wait in the backlog than the budget allows, the second is so short that the last of
// them is accepted within firstRequestGrace, but at least minRequestGrace. In the backlog at a shutdown, a request that
// was sent has arrived.
func (s *clientServer) graces() (firstByte, firstRequest time.Duration) {
	if s.stopAccepting.Load() {
		return 0, shutdownRequestGrace
	}
	budget := max(1, s.budget)
	firstRequest = firstRequestGrace * time.Duration(budget) / time.Duration(max(budget, pendingConns(s.listener)))
	return firstByteGrace, max(firstRequest, minRequestGrace)
}

// freeOneConn frees capacity for at least one connection, if there are connections that may be closed.
func (s *clientServer) freeOneConn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freeCapacityLocked(1)
}

// freeCapacityLocked frees capacity for at least target connections, if enough may be closed. It does nothing if target
// is 0 or less. It marks connections to be closed and does not wait. Connections that are about to end already count.
// Connections are closed in this order:
//
//  1. idle connections without a request after the grace for the first byte,
//  2. connections whose first request is incomplete after the grace for the first request; they get no answer, which
//     would occupy the descriptor until the client has read it,
//  3. idle connections that sent a single request,
//  4. idle connections that sent more requests, the longest idle first.
//
// All connections of groups 1 to 3 are closed at once: otherwise a client behind a flood would wait for one batch of
// closes after another while its job's deadline expires unread. Group 4 is closed in batches, so that a flood does not
// cost other clients their connections.
func (s *clientServer) freeCapacityLocked(target int) {
	if target <= 0 {
		return
	}
	target += s.budget
	firstByte, firstRequest := s.graces()
	closeIf := func(c *clientConn, eligible bool) {
		if eligible && target > 0 {
			target--
			s.retireLocked(c)
		}
	}
	for c := range s.idleConns() {
		closeIf(c, c.requests == 0 && time.Since(c.openedAt) > firstByte)
	}
	for c := range s.conns {
		if c.requests == 0 && !c.idle && time.Since(c.openedAt) > firstRequest {
			closeIf(c, true)
			c.evicted.Store(true)
			c.conn.SetReadDeadline(pastDeadline)
		}
	}
	for c := range s.idleConns() {
		closeIf(c, c.requests == 1)
	}
	for c := range s.conns {
		if c.requests == 0 && !c.retired.Load() {
			target-- // it sends a request or is closed soon
		}
	}
	target -= s.budget - s.budget/closeBatchDivisor
	for c := range s.idleConns() {
		closeIf(c, c.requests > 1)
	}
}

// idleConns iterates over the idle connections, the longest idle first.
func (s *clientServer) idleConns() iter.Seq[*clientConn] {
	return func(yield func(*clientConn) bool) {
		for e := s.idle.Front(); e != nil; e = e.Next() {
			if !yield(e.Value.(*clientConn)) {
				return
			}
		}
	}
}

// assignCell counts a connection towards the cell of its latest job. It returns false if the cell exceeds its share of
// the connections and this one must be closed after the job's answer. The cell of a connection is unknown until its
// first job has been read.
func (s *clientServer) assignCell(c *clientConn, job *core.Job) bool {
	cell, maxConns := s.core.Cell(job.Tenant, job.Key)
	if cell == "" {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setCellLocked(c, cell)
	if s.connsByCell[cell] > maxConns {
		s.counters.Add("accept.cell_full")
		return false
	}
	return true
}

// setCellLocked moves a connection to another cell's count; an empty cell removes it from the counts.
func (s *clientServer) setCellLocked(c *clientConn, cell string) {
	if c.cell == cell {
		return
	}
	if c.cell != "" {
		if s.connsByCell[c.cell]--; s.connsByCell[c.cell] == 0 {
			delete(s.connsByCell, c.cell)
		}
	}
	if c.cell = cell; cell != "" {
		s.connsByCell[cell]++
	}
}

// retireLocked marks a connection to be closed as soon as it is idle. It wakes only an idle connection: a read deadline
// in the past would interrupt the reading of a request.
func (s *clientServer) retireLocked(c *clientConn) {
	if !c.retired.Swap(true) && c.idle {
		c.conn.SetReadDeadline(pastDeadline)
	}
}
