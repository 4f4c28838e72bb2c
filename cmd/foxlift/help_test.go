package main

import (
	"testing"

	"github.com/vatu-meals/foxlift/internal/golden"
)

// TestHelp pins what each command says of itself: operators' scripts use its names and flags.
func TestHelp(t *testing.T) {
	t.Setenv("FOXLIFT_CONTROL", "") // a flag's default
	golden.Check(t, "help.txt", golden.Help(t, newRootCommand))
}
