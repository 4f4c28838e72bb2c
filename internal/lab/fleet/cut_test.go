package fleet

import (
	"testing"
	"time"

	"github.com/vatu-meals/foxlift/internal/standin"
)

// drainGrace is how long after a change of the list sends may still begin: as lab.World tells it in its
// settings, and the slack of the rules on sockets.
const drainGrace = 750*time.Millisecond + 50*time.Millisecond

// Nodes are cut off from the schedulers under load, and the list says that they are gone. When they can
// be reached again, no request that was written before reaches them: it would be a send to a node that
// is gone, as late as the cut was long.
func TestCutNodesGetNoLateRequests(t *testing.T) {
	f := small(t, 2, func(o *Options) {
		o.NodeLinks = true
		for i := range o.Classes {
			o.Classes[i].Wait = 20 * time.Second // requests outlive the cut
		}
	})
	must(t, f.StartAll(20*time.Second))
	awaitLists(t, f, f.Processes...)
	cut := f.Nodes()[:4]
	for _, n := range cut {
		silence(f, n)
	}
	l := f.StartLoad("cut", 200, 5)
	for _, n := range cut {
		await(t, n.Name+" has requests in the cut", func() bool { return waitingFor(f, n) > 0 })
	}
	for _, n := range cut {
		f.Discovery.Put(n, "left")
	}
	awaitVersion(t, f)
	told := time.Now()
	<-time.After(drainGrace)
	for _, n := range cut {
		heal(f, n)
	}
	for _, n := range cut {
		await(t, n.Name+" gets what was held back", func() bool { return waitingFor(f, n) == 0 })
	}
	ends(t, f, l, standin.Tally{})
	for _, n := range cut {
		if late := n.LastBegun().Sub(told); late > 0 {
			t.Errorf("a request reaches %s %v after all schedulers were told that it is gone", n.Name, late)
		}
	}
}

// silence holds back all that goes between the schedulers and a node.
func silence(f *Fleet, n *standin.Node) {
	for i := range f.Processes {
		f.NodeLink(i, n).Silence(There, Back)
	}
}

// heal passes it on again.
func heal(f *Fleet, n *standin.Node) {
	for i := range f.Processes {
		f.NodeLink(i, n).Heal()
	}
}

// waitingFor returns how many bytes for a node are held back.
func waitingFor(f *Fleet, n *standin.Node) (sum int) {
	for i := range f.Processes {
		sum += f.NodeLink(i, n).Waiting()
	}
	return sum
}

// awaitVersion waits until each process has been told the newest version of the list.
func awaitVersion(t *testing.T, f *Fleet) {
	t.Helper()
	version := f.Discovery.Version()
	for _, p := range f.Processes {
		await(t, p.Name+" has the newest list", func() bool { return f.Discovery.Told(p.Name) >= version })
	}
}
