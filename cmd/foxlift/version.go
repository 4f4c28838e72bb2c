package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// versionText returns the versions of the module, of the source revision, if known, and of Go; "unknown" if the program
// has no build information.
func versionText() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	text := info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			text += " " + setting.Value
		}
	}
	return text + " " + info.GoVersion
}

// newVersionCommand returns the command that prints the version.
func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintln(cmd.OutOrStdout(), "foxlift", versionText())
		},
	}
}
