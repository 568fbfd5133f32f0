package commander

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
)

func newConfig(o *options) *cobra.Command {
	var fleet bool
	check := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file",
		Args:  exactly(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if fleet {
				s, err := configurer.ReadFleetNode(args[0])
				if err != nil {
					return errUsage{err}
				}
				fmt.Fprintf(o.out, "%s: node %s, replica %t: fine\n", args[0], s.Node, s.DataFolder != "")
				return nil
			}
			s, err := configurer.Read(args[0])
			if err != nil {
				return errUsage{err}
			}
			fmt.Fprintf(o.out, "%s: node %s, services %v: fine\n", args[0], s.Node, s.Services)
			return nil
		},
	}
	check.Flags().BoolVar(&fleet, "fleet", false, "the file is for the command fleet")
	return newGroup("config", "Work on settings files", check)
}
