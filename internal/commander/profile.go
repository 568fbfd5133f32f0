package commander

import (
	"fmt"
	"net/url"
	"os"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
	"github.com/mulberryhaven/mulberryhaven/internal/operator"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

func newProfile(o *options) *cobra.Command {
	return newGroup("profile", "Work on profiles",
		newProfileList(o), newProfileGet(o), newProfileApply(o), newProfileHistory(o))
}

func profileTable(list []manager.Profile) table {
	t := table{header: []string{"Profile", "Version", "MaxUnavailable", "MaxUnavailablePercent", "MaxAtOnce"}}
	for _, p := range list {
		t.add(p.Profile, p.Version, p.Budget.MaxUnavailable, p.Budget.MaxUnavailablePercent, p.Wave.MaxAtOnce)
	}
	return t
}

func newProfileList(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the profiles", Args: exactly(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return show(cmd, o, "/api/profiles", profileTable)
		},
	}
}

func newProfileGet(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "get PROFILE", Short: "Print a profile as JSON, to edit and apply", Args: exactly(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var p manager.Profile
			if err := o.client().Get(cmd.Context(), "/api/profiles/"+url.PathEscape(args[0]), &p); err != nil {
				return err
			}
			asJSON := *o
			asJSON.output = outputJSON
			return asJSON.print(p, table{})
		},
	}
}

func newProfileHistory(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "history PROFILE", Short: "List the versions of a profile", Args: exactly(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return show(cmd, o, "/api/profiles/"+url.PathEscape(args[0])+"/history", profileTable)
		},
	}
}

func newProfileApply(o *options) *cobra.Command {
	var file, command string
	var dryRun bool
	cmd := &cobra.Command{
		Use:   "apply --file FILE",
		Short: "Store an edited profile; its Version must be the one that was read",
		Args:  exactly(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			p, err := readProfile(file)
			if err != nil {
				return errUsage{err}
			}
			if dryRun {
				return previewProfile(cmd, o, p)
			}
			change := operator.ProfileChange{Change: newChange(command), Profile: p}
			var stored manager.Profile
			if err := o.client().Post(cmd.Context(), "/api/profiles", change, &stored); err != nil {
				return explainChange(change.Change, err)
			}
			return o.print(stored, profileTable([]manager.Profile{stored}))
		},
	}
	cmd.Flags().StringVar(&file, "file", "", "the profile as JSON")
	cmd.Flags().BoolVar(&dryRun, "dry-run", false, "only show what would change and move")
	addCommandID(cmd, &command)
	_ = cmd.MarkFlagRequired("file")
	return cmd
}

func previewProfile(cmd *cobra.Command, o *options, p manager.Profile) error {
	var preview manager.ProfilePreview
	if err := o.client().Post(cmd.Context(), "/api/profiles/preview", p, &preview); err != nil {
		return fmt.Errorf("dry run: %w", err)
	}
	t := table{header: []string{"Object", "Name", "Change"}}
	for _, c := range preview.Changes {
		t.add("field", c.Field, fmt.Sprintf("%s to %s", c.From, c.To))
	}
	for _, c := range preview.Pools {
		t.add("pool", c.Pool, fmt.Sprintf("budget %d to %d of %d VMs, %d unavailable", c.BudgetFrom, c.BudgetTo, c.VMs, c.Unavailable))
	}
	for _, c := range preview.Waves {
		t.add("wave", c.Wave, fmt.Sprintf("%s: %s", c.State, c.Effect))
	}
	for _, m := range preview.Moves {
		t.add("move", m.VM, fmt.Sprintf("to pool %q: %s", m.To, m.Reason))
	}
	return o.print(preview, t)
}

func readProfile(file string) (manager.Profile, error) {
	var p manager.Profile
	f, err := os.Open(file)
	if err != nil {
		return p, fmt.Errorf("open profile: %w", err)
	}
	defer f.Close()
	if err := configurer.Decode(f, &p); err != nil {
		return p, fmt.Errorf("profile in %s: %w", file, err)
	}
	return p, nil
}

func addCommandID(cmd *cobra.Command, into *string) {
	cmd.Flags().StringVar(into, "command-id", "", "id of the change; give the same one to resend it")
}

func newChange(command string) operator.Change {
	if command == "" {
		command = uuid.Must(uuid.NewV7()).String()
	}
	return operator.Change{CommandID: manager.CommandID(command)}
}

// explainChange names the id with which a change whose outcome is unknown may be sent again.
func explainChange(c operator.Change, err error) error {
	return fmt.Errorf("change (--command-id %s): %w", c.CommandID, err)
}

// show reads a list and prints it.
func show[T any](cmd *cobra.Command, o *options, path string, text func([]T) table) error {
	var list []T
	if err := o.client().Get(cmd.Context(), path, &list); err != nil {
		return err
	}
	return o.print(list, text(list))
}
