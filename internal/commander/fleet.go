package commander

import (
	"github.com/spf13/cobra"

	"github.com/mulberryhaven/mulberryhaven/internal/operator"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

func newPool(o *options) *cobra.Command {
	return newGroup("pool", "Look at pools", &cobra.Command{
		Use: "list", Short: "List the pools with their budgets", Args: exactly(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			var s operator.Status
			if err := o.client().Get(cmd.Context(), "/api/status", &s); err != nil {
				return err
			}
			t := table{header: []string{"Pool", "VMs", "Unavailable", "Budget"}}
			for _, p := range s.Pools {
				t.add(p.Pool, p.VMs, p.Unavailable, p.Budget)
			}
			return o.print(s.Pools, t)
		},
	})
}

func newVM(o *options) *cobra.Command {
	return newGroup("vm", "Look at VMs", &cobra.Command{
		Use: "list", Short: "List the VMs with the pool that owns each", Args: exactly(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return show(cmd, o, "/api/vms", func(list []manager.VM) table {
				t := table{header: []string{"VM", "Pool", "Zone", "Rack", "State", "Phase", "Reason"}}
				for _, v := range list {
					t.add(v.VM, v.Pool, v.AvailabilityZone, v.Rack, v.State, v.Phase, v.Reason)
				}
				return t
			})
		},
	})
}

func newUpstream(o *options) *cobra.Command {
	return newGroup("upstream", "Look at upstreams", &cobra.Command{
		Use: "list", Short: "List the upstreams that the gateway knows", Args: exactly(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return show(cmd, o, "/api/upstreams", func(list []manager.Member) table {
				t := table{header: []string{"Upstream", "Service", "VM", "Zone", "Address", "State", "InFlight"}}
				for _, m := range list {
					t.add(m.Upstream, m.Service, m.VM, m.AvailabilityZone, m.Address, m.State, m.InFlight)
				}
				return t
			})
		},
	})
}
