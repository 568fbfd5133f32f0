package commander

import (
	"net/url"

	"github.com/spf13/cobra"

	"github.com/mulberryhaven/mulberryhaven/internal/operator"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

func newPool(o *options) *cobra.Command {
	return newGroup("pool", "Look at pools", &cobra.Command{
		Use: "list", Short: "List the pools with their budgets, their idle VMs and the reserve that is wanted, and why", Args: exactly(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			var s operator.Status
			if err := o.client().Get(cmd.Context(), "/api/status", &s); err != nil {
				return err
			}
			var reserves []manager.PoolReserve
			if err := o.client().Get(cmd.Context(), "/api/pools/reserves", &reserves); err != nil {
				return err
			}
			list := joinPools(s.Pools, reserves)
			t := table{header: []string{"Pool", "VMs", "Unavailable", "Budget", "Busy", "Idle", "ReserveWanted", "Why"}}
			for _, p := range list {
				t.add(p.Pool, p.VMs, p.Unavailable, p.Budget, p.Reserve.Busy, p.Reserve.Idle, p.Reserve.ReserveWanted, p.Reserve.Reason)
			}
			return o.print(list, t)
		},
	})
}

// poolLine is a pool's budget and its reserve.
type poolLine struct {
	operator.PoolStatus
	Reserve manager.PoolReserve
}

func joinPools(pools []operator.PoolStatus, reserves []manager.PoolReserve) []poolLine {
	byPool := map[manager.PoolID]manager.PoolReserve{}
	for _, r := range reserves {
		byPool[r.Pool] = r
	}
	list := make([]poolLine, 0, len(pools))
	for _, p := range pools {
		list = append(list, poolLine{PoolStatus: p, Reserve: byPool[p.Pool]})
	}
	return list
}

func newVM(o *options) *cobra.Command {
	return newGroup("vm", "Look at VMs", newVMList(o), newVMExplain(o))
}

func newVMList(o *options) *cobra.Command {
	return &cobra.Command{
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
	}
}

func newVMExplain(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "explain VM", Short: "Say where a VM is, what is done to it and why", Args: exactly(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var e operator.VMExplanation
			if err := o.client().Get(cmd.Context(), "/api/vms/"+url.PathEscape(args[0]), &e); err != nil {
				return err
			}
			t := table{header: []string{"VM " + string(e.VM.VM)}}
			for _, line := range e.Lines {
				t.add(line)
			}
			return o.print(e, t)
		},
	}
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
