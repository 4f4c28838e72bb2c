package main

import (
	"testing"

	"github.com/vatu-meals/foxlift/internal/golden"
)

// TestHelp compares the help text of each command with the golden file, so that no command, flag or default changes
// unnoticed.
func TestHelp(t *testing.T) { golden.Check(t, "help.txt", golden.Help(t, rootCommand)) }
