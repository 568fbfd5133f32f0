package commander

import (
	"fmt"
	"net/url"

	"github.com/spf13/cobra"

	"github.com/mulberryhaven/mulberryhaven/internal/operator"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

func newWave(o *options) *cobra.Command {
	return newGroup("wave", "Plan, approve and watch maintenance waves",
		newWavePlan(o), newWaveApprove(o), newWaveStatus(o), newWavePause(o), newWaveResume(o), newWaveCancel(o))
}

func wavePath(id, action string) string {
	return "/api/waves/" + url.PathEscape(id) + action
}

func waveTable(w manager.Wave) table {
	t := table{header: []string{"VM", "Pool", "Batch", "StartMs", "State", "BudgetLeft", "Reason"}}
	for _, s := range w.Steps {
		t.add(s.VM, s.Pool, s.Batch, s.StartMs, s.State, s.BudgetLeft, s.Reason)
	}
	t.add("", "", "", "", "", "", "")
	t.add("wave", w.Wave, fmt.Sprintf("plan %d", w.PlanVersion), "", w.State, "", w.Reason)
	t.add("expected", fmt.Sprintf("%d ms", w.ExpectedMs), "bound", fmt.Sprintf("%d ms", w.BoundMs), "", "", "")
	return t
}

func newWavePlan(o *options) *cobra.Command {
	var pools []string
	var command string
	cmd := &cobra.Command{
		Use: "plan WAVE --pool POOL...", Short: "Plan a wave over pools; nothing happens until it is approved", Args: exactly(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			change := operator.WaveChange{Change: newChange(command), Wave: manager.WaveID(args[0])}
			for _, p := range pools {
				change.Pools = append(change.Pools, manager.PoolID(p))
			}
			return changeWave(cmd, o, "/api/waves", change.Change, change)
		},
	}
	cmd.Flags().StringSliceVar(&pools, "pool", nil, "pool to maintain; repeat for more")
	addCommandID(cmd, &command)
	_ = cmd.MarkFlagRequired("pool")
	return cmd
}

func newWaveApprove(o *options) *cobra.Command {
	var version uint64
	var command string
	cmd := &cobra.Command{
		Use: "approve WAVE --plan-version N", Short: "Start a planned wave if its plan still has this version", Args: exactly(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			approval := operator.WaveApproval{Change: newChange(command), PlanVersion: manager.Version(version)}
			return changeWave(cmd, o, wavePath(args[0], "/approve"), approval.Change, approval)
		},
	}
	cmd.Flags().Uint64Var(&version, "plan-version", 0, "version of the plan that was read")
	addCommandID(cmd, &command)
	_ = cmd.MarkFlagRequired("plan-version")
	return cmd
}

func newWaveCancel(o *options) *cobra.Command {
	return newWaveChange(o, "cancel", "Cancel a wave; VMs that drain return to service")
}

func newWavePause(o *options) *cobra.Command {
	return newWaveChange(o, "pause", "Let a wave take no more VMs until it is resumed")
}

func newWaveResume(o *options) *cobra.Command {
	return newWaveChange(o, "resume", "Let a wave go on, despite the VMs that are lost now")
}

// newWaveChange returns a command that changes a wave's state by an action of its path.
func newWaveChange(o *options, action, short string) *cobra.Command {
	var command string
	cmd := &cobra.Command{
		Use: action + " WAVE", Short: short, Args: exactly(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			change := newChange(command)
			return changeWave(cmd, o, wavePath(args[0], "/"+action), change, change)
		},
	}
	addCommandID(cmd, &command)
	return cmd
}

func newWaveStatus(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "status WAVE", Short: "Show a wave's steps and what it waits for", Args: exactly(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var w manager.Wave
			if err := o.client().Get(cmd.Context(), wavePath(args[0], ""), &w); err != nil {
				return err
			}
			return o.print(w, waveTable(w))
		},
	}
}

func changeWave(cmd *cobra.Command, o *options, path string, change operator.Change, body any) error {
	var w manager.Wave
	if err := o.client().Post(cmd.Context(), path, body, &w); err != nil {
		return explainChange(change, err)
	}
	return o.print(w, waveTable(w))
}
