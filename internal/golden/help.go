package golden

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/spf13/cobra"
)

// Help returns the --help texts of a root command and all of its subcommands. root returns a new command for each call,
// because flags keep their values between executions.
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
			t.Fatalf("command %q --help: %v", path, err)
		}
		text.WriteByte('\n')
	}
	return text.Bytes()
}

// commandPaths returns the paths of a command, which is empty, and of all commands below it: the subcommand names, in
// order.
func commandPaths(cmd *cobra.Command) [][]string {
	paths := [][]string{{}}
	for _, sub := range cmd.Commands() {
		for _, path := range commandPaths(sub) {
			paths = append(paths, append([]string{sub.Name()}, path...))
		}
	}
	return paths
}
