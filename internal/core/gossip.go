package core

import "github.com/vatu-meals/foxlift"

// ReceiveGossip passes a message of the peer with index from to the dispatcher. With cells it is dropped.
func (c *Core) ReceiveGossip(from int, data []byte) { c.loop.post(gossipReceived{from, data}) }

type gossipReceived struct {
	from int
	data []byte
}

func (e gossipReceived) apply(c *Core) {
	if c.placement.Load() == nil { // the dispatchers of cells exchange no messages
		c.cells.all[0].notify(foxlift.Event{Kind: foxlift.EventMessage, From: e.from, Data: e.data})
	}
}
