package commander

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
)

func newConfig(o *options) *cobra.Command {
	return newGroup("config", "Work on settings files and configuration documents", newConfigCheck(o))
}

// checkSettings checks a settings file of the program.
func checkSettings(o *options, file string, fleet bool) error {
	if fleet {
		s, err := configurer.ReadFleetNode(file)
		if err != nil {
			return errUsage{err}
		}
		fmt.Fprintf(o.out, "%s: node %s, replica %t: fine\n", file, s.Node, s.DataFolder != "")
		return nil
	}
	s, err := configurer.Read(file)
	if err != nil {
		return errUsage{err}
	}
	fmt.Fprintf(o.out, "%s: node %s, services %v: fine\n", file, s.Node, s.Services)
	return nil
}
