package fleet

import (
	"fmt"
	"slices"
)

// adminVariable begins the setting of the operators' address in a process's environment.
const adminVariable = "LB_ADMIN="

// Successor prepares another process in the place of process i, as the platform does for an
// upgrade: the configuration, the environment and the folder for temporary files are the same,
// and only the operators' address is another one. It needs Options.Admin.
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
	// Of a variable that is there twice, the last one holds.
	next.env = append(slices.Clone(base.env), adminVariable+admin)
	f.successors = append(f.successors, next)
	return next, nil
}
