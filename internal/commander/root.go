package commander

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"github.com/mulberryhaven/mulberryhaven/internal/caller"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Exit codes of the program.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// Environment variables that stand in for flags.
const (
	envGateway = "MULBERRYHAVEN_GATEWAY"
	envToken   = "MULBERRYHAVEN_TOKEN"
)

// errUsage marks errors in how the program was called.
type errUsage struct{ cause error }

func (e errUsage) Error() string { return e.cause.Error() }
func (e errUsage) Unwrap() error { return e.cause }

// options are the flags that all operators' commands share.
type options struct {
	gateway string
	token   string
	output  string
	out     io.Writer
}

func (o *options) client() *caller.Client {
	url := o.gateway
	if !strings.Contains(url, "://") {
		url = "http://" + url
	}
	return &caller.Client{URL: strings.TrimSuffix(url, "/"), Token: o.token}
}

// Execute runs the program and returns its exit code.
func Execute(args []string, out, errOut io.Writer) int {
	root := newRoot(out)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	if found, ok := errors.AsType[errFindings](err); ok {
		return found.code
	}
	fmt.Fprintln(errOut, "mulberryhaven:", err)
	if _, ok := errors.AsType[errUsage](err); ok {
		return ExitUsage
	}
	return ExitFailure
}

func newRoot(out io.Writer) *cobra.Command {
	o := &options{out: out}
	root := &cobra.Command{
		Use:           "mulberryhaven",
		Short:         "Fleet capacity and maintenance manager",
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          group,
		Args:          cobra.ArbitraryArgs,
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error {
			if err := errors.Join(cmd.ValidateRequiredFlags(), cmd.ValidateFlagGroups()); err != nil {
				return errUsage{err}
			}
			if o.output != outputText && o.output != outputJSON {
				return errUsage{manager.ErrInvalid{Field: "--output", Reason: `must be "text" or "json"`}}
			}
			return nil
		},
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return errUsage{err} })
	flags := root.PersistentFlags()
	flags.StringVar(&o.gateway, "gateway", defaultEnv(envGateway, "127.0.0.1:8080"), "address or URL of any gateway ("+envGateway+")")
	flags.StringVar(&o.token, "token", os.Getenv(envToken), "operators' bearer token ("+envToken+")")
	flags.StringVar(&o.output, "output", outputText, `"text" or "json"`)
	root.AddCommand(
		newServe(), newFleetNode(), newExplain(), newDemo(o), newConfig(o), newStatus(o), newProfile(o), newWave(o),
		newPool(o), newVM(o), newUpstream(o), newJob(o), newState(o), newReplica(o),
	)
	return root
}

func defaultEnv(name, value string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return value
}

// group is the action of a command that only holds others.
func group(cmd *cobra.Command, args []string) error {
	if len(args) > 0 {
		return errUsage{fmt.Errorf("%s: %w", cmd.CommandPath(), manager.ErrNotExist{Kind: "command", Name: args[0]})}
	}
	return cmd.Help()
}

func newGroup(use, short string, commands ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{Use: use, Short: short, RunE: group, Args: cobra.ArbitraryArgs}
	cmd.AddCommand(commands...)
	return cmd
}

// atLeast returns an argument check whose error is one of usage.
func atLeast(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := cobra.MinimumNArgs(n)(cmd, args); err != nil {
			return errUsage{err}
		}
		return nil
	}
}

// exactly returns an argument check whose error is one of usage.
func exactly(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(n)(cmd, args); err != nil {
			return errUsage{err}
		}
		return nil
	}
}
