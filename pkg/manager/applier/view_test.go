package applier_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/applier"
)

func viewFleet(vms int) *manager.LoadFleet {
	p := manager.Profile{
		Profile: "cathode", Budget: manager.Budget{MaxUnavailable: 1},
		Wave: manager.WaveRules{MaxAtOnce: 1, DrainLimitMs: 1000, Order: manager.WaveOrderName},
	}
	f := &manager.LoadFleet{Profiles: []manager.Profile{p}, Pools: []manager.Pool{{Pool: "pricing", Service: "pricing", Profile: "cathode"}}}
	for i := range vms {
		f.VMs = append(f.VMs, manager.VM{VM: manager.VMID(fmt.Sprintf("vm-%04d", i)), Pool: "pricing", AvailabilityZone: "a", Rack: "r"})
	}
	return f
}

func TestConfigurationRevisionCountsOnlyProfilesAndPools(t *testing.T) {
	s := applier.New()
	require.Nil(t, s.Apply(manager.Command{LoadFleet: viewFleet(3)}).Failure)
	before := s.Fleet()
	require.Nil(t, s.Apply(manager.Command{ObserveVM: &manager.ObserveVM{VM: "vm-0001", State: manager.VMFailed}}).Failure)
	require.Equal(t, before.Configuration, s.Fleet().Configuration)
	require.Greater(t, s.Fleet().Revision, before.Revision)
	require.Equal(t, manager.VMRunning, before.VMs[1].State, "an older view stays as it was")
	require.Equal(t, manager.VMFailed, s.Fleet().VMs[1].State)

	p := before.Profiles[0]
	p.Weights.Moves = 9
	refused := p
	refused.Version = 7
	require.NotNil(t, s.Apply(manager.Command{ApplyProfile: &manager.ApplyProfile{Profile: refused}}).Failure)
	require.Equal(t, before.Configuration, s.ConfigurationRevision())
	require.Nil(t, s.Apply(manager.Command{ApplyProfile: &manager.ApplyProfile{Profile: p}}).Failure)
	require.Equal(t, s.Fleet().Revision, s.ConfigurationRevision())
	require.Equal(t, 9, s.Fleet().Profiles[0].Weights.Moves)
}

func BenchmarkFleet(b *testing.B) {
	for _, changed := range []bool{false, true} {
		b.Run(fmt.Sprintf("vms=1500/changed=%t", changed), func(b *testing.B) {
			s := applier.New()
			s.Apply(manager.Command{LoadFleet: viewFleet(1_500)})
			states := []manager.VMState{manager.VMFailed, manager.VMRunning}
			for i := 0; b.Loop(); i++ {
				if changed {
					s.Apply(manager.Command{ObserveVM: &manager.ObserveVM{VM: "vm-0001", State: states[i%2]}})
				}
				s.Fleet()
			}
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, vms := range []int{150, 1_500} {
		for _, results := range []int{1_000, applier.MaxResults} {
			b.Run(fmt.Sprintf("vms=%d/results=%d", vms, results), func(b *testing.B) {
				s := applier.New()
				s.Apply(manager.Command{LoadFleet: viewFleet(vms)})
				for i := range results {
					s.Apply(manager.Command{
						Command: manager.CommandID(fmt.Sprint("c", i)), ObserveVM: &manager.ObserveVM{VM: "vm-0001", State: manager.VMFailed},
					})
				}
				var data []byte
				for b.Loop() {
					var err error
					data, err = s.Snapshot()
					require.NoError(b, err)
				}
				b.ReportMetric(float64(len(data)), "bytes")
			})
		}
	}
}
