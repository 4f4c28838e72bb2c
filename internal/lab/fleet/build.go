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
	dir, err := os.MkdirTemp("", "foxlift-build-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program, err := Build(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return run(program)
}

// Build builds the scheduler into a folder and returns the binary's path.
func Build(dir string) (program string, err error) {
	program = filepath.Join(dir, "foxlift")
	out, err := exec.Command("go", "build", "-o", program, "github.com/vatu-meals/foxlift/cmd/foxlift").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("go build: %w\n%s", err, out)
	}
	return program, nil
}
