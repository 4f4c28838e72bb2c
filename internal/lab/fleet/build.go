package fleet

import (
	"context"
	"fmt"
	"os"

	"github.com/vatu-meals/foxlift/internal/lab"
)

// RunWithProgram builds the scheduler aside, runs tests with the path of the binary, removes it and
// returns the tests' exit code; 1 if there is no binary. It is for TestMain, which has no context.
func RunWithProgram(run func(program string) int) int {
	program, remove, err := BuildInTempDir(context.Background())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer remove()
	return run(program)
}

// BuildAside builds the scheduler in a folder of its own and returns the binary's path, and what
// removes the folder.
func BuildInTempDir(ctx context.Context) (program string, remove func(), err error) {
	dir, err := os.MkdirTemp("", "foxlift-build-")
	if err != nil {
		return "", nil, err
	}
	remove = func() { os.RemoveAll(dir) }
	program, err = lab.BuildScheduler(ctx, "", dir)
	if err != nil {
		remove()
		return "", nil, fmt.Errorf("go build: %w", err)
	}
	return program, remove, nil
}
