package golden

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/spf13/cobra"
)

// Help returns what a command line and all of its commands print for --help. root makes the command
// line anew for each call, since flags keep their values.
func Help(t testing.TB, root func() *cobra.Command) []byte {
	t.Helper()
	var text bytes.Buffer
	for _, path := range commandPaths(root()) {
		fmt.Fprintf(&text, "# %q\n", path)
		cmd := root()
		cmd.SetOut(&text)
		cmd.SetErr(&text)
		cmd.SetArgs(append(path, "--help"))
		if err := cmd.Execute(); err != nil {
			t.Fatalf("%q: %v", path, err)
		}
		text.WriteByte('\n')
	}
	return text.Bytes()
}

// commandPaths returns the words by which a command and those below it are called.
func commandPaths(cmd *cobra.Command) [][]string {
	paths := [][]string{{}}
	for _, sub := range cmd.Commands() {
		for _, path := range commandPaths(sub) {
			paths = append(paths, append([]string{sub.Name()}, path...))
		}
	}
	return paths
}
