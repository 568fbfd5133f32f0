package bencher

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const output = `goos: linux
BenchmarkSurge/cathode/real-10   1   100 ns/op   0.97 goodput
BenchmarkSurge/cathode/real-10   1   300 ns/op   0.99 goodput
BenchmarkSurge/cathode/real-10   1   200 ns/op   0.98 goodput
BenchmarkSurge/cathode/naive-10  1   100 ns/op   0.50 goodput
BenchmarkPlan/real/workers=50-10     1   10 ns/op
BenchmarkPlan/real/workers=500-10    1   120 ns/op
PASS
`

func ptr(f float64) *float64 { return &f }

func TestReadKeepsMedians(t *testing.T) {
	rows, err := Read(strings.NewReader(output))
	require.NoError(t, err)
	require.Contains(t, rows, Row{Benchmark: "Surge/cathode/real", Unit: "goodput", Value: 0.98})
	require.Contains(t, rows, Row{Benchmark: "Surge/cathode/real", Unit: "ns/op", Value: 200})
	require.Len(t, rows, 6)
}

func TestCheckFindsBreaches(t *testing.T) {
	rows, err := Read(strings.NewReader(output))
	require.NoError(t, err)
	real, naive := "Surge/cathode/real", "Surge/cathode/naive"
	tests := []struct {
		name  string
		bound Bound
		want  string
	}{
		{"met", Bound{Benchmark: real, Unit: "goodput", Min: ptr(0.95)}, ""},
		{"below", Bound{Benchmark: naive, Unit: "goodput", Min: ptr(0.95)}, "0.5 is less than 0.95"},
		{"above", Bound{Benchmark: real, Unit: "ns/op", Max: ptr(199)}, "200 is more than 199"},
		{"ratio met", Bound{Benchmark: real, Unit: "goodput", Against: naive, MinRatio: ptr(1.9)}, ""},
		{"ratio missed", Bound{Benchmark: naive, Unit: "goodput", Against: real, MinRatio: ptr(1)}, "0.5 is less than 1 times 0.98"},
		{"ratio above", Bound{Benchmark: real, Unit: "ns/op", Against: naive, MaxRatio: ptr(1.5)}, "200 is more than 1.5 times 100"},
		{"missing", Bound{Benchmark: "Gone", Unit: "ns/op", Max: ptr(1)}, "did not run"},
		{"missing base", Bound{Benchmark: real, Unit: "ns/op", Against: "Gone", MaxRatio: ptr(1)}, "Gone did not run"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			breaches := Check(rows, []Bound{tt.bound})
			if tt.want == "" {
				require.Empty(t, breaches)
				return
			}
			require.Len(t, breaches, 1)
			require.Equal(t, tt.want, breaches[0].Reason)
		})
	}
}

func TestPlotWritesFigures(t *testing.T) {
	rows, err := Read(strings.NewReader(output))
	require.NoError(t, err)
	folder := t.TempDir()
	require.NoError(t, Plot(folder, rows))
	files, err := filepath.Glob(filepath.Join(folder, "*.svg"))
	require.NoError(t, err)
	require.Equal(t, []string{filepath.Join(folder, "Plan-ns-op.svg")}, files)
}

func TestBoundsOfTheProjectAreValid(t *testing.T) {
	bounds, err := ReadBounds("../../benchmarks/bounds.json")
	require.NoError(t, err)
	require.NotEmpty(t, bounds)
}

func TestReadBoundsRefuses(t *testing.T) {
	for name, text := range map[string]string{
		"no limit":   `[{"Benchmark":"A","Unit":"u","Source":"s"}]`,
		"no source":  `[{"Benchmark":"A","Unit":"u","Max":1}]`,
		"no base":    `[{"Benchmark":"A","Unit":"u","MaxRatio":1,"Source":"s"}]`,
		"unknown":    `[{"Benchmark":"A","Unit":"u","Maximum":1,"Source":"s"}]`,
		"no metrics": `[{"Source":"s","Max":1}]`,
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "bounds.json")
			require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
			_, err := ReadBounds(file)
			require.Error(t, err)
		})
	}
}
