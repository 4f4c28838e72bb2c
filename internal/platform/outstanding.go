package platform

import (
	"sync"
	"time"

	"github.com/vatu-meals/foxlift"
)

// Attempts whose node goes off the list. A node answers with a status as soon as it has taken a request.
// Where none has come, the request may still be on its way: a network that was cut delivers it when it is
// whole again, as late as the cut was long. To the node that is a send after the list said that it drains or
// is gone. So an attempt without an answer ends shortly after its node's change, with a reset of the
// connection, which also discards what the kernel would send again.

// answerAfterChange is how long after its node's change an attempt without an answer may go on. The rule on
// drains allows for 0.75 s in the shortest settings known; the change may have come up to 0.15 s late.
const answerAfterChange = 300 * time.Millisecond

// outstanding is the attempts that are under way, by the node that they go to.
// Its zero value is ready for use.
type outstanding struct {
	mu     sync.Mutex
	byNode map[string]map[*attempt]struct{}
}

func (o *outstanding) add(a *attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byNode == nil {
		o.byNode = map[string]map[*attempt]struct{}{}
	}
	if o.byNode[a.node] == nil {
		o.byNode[a.node] = map[*attempt]struct{}{}
	}
	o.byNode[a.node][a] = struct{}{}
}

func (o *outstanding) remove(a *attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.byNode[a.node], a)
	if len(o.byNode[a.node]) == 0 {
		delete(o.byNode, a.node)
	}
}

// nodeChanged is told of a node's state in the list. It may be called with the list locked.
func (o *outstanding) nodeChanged(node string, state foxlift.WorkerState) {
	if state == foxlift.Live {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for a := range o.byNode[node] {
		time.AfterFunc(answerAfterChange, func() { a.nodeOffList(state) })
	}
}
