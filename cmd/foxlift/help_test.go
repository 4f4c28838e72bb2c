package main

import (
	"testing"

	"github.com/vatu-meals/foxlift/internal/golden"
)

// TestHelp compares the help text of each command with a golden file, since operators' scripts use the names of the
// commands and flags.
func TestHelp(t *testing.T) {
	t.Setenv("FOXLIFT_CONTROL", "") // the default of a flag
	golden.Check(t, "help.txt", golden.Help(t, newRootCommand))
}
