package commander

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
)

func newConfig(o *options) *cobra.Command {
	check := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file",
		Args:  exactly(1),
		RunE: func(_ *cobra.Command, args []string) error {
			s, err := configurer.Read(args[0])
			if err != nil {
				return errUsage{err}
			}
			fmt.Fprintf(o.out, "%s: node %s, services %v: fine\n", args[0], s.Node, s.Services)
			return nil
		},
	}
	return newGroup("config", "Work on settings files", check)
}
