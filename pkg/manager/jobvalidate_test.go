package manager_test

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

func TestJobWithValuesThatOverflowIsRefused(t *testing.T) {
	long := strings.Repeat("x", 100_000)
	job := func(change func(*manager.Graph)) manager.Graph {
		g := manager.Graph{
			Graph: "a", Queue: "q", Repeat: manager.Repeat{Count: 3, FirstAt: 1_700_000_000_000, IntervalMs: 4500},
			Steps: []manager.GraphStep{{Count: 2, EstimateMs: 900, PerTask: manager.Resources{ProcessorMilliCores: 500}}, {Count: 1, DependsOn: []int{0}}},
		}
		change(&g)
		return g
	}
	require.NoError(t, job(func(*manager.Graph) {}).Validate())
	for name, change := range map[string]func(*manager.Graph){
		"estimate near the maximum":   func(g *manager.Graph) { g.Steps[0].EstimateMs = math.MaxInt64 },
		"negative estimate":           func(g *manager.Graph) { g.Steps[0].EstimateMs = -1 },
		"processors near the maximum": func(g *manager.Graph) { g.Steps[0].PerTask.ProcessorMilliCores = math.MaxInt64 },
		"memory near the maximum":     func(g *manager.Graph) { g.Steps[1].PerTask.MemoryMegaBytes = math.MaxInt64 },
		"negative accelerators":       func(g *manager.Graph) { g.Steps[1].PerTask.Accelerators = -1 },
		"a billion tasks":             func(g *manager.Graph) { g.Steps[0].Count = 1_000_000_000 },
		"no task":                     func(g *manager.Graph) { g.Steps[0].Count = 0 },
		"negative tail target":        func(g *manager.Graph) { g.Steps[0].TailTargetMs = -1 },
		"tail target":                 func(g *manager.Graph) { g.Steps[0].TailTargetMs = math.MaxInt64 },
		"negative limit per worker":   func(g *manager.Graph) { g.Steps[0].MaxPerWorker = -1 },
		"negative unavailability":     func(g *manager.Graph) { g.Steps[0].MaxUnavailable = math.MinInt },
		"long label":                  func(g *manager.Graph) { g.Steps[0].Requires = manager.Label(long) },
		"long rack":                   func(g *manager.Graph) { g.Steps[0].DataRack = manager.Label(long) },
		"long image":                  func(g *manager.Graph) { g.Steps[0].Image = manager.ImageID(long) },
		"a million dependencies":      func(g *manager.Graph) { g.Steps[1].DependsOn = make([]int, 1_000_000) },
		"first time":                  func(g *manager.Graph) { g.Repeat.FirstAt = math.MaxInt64 },
		"interval":                    func(g *manager.Graph) { g.Repeat.IntervalMs = math.MaxInt64 },
		"negative count":              func(g *manager.Graph) { g.Repeat.Count = -1 },
		"a billion occurrences":       func(g *manager.Graph) { g.Repeat.Count = 1_000_000_000 },
	} {
		require.True(t, manager.IsErrInvalid(job(change).Validate()), name)
	}
	largest := job(func(g *manager.Graph) {
		g.Repeat = manager.Repeat{Count: manager.MaxOccurrences, FirstAt: manager.MaxTime, IntervalMs: manager.MaxDuration}
	})
	require.NoError(t, largest.Validate())
	for k := 1; k < manager.MaxOccurrences; k++ {
		require.Greater(t, largest.Repeat.DueAt(k), largest.Repeat.DueAt(k-1))
	}
}
