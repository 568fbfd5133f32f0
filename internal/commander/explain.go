package commander

import (
	"fmt"
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/mulberryhaven/mulberryhaven/internal/explainer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// errNotFound reports that no log line names the subject.
var errNotFound = eris.New("no line of these logs names it")

func newExplain() *cobra.Command {
	var s explainer.Subject
	var version uint64
	cmd := &cobra.Command{
		Use:   "explain (--request ID | --vm ID | --version N) [FILE...]",
		Short: "Print the way of a request, a VM or a configuration version through the logs of several nodes",
		Long: "Print the way of a request, a VM or a configuration version through the logs of several nodes, each decision\n" +
			"with its inputs, and the likely causes. Without files, standard input is read.",
		RunE: func(cmd *cobra.Command, files []string) error {
			s.Version = manager.Version(version)
			lines, err := readLogs(cmd, files)
			if err != nil {
				return err
			}
			way, causes := explainer.Explain(s, lines)
			if len(way) == 0 {
				return errNotFound
			}
			explainer.Print(cmd.OutOrStdout(), way, causes)
			return nil
		},
	}
	cmd.Flags().StringVar(&s.Request, "request", "", "id of a job")
	cmd.Flags().StringVar(&s.VM, "vm", "", "id of a VM")
	cmd.Flags().Uint64Var(&version, "version", 0, "version of a configuration")
	cmd.MarkFlagsOneRequired("request", "vm", "version")
	cmd.MarkFlagsMutuallyExclusive("request", "vm", "version")
	return cmd
}

func readLogs(cmd *cobra.Command, files []string) ([]explainer.Line, error) {
	if len(files) == 0 {
		lines, err := explainer.Read(cmd.InOrStdin())
		if err != nil {
			return nil, fmt.Errorf("standard input: %w", err)
		}
		return lines, nil
	}
	var all []explainer.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errUsage{fmt.Errorf("open log: %w", err)}
		}
		lines, err := explainer.Read(f)
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		all = append(all, lines...)
	}
	return all, nil
}
