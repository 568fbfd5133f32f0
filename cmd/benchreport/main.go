// Command benchreport reads the output of go test -bench, prints it as a table, writes JSON lines and
// plots, and fails if a bound of the targets is not met.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/mulberryhaven/mulberryhaven/internal/bencher"
)

var errBreach = eris.New("bounds are not met")

// options are the files of a report.
type options struct {
	bounds string
	lines  string
	plots  string
}

func main() {
	o := options{}
	cmd := &cobra.Command{
		Use:           "benchreport",
		Short:         "Check benchmarks on standard input against the bounds",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return o.run() },
	}
	cmd.Flags().StringVar(&o.bounds, "bounds", "benchmarks/bounds.json", "file of the bounds")
	cmd.Flags().StringVar(&o.lines, "lines", "", "file for the figures as JSON lines")
	cmd.Flags().StringVar(&o.plots, "plots", "", "folder for the plots")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "benchreport:", err)
		os.Exit(1)
	}
}

func (o options) run() error {
	bounds, err := bencher.ReadBounds(o.bounds)
	if err != nil {
		return err
	}
	rows, err := bencher.Read(os.Stdin)
	if err != nil {
		return err
	}
	if err := bencher.PrintTable(os.Stdout, rows); err != nil {
		return err
	}
	if err := o.write(rows); err != nil {
		return err
	}
	breaches := bencher.Check(rows, bounds)
	for _, b := range breaches {
		fmt.Printf("breach: %s %s: %s (%s)\n", b.Bound.Benchmark, b.Bound.Unit, b.Reason, b.Bound.Source)
	}
	fmt.Printf("%d of %d bounds met\n", len(bounds)-len(breaches), len(bounds))
	if len(breaches) > 0 {
		return errBreach
	}
	return nil
}

func (o options) write(rows []bencher.Row) error {
	if o.plots != "" {
		if err := bencher.Plot(o.plots, rows); err != nil {
			return err
		}
	}
	if o.lines == "" {
		return nil
	}
	f, err := os.Create(filepath.Clean(o.lines))
	if err != nil {
		return fmt.Errorf("create file of figures: %w", err)
	}
	defer f.Close()
	return bencher.PrintLines(f, rows)
}
