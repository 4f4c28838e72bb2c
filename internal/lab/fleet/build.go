package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// RunWithProgram builds the scheduler aside, runs tests with the path of the binary, removes it and
// returns the tests' exit code; 1 if there is no binary.
func RunWithProgram(run func(program string) int) int {
	program, remove, err := BuildAside()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer remove()
	return run(program)
}

// BuildAside builds the scheduler in a folder of its own and returns the binary's path, and what
// removes the folder.
func BuildAside() (program string, remove func(), err error) {
	dir, err := os.MkdirTemp("", "foxlift-build-")
	if err != nil {
		return "", nil, err
	}
	remove = func() { os.RemoveAll(dir) }
	program = filepath.Join(dir, "foxlift")
	out, err := exec.Command("go", "build", "-o", program, "github.com/vatu-meals/foxlift/cmd/foxlift").CombinedOutput()
	if err != nil {
		remove()
		return "", nil, fmt.Errorf("go build: %w\n%s", err, out)
	}
	return program, remove, nil
}
