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

// Default paths of the measurements and of the page of them.
const (
	measuredPath = "docs/capacity/measured.json"
	pagePath     = "docs/CAPACITY.md"
)

// capacityFlags are the flags of the command.
type capacityFlags struct {
	capacity.Options
	check       bool // compare the page with the measurements
	render      bool // write the page from the measurements
	faults      bool // run the trial
	faultsTrial capacity.FaultsOptions
	measured    string // path of the measurements
	page        string // path of the page
}

// capacityCommand measures how costs grow with the size of a deployment.
func capacityCommand() *cobra.Command {
	f := capacityFlags{faultsTrial: capacity.DefaultFaults}
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Measure how costs grow with the size of a deployment, and carry them to the size designed for",
		Args:  cobra.NoArgs,
		Long: `capacity measures decisions, the list, running tasks, calls to discovery and a scheduler process
without a job at five sizes or more each. A whole run writes its measurements to --measured and the page
of them to --page; a run of some dimensions, or a --short one, writes nothing. --check measures nothing:
it writes the page anew from the measurements and exits with code 1 where it differs.

--faults starts a scheduler process again and again with the list that it has kept, while the list
changes and the file is torn, spoilt or old; it exits with code 1 if a start took more from discovery
than what has changed, or did not come to the list as it is. --without keeps no list, for comparison.`,
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
	cmd.Flags().BoolVar(&f.check, "check", false, "only see that the page is what the measurements give")
	cmd.Flags().BoolVar(&f.render, "render", false, "only write the page anew from the measurements")
	cmd.Flags().BoolVar(&f.faults, "faults", false, "only the trial of starts with a list that is kept")
	cmd.Flags().BoolVar(&f.faultsTrial.WithoutCheckpoint, "without", false, "with --faults: no list is kept")
	cmd.Flags().IntVar(&f.faultsTrial.Workers, "workers", f.faultsTrial.Workers, "with --faults: workers in the list")
	cmd.Flags().IntVar(&f.faultsTrial.Starts, "starts", f.faultsTrial.Starts, "with --faults: starts of the process")
	cmd.Flags().BoolVar(&f.Short, "short", false, "few and small sizes, to see that it works")
	cmd.Flags().StringSliceVar(&f.Dimensions, "dimension", nil, "only these")
	cmd.Flags().StringVar(&f.Program, "build", "", "the scheduler's binary; built aside if not given")
	cmd.Flags().Uint64Var(&f.Seed, "seed", 1, "of what is drawn")
	cmd.Flags().StringVar(&f.measured, "measured", measuredPath, "the measurements")
	cmd.Flags().StringVar(&f.page, "page", pagePath, "the page")
	return cmd
}

// run measures, and writes what a whole run has measured.
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

// writePage writes the page of measurements that are there.
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

// write writes the measurements and the page, the page first: it may turn out that it cannot be.
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
