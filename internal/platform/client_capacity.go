package platform

import (
	"iter"
	"time"

	"github.com/vatu-meals/foxlift/internal/core"
)

// setBudget changes how many connections there may be; where there are more, idle ones are closed.
func (s *clientServer) setBudget(budget int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget = budget
	s.freeCapacityLocked(len(s.conns) - budget)
	s.capacityChanged.Broadcast()
}

// maxOpenJobs is how many jobs may be open under a budget. Each holds a connection, and some connections must be
// left on which further requests are read and shed: what the kernel has accepted and nobody reads is lost.
func maxOpenJobs(budget int) int { return budget - max(1, budget/spareConnsDivisor) }

// awaitCapacity waits until the budget allows another connection. Shortly before that is needed, the longest idle
// ones begin to be closed. During shutdown it does not wait, and what the kernel has accepted by then is all
// that is left to accept: last is true.
func (s *clientServer) awaitCapacity() (stopping bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.stopAccepting.Load() {
		s.freeCapacityLocked(len(s.conns) + 1 + s.budget/headroomDivisor - s.budget)
		if len(s.conns) < s.budget {
			break
		}
		recheck := time.AfterFunc(firstByteGrace, s.capacityChanged.Broadcast) // some are no longer new by then
		s.capacityChanged.Wait()
		recheck.Stop()
	}
	if stopping = s.stopAccepting.Load(); stopping {
		_ = s.listener.SetDeadline(time.Now().Add(backlogTimeout)) // fails on a closed one, as Accept does
	}
	return stopping
}

// freeOne closes an idle connection, and maybe some more.
func (s *clientServer) freeOneConn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freeCapacityLocked(1)
}

// freeCapacityLocked closes n connections and, where n is over 0, some more. Those that are about to end already
// count. The first to be closed are those that never brought a request and are silent, then those that are
// slow about their first, then those that brought one and stayed. All of these are closed at once: a client
// behind a flood would else wait for one batch of closes after the other, while its job's time runs out
// unread. Last come the longest idle of those that brought more, a batch at a time, so that a flood does not
// cost other clients their connections.
func (s *clientServer) freeCapacityLocked(target int) {
	if target <= 0 {
		return
	}
	target += s.budget
	retire := func(c *clientConn, eligible bool) {
		if eligible && target > 0 {
			target--
			s.retireLocked(c)
		}
	}
	for c := range s.idleConns() {
		retire(c, c.requests == 0 && time.Since(c.openedAt) > firstByteGrace)
	}
	for c := range s.conns {
		if c.requests == 0 && !c.idle && time.Since(c.openedAt) > firstRequestGrace {
			retire(c, true)
			c.conn.SetReadDeadline(pastDeadline)
		}
	}
	for c := range s.idleConns() {
		retire(c, c.requests == 1)
	}
	for c := range s.conns {
		if c.requests == 0 && !c.retired.Load() {
			target-- // it brings a request or ends before long
		}
	}
	target -= s.budget - s.budget/closeBatchDivisor
	for c := range s.idleConns() {
		retire(c, c.requests > 1)
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

// assignCell counts a connection among those of the cell of the job that it has brought, and returns whether that
// cell may keep it. Until its first job is read nobody can know which cell a connection is of; from then on no
// cell's clients hold more than their part of the descriptors.
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

// retireLocked closes a connection as soon as it is idle. Only an idle one is woken: a deadline in the past would
// break off the reading of a request.
func (s *clientServer) retireLocked(c *clientConn) {
	if !c.retired.Swap(true) && c.idle {
		c.conn.SetReadDeadline(pastDeadline)
	}
}
