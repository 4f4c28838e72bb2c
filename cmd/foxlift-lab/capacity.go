package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/vatu-meals/foxlift/internal/lab/capacity"
	"github.com/vatu-meals/foxlift/internal/lab/fleet"
)

// Default paths of the measurements and of the page that shows them.
const (
	measuredPath = "docs/capacity/measured.json"
	pagePath     = "docs/CAPACITY.md"
)

// capacityFlags are the flags of the command capacity.
type capacityFlags struct {
	capacity.Options
	check       bool // only compare the page with the measurements
	render      bool // only write the page from the measurements
	faults      bool // run faultsTrial in place of the measurements
	faultsTrial capacity.FaultsOptions
	measured    string // path of the file with the measurements
	page        string // path of the page
}

// capacityCommand returns the command that measures how costs grow with the size of a deployment.
func capacityCommand() *cobra.Command {
	f := capacityFlags{faultsTrial: capacity.DefaultFaults}
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Measure how costs grow with the size of a deployment, and extrapolate them to the design size",
		Args:  cobra.NoArgs,
		Long: `capacity measures the cost of decisions, of the endpoint list, of running tasks, of calls to discovery
and of an idle scheduler process, each at five or more sizes, and extrapolates the costs to the size that
foxlift is designed for. A complete run writes its measurements to --measured and a page that shows them
to --page. A run of single dimensions (--dimension) or with --short writes neither file.

--check measures nothing. It renders the page from the measurements, compares it with --page and exits
with code 1 if they differ.

--faults measures restarts in place of costs. It starts a scheduler process repeatedly with the checkpoint
of the endpoint list that the process wrote, while the list changes and the checkpoint is truncated,
corrupted or outdated. It exits with code 1 if a start received more bytes from discovery than the changes
explain, did not reach the current list, ignored a usable checkpoint or used an unusable one, if a process
did not exit with code 0, or if no start had a usable checkpoint. With --without the processes write no
checkpoint, for comparison.

Every run exits with code 1 if it fails.`,
		Example: "  go run ./cmd/foxlift-lab capacity --short\n" +
			"  go run ./cmd/foxlift-lab capacity --check\n" +
			"  go run ./cmd/foxlift-lab capacity --faults --seed 2",
		RunE: func(cmd *cobra.Command, _ []string) error {
			switch {
			case f.check:
				return capacity.CheckFiles(f.page, f.measured)
			case f.render:
				return f.writePage()
			}
			return f.run(cmd)
		},
	}
	cmd.Flags().BoolVar(&f.check, "check", false,
		"only compare the page with the measurements; exit with code 1 if they differ")
	cmd.Flags().BoolVar(&f.render, "render", false, "only write the page from the measurements")
	cmd.Flags().BoolVar(&f.faults, "faults", false, "only test restarts with a checkpoint of the endpoint list")
	cmd.Flags().BoolVar(&f.faultsTrial.WithoutCheckpoint, "without", false, "with --faults: write no checkpoint")
	cmd.Flags().IntVar(&f.faultsTrial.Workers, "workers", f.faultsTrial.Workers,
		"with --faults: workers in the endpoint list")
	cmd.Flags().IntVar(&f.faultsTrial.Starts, "starts", f.faultsTrial.Starts,
		"with --faults: number of starts of the scheduler process")
	cmd.Flags().BoolVar(&f.Short, "short", false,
		"measure few and small sizes, only to check that the command works")
	cmd.Flags().StringSliceVar(&f.Dimensions, "dimension", nil,
		"measure only these dimensions, separated by commas (default all)")
	cmd.Flags().StringVar(&f.Program, "build", "",
		"path of the scheduler's binary; built in a temporary folder if empty")
	cmd.Flags().Uint64Var(&f.Seed, "seed", 1, "seed of the random numbers")
	cmd.Flags().StringVar(&f.measured, "measured", measuredPath, "path of the measurements")
	cmd.Flags().StringVar(&f.page, "page", pagePath, "path of the page")
	return cmd
}

// run runs the measurements or, with --faults, the test of restarts. It writes the results of a complete measurement.
func (f *capacityFlags) run(cmd *cobra.Command) error {
	ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if f.Program == "" {
		program, remove, err := fleet.BuildInTempDir(ctx)
		if err != nil {
			return err
		}
		defer remove()
		f.Program = program
	}
	if f.faults {
		f.faultsTrial.Program, f.faultsTrial.Seed = f.Program, f.Seed
		r, err := f.faultsTrial.Run(ctx, cmd.OutOrStdout())
		return printResult(cmd, r, err)
	}
	result, err := capacity.Run(ctx, cmd.OutOrStdout(), f.Options)
	if err != nil {
		return err
	}
	if !f.Short && len(f.Dimensions) == 0 {
		if err := f.write(&result.Measured, cmd.OutOrStdout()); err != nil {
			return err
		}
	}
	fmt.Fprintln(cmd.OutOrStdout(), result.Line())
	return nil
}

// writePage writes the page from stored measurements.
func (f *capacityFlags) writePage() error {
	m, err := capacity.Load(f.measured)
	if err != nil {
		return err
	}
	page, err := capacity.Page(m)
	if err != nil {
		return err
	}
	return os.WriteFile(f.page, []byte(page), 0o644)
}

// write writes the measurements and the page. It renders the page first, so that it writes neither file if that fails.
func (f *capacityFlags) write(m *capacity.Measured, out io.Writer) error {
	page, err := capacity.Page(m)
	if err != nil {
		return err
	}
	if err := m.Save(f.measured); err != nil {
		return err
	}
	fmt.Fprintln(out, "written:", f.measured, f.page)
	return os.WriteFile(f.page, []byte(page), 0o644)
}
