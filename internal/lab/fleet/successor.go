package fleet

import (
	"fmt"
	"slices"
)

// adminVariable is the start of the environment entry that sets a process's admin address.
const adminVariable = "LB_ADMIN="

// Successor prepares another process in the place of process i, as the platform does for an upgrade:
// it has the same configuration, environment and directory for temporary files, and a different admin
// address. It does not start the process. It requires Options.Admin. KillAll and TerminateAll leave successors
// running; Close kills them.
func (f *Fleet) Successor(i int) (*Process, error) {
	admin, err := freeAddr()
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	base := f.Processes[i]
	next := &Process{
		Name: fmt.Sprintf("%s, successor %d", base.Name, len(f.successors)+1), Addr: base.Addr, AdminAddr: admin,
		program: f.Program, pastCounters: map[string]int64{},
	}
	// If a variable occurs twice, the last one is used.
	next.env = append(slices.Clone(base.env), adminVariable+admin)
	f.successors = append(f.successors, next)
	return next, nil
}
