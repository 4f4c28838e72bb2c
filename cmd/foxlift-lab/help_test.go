package main

import (
	"testing"

	"github.com/vatu-meals/foxlift/internal/golden"
)

// TestHelp pins what each command says of itself.
func TestHelp(t *testing.T) { golden.Check(t, "help.txt", golden.Help(t, rootCommand)) }
