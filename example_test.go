package foxlift_test

import (
	"fmt"

	"github.com/vatu-meals/foxlift"
)

const exampleMillisecond = int64(1e6) // on the dispatcher's clock

// An exampleHost has a dispatcher and the events that it will receive.
type exampleHost struct {
	dispatcher *foxlift.Dispatcher
	pending    []scheduledEvent
}

type scheduledEvent struct {
	at    int64
	event foxlift.Event
}

// schedule adds an event that is due at a time.
func (h *exampleHost) schedule(at int64, event foxlift.Event) {
	h.pending = append(h.pending, scheduledEvent{at, event})
}

// due removes and returns the events that are due.
func (h *exampleHost) due(now int64) (events []foxlift.Event) {
	var later []scheduledEvent
	for _, s := range h.pending {
		if s.at <= now {
			events = append(events, s.event)
		} else {
			later = append(later, s)
		}
	}
	h.pending = later
	return events
}

// execute executes an action. The simulated worker starts each job 1 ms after it was sent and answers 30 ms
// after it was sent.
func (h *exampleHost) execute(now int64, action foxlift.Action) {
	const ms = exampleMillisecond
	switch action.Kind {
	case foxlift.ActionTimer:
		h.schedule(action.At, foxlift.Event{Kind: foxlift.EventTimer, Token: action.Token})
	case foxlift.ActionSend:
		fmt.Printf("%d ms: send %d to %s\n", now/ms, action.ID, action.Worker)
		h.schedule(now+ms, foxlift.Event{Kind: foxlift.EventStarted, ID: action.ID, Worker: action.Worker})
		h.schedule(now+30*ms, foxlift.Event{
			Kind: foxlift.EventOutcome, ID: action.ID, Worker: action.Worker,
			Code: foxlift.Served, Took: 30 * ms, Ended: true,
		})
	case foxlift.ActionShed, foxlift.ActionFail:
		fmt.Printf("%d ms: no answer for %d\n", now/ms, action.ID)
	}
}

// A host with one worker and one job delivers events to the dispatcher and executes its actions.
func Example() {
	const ms = exampleMillisecond
	dispatcher, err := foxlift.New(foxlift.Config{
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
	host := &exampleHost{dispatcher: dispatcher}
	host.schedule(0, foxlift.Event{
		Kind: foxlift.EventEndpoints, EndpointUpdate: foxlift.EndpointsComplete,
		Workers: []foxlift.Worker{{ID: "w1", Kind: -1}},
	})
	host.schedule(1*ms, foxlift.Event{
		Kind:    foxlift.EventRequest,
		Request: foxlift.Request{ID: 7, Deadline: 2000 * ms},
	})
	for now := int64(0); now < 50*ms; now += ms {
		events := host.due(now)
		if len(events) == 0 {
			continue
		}
		for _, action := range host.dispatcher.Step(now, events) {
			host.execute(now, action)
		}
	}
	// Output:
	// 1 ms: send 7 to w1
}
