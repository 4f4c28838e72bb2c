package foxlift_test

import (
	"fmt"

	"github.com/vatu-meals/foxlift"
)

// A host with one worker that serves each job in 30 ms. It keeps the timers and
// the outcomes that are due, and steps the dispatcher whenever something is.
func Example() {
	const ms = int64(1e6)
	gate, err := foxlift.New(foxlift.Config{
		Classes: []foxlift.Class{
			{Name: "read", LatencyObjective: 100 * ms, ObjectiveStretch: 2, Deadline: 2000 * ms, Kind: -1},
		},
		Tenants:     []foxlift.Tenant{{Name: "shop", Quota: 100}},
		Dispatchers: 1,
		StartNotes:  true,
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	type due struct {
		at    int64
		event foxlift.Event
	}
	queue := []due{
		{0, foxlift.Event{
			Kind: foxlift.EventEndpoints, EndpointUpdate: foxlift.EndpointsComplete,
			Workers: []foxlift.Worker{{ID: "w1", Kind: -1}},
		}},
		{1 * ms, foxlift.Event{
			Kind:    foxlift.EventRequest,
			Request: foxlift.Request{ID: 7, Deadline: 2000 * ms},
		}},
	}
	for now := int64(0); now < 50*ms; now += ms {
		var events []foxlift.Event
		rest := queue[:0:0]
		for _, q := range queue {
			if q.at <= now {
				events = append(events, q.event)
			} else {
				rest = append(rest, q)
			}
		}
		queue = rest
		if len(events) == 0 {
			continue
		}
		for _, a := range gate.Step(now, events) {
			switch a.Kind {
			case foxlift.ActionTimer:
				queue = append(queue, due{a.At, foxlift.Event{Kind: foxlift.EventTimer, Token: a.Token}})
			case foxlift.ActionSend:
				fmt.Printf("%d ms: send %d to %s\n", now/ms, a.ID, a.Worker)
				start := foxlift.Event{Kind: foxlift.EventStarted, ID: a.ID, Worker: a.Worker}
				end := foxlift.Event{
					Kind: foxlift.EventOutcome, ID: a.ID, Worker: a.Worker,
					Code: foxlift.Served, Took: 30 * ms, Ended: true,
				}
				queue = append(queue, due{now + ms, start}, due{now + 30*ms, end})
			case foxlift.ActionShed, foxlift.ActionFail:
				fmt.Printf("%d ms: no answer for %d\n", now/ms, a.ID)
			}
		}
	}
	// Output:
	// 1 ms: send 7 to w1
}
