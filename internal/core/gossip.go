package core

import "github.com/vatu-meals/foxlift"

// ReceiveGossip brings a message from a peer.
func (c *Core) ReceiveGossip(from int, data []byte) { c.loop.post(gossipReceived{from, data}) }

type gossipReceived struct {
	from int
	data []byte
}

func (e gossipReceived) apply(c *Core) {
	if c.placement.Load() == nil { // the dispatcher of a cell has no peers
		c.cells.all[0].notify(foxlift.Event{Kind: foxlift.EventMessage, From: e.from, Data: e.data})
	}
}
