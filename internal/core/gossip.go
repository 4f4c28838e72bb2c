package core

import (
	"github.com/vatu-meals/foxlift"
)

// Heard brings a message from another scheduler.
func (c *Core) ReceiveGossip(from int, data []byte) { c.post(gossipReceived{from, data}) }

type gossipReceived struct {
	from int
	data []byte
}

func (e gossipReceived) apply(c *Core) {
	if c.placement.Load() == nil { // a cell's module knows of no peers
		c.cells[0].notify(foxlift.Event{Kind: foxlift.EventMessage, From: e.from, Data: e.data})
	}
}
