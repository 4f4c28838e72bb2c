package lab

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"

	"github.com/vatu-meals/foxlift"
)

// Loops measures what many cells cost the regulator: the same traffic and nodes, in
// virtual time, split evenly over one module, two, four and so on. It prints how many
// of the class-seconds have the six finished jobs from which a loop learns, and what
// share of the jobs within their tenants' shares is served in time.
func Loops(w io.Writer, seed uint64, seconds int) error {
	fmt.Fprintln(w, "jobs/s  load  cells  jobs/s a cell  class-seconds with 6 jobs  served in time")
	for _, rate := range []float64{30, 60, 240} {
		for _, load := range []float64{0.7, 1.2} {
			for _, cells := range []int{1, 2, 4, 8, 16} {
				learned, served := 0.0, 0.0
				for c := range cells {
					l, s, err := simulateCell(rate/float64(cells), load, seed+uint64(c)*1000, seconds)
					if err != nil {
						return err
					}
					learned += l / float64(cells)
					served += s / float64(cells)
				}
				fmt.Fprintf(w, "%6.0f  %4.1f  %5d  %13.2f  %24.1f %%  %12.1f %%\n", rate, load, cells, rate/float64(cells), 100*learned, 100*served)
			}
		}
	}
	return nil
}

const second = int64(1e9)

// simulateCell runs one module over nodes of two slots that together can do rate/load jobs
// a second, for two classes of which the second takes five times as long.
func simulateCell(rate, load float64, seed uint64, seconds int) (learned, served float64, err error) {
	work := [2]int64{second * 3 / 10, second * 3 / 2}
	part := [2]float64{0.72, 0.28}
	mean := part[0]*float64(work[0]) + part[1]*float64(work[1])
	slots := max(2, int(rate/load*mean/float64(second)+0.5))
	d, err := foxlift.New(foxlift.Config{
		Classes: []foxlift.Class{
			{Name: "reading", LatencyObjective: second / 2, ObjectiveStretch: 2.5, Deadline: 5 * second, Kind: -1},
			{Name: "ratify", LatencyObjective: 2 * second, ObjectiveStretch: 2, Deadline: 25 * second, Kind: -1, Effect: foxlift.AtMostOnce},
		},
		Tenants: []foxlift.Tenant{{Name: "t", Quota: rate}}, Dispatchers: 2, MayCancel: true, MaxRetryAfter: 2 * second,
		MayRetryAfter: true, MaxAttempts: 3, StartNotes: true,
	}, seed)
	if err != nil {
		return 0, 0, err
	}
	rng := rand.New(rand.NewPCG(seed, 11))
	var todo eventQueue
	now, n := int64(0), 0
	at := func(t int64, do func()) {
		n++
		heap.Push(&todo, scheduledEvent{t, n, do})
	}
	var news []foxlift.Event
	type node struct{ free, queued int }
	nodes := map[string]*node{}
	var list []foxlift.Worker
	for i := range (slots + 1) / 2 {
		id := fmt.Sprint("n", i)
		nodes[id] = &node{free: min(2, slots-2*i)}
		list = append(list, foxlift.Worker{ID: id, Kind: -1})
	}
	news = append(news, foxlift.Event{Kind: foxlift.EventEndpoints, EndpointUpdate: foxlift.EndpointsCached, Workers: list})
	type job struct {
		class    int
		came     int64
		attempts int
		over     bool
	}
	jobs := map[uint64]*job{}
	asked, inTime, finished, seconds6 := 0, 0, [2]int{}, 0
	var arrive func()
	arrive = func() {
		class := 0
		if rng.Float64() >= part[0] {
			class = 1
		}
		asked++
		id := uint64(asked)
		wait := [2]int64{5 * second, 25 * second}[class]
		jobs[id] = &job{class: class, came: now}
		news = append(news, foxlift.Event{Kind: foxlift.EventRequest, Request: foxlift.Request{ID: id, Class: class, Deadline: now + wait, Slots: 1}})
		at(now+int64(rng.ExpFloat64()/rate*float64(second)), arrive)
	}
	at(0, arrive)
	var tick func()
	tick = func() {
		for c := range finished {
			if finished[c] >= 6 {
				seconds6++
			}
			finished[c] = 0
		}
		at(now+second, tick)
	}
	at(second, tick)
	send := func(a foxlift.Action) {
		j, x, id := jobs[a.ID], nodes[a.Worker], a.ID
		number, node := j.attempts, a.Worker
		j.attempts++
		report := func(kind foxlift.EventKind, code foxlift.Code, over bool) {
			news = append(news, foxlift.Event{Kind: kind, ID: id, Attempt: number, Worker: node, Code: code, Ended: over})
		}
		if x.free == 0 && x.queued >= 4 {
			at(now, func() { report(foxlift.EventOutcome, foxlift.Saturated, j.over) })
			return
		}
		var run func()
		run = func() {
			if x.free == 0 {
				at(now+second/100, run) // looks again: order in the queue is not the point here
				return
			}
			x.queued--
			x.free--
			report(foxlift.EventStarted, 0, false)
			at(now+int64(float64(work[j.class])*(0.5+rng.Float64())), func() {
				x.free++
				finished[j.class]++
				aim := [2]int64{second/2 + work[0]*5/2, 2*second + 2*work[1]}[j.class]
				if !j.over && now-j.came <= aim {
					inTime++
				}
				j.over = true
				report(foxlift.EventOutcome, foxlift.Served, true)
			})
		}
		x.queued++
		at(now+second/1000, run)
	}
	for end := int64(seconds) * second; len(todo) > 0 && todo[0].at < end; {
		now = todo[0].at
		for len(todo) > 0 && todo[0].at == now {
			heap.Pop(&todo).(scheduledEvent).do()
		}
		for {
			events := news
			news = nil
			for _, a := range d.Step(now, events) {
				switch a.Kind {
				case foxlift.ActionSend:
					send(a)
				case foxlift.ActionShed, foxlift.ActionFail:
					jobs[a.ID].over = true
				case foxlift.ActionTimer:
					at(max(a.At, now), func() {})
				}
			}
			if len(news) == 0 {
				break
			}
		}
	}
	return float64(seconds6) / float64(2*seconds), float64(inTime) / float64(asked), nil
}
