package core

import (
	"time"

	"github.com/vatu-meals/foxlift"
)

const fullRetry = time.Second // advice to submitters when the table is full

// Stage 2, admit: the module hears of the job and holds, sends or refuses it.
// Past the settings' number of open jobs it is refused before the module.
func (c *Core) admit(j *job, class, tenant int) {
	if most := c.settings.MaxOpen; most > 0 && len(c.open) > most {
		c.answer(j, Answer{Verdict: Refused, RetryAfter: fullRetry})
		return
	}
	c.news = append(c.news, foxlift.Event{Kind: foxlift.EventRequest, Request: foxlift.Request{
		ID: j.number, Class: class, Tenant: tenant, Deadline: j.deadline, Key: j.Key,
		Slots: j.Slots, Memory: j.Memory, Repeat: j.Repeat,
	}})
}
