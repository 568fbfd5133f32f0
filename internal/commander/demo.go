package commander

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/mulberryhaven/mulberryhaven/internal/demonstrator"
	"github.com/mulberryhaven/mulberryhaven/internal/logger"
)

func newDemo(o *options) *cobra.Command {
	d := &demonstrator.Demo{Out: o.out}
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run the whole system on loopback and show what it does",
		Args:  exactly(0),
		RunE: func(*cobra.Command, []string) error {
			if err := logger.Setup(os.Stderr, "demo", 0); err != nil {
				return err
			}
			ctx, _, end := watchSignals()
			defer end()
			return d.Run(ctx)
		},
	}
	cmd.Flags().BoolVar(&d.Hold, "hold", false, "keep the system running and print its addresses")
	return cmd
}
