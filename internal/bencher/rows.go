package bencher

import (
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"text/tabwriter"

	"golang.org/x/perf/benchfmt"
)

// Row is one metric of one benchmark.
type Row struct {
	Benchmark string
	Unit      string
	Value     float64
}

// processorSuffix is the number of processors that the testing package appends to names.
var processorSuffix = regexp.MustCompile(`-\d+$`)

// Read returns the metrics in the output of go test -bench, ordered by benchmark and unit; of
// repeated runs it keeps the median.
func Read(r io.Reader) ([]Row, error) {
	values := map[Row][]float64{}
	reader := benchfmt.NewReader(r, "benchmarks")
	for reader.Scan() {
		result, ok := reader.Result().(*benchfmt.Result)
		if !ok {
			continue
		}
		name := processorSuffix.ReplaceAllString(string(result.Name), "")
		for _, v := range result.Values {
			// The reader scales ns/op to seconds and keeps the unit as written beside it.
			unit, value := v.Unit, v.Value
			if v.OrigUnit != "" {
				unit, value = v.OrigUnit, v.OrigValue
			}
			key := Row{Benchmark: name, Unit: unit}
			values[key] = append(values[key], value)
		}
	}
	if err := reader.Err(); err != nil {
		return nil, fmt.Errorf("read benchmarks: %w", err)
	}
	rows := make([]Row, 0, len(values))
	for key, list := range values {
		slices.Sort(list)
		key.Value = list[len(list)/2]
		rows = append(rows, key)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return strings.Compare(a.Benchmark+" "+a.Unit, b.Benchmark+" "+b.Unit)
	})
	return rows, nil
}

// PrintTable writes the rows as a table.
func PrintTable(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "Benchmark\tValue\tUnit\t")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%.6g\t%s\t\n", r.Benchmark, r.Value, r.Unit)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	return nil
}

// PrintLines writes the rows as JSON lines.
func PrintLines(w io.Writer, rows []Row) error {
	e := json.NewEncoder(w)
	for _, r := range rows {
		if err := e.Encode(r); err != nil {
			return fmt.Errorf("print JSON line: %w", err)
		}
	}
	return nil
}
