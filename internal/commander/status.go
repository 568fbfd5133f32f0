package commander

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/mulberryhaven/mulberryhaven/internal/operator"
)

func newStatus(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the system's state: gateways, pools and waves",
		Args:  exactly(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			var s operator.Status
			if err := o.client().Get(cmd.Context(), "/api/status", &s); err != nil {
				return err
			}
			t := table{header: []string{"Object", "Name", "State"}}
			t.add("state", "revision", s.Revision)
			t.add("upstreams", "known here", s.Upstreams)
			for _, g := range s.Gateways {
				t.add("gateway", g.Gateway, fmt.Sprintf("revision %d, heard %d ms ago", g.Revision, g.HeardMsAgo))
			}
			for _, p := range s.Pools {
				t.add("pool", p.Pool, fmt.Sprintf("%d VMs, %d unavailable of %d allowed", p.VMs, p.Unavailable, p.Budget))
			}
			for _, w := range s.Waves {
				t.add("wave", w.Wave, fmt.Sprintf("%s %s", w.State, w.Reason))
			}
			return o.print(s, t)
		},
	}
}
