package fleet

import (
	"context"
	"fmt"
	"os"

	"github.com/vatu-meals/foxlift/internal/lab"
)

// RunWithProgram builds the scheduler in a temporary directory, calls run with the path of the binary,
// removes the directory and returns run's exit code; 1 if the build fails. It is meant for TestMain,
// which has no context.
func RunWithProgram(run func(program string) int) int {
	program, remove, err := BuildInTempDir(context.Background())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer remove()
	return run(program)
}

// BuildInTempDir builds the scheduler in a new temporary directory. It returns the path of the binary
// and a function that removes the directory; the function is nil if the build fails.
func BuildInTempDir(ctx context.Context) (program string, remove func(), err error) {
	dir, err := os.MkdirTemp("", "foxlift-build-")
	if err != nil {
		return "", nil, err
	}
	remove = func() { os.RemoveAll(dir) }
	program, err = lab.BuildScheduler(ctx, "", dir)
	if err != nil {
		remove()
		return "", nil, fmt.Errorf("build scheduler: %w", err)
	}
	return program, remove, nil
}
