package commander

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// Formats of the output.
const (
	outputText = "text"
	outputJSON = "json"
)

// table is the text form of an answer.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
	}
	t.rows = append(t.rows, row)
}

// print writes v as JSON or as the table, as the operator asked.
func (o *options) print(v any, t table) error {
	if o.output == outputJSON {
		e := json.NewEncoder(o.out)
		e.SetIndent("", "  ")
		if err := e.Encode(v); err != nil {
			return fmt.Errorf("print JSON: %w", err)
		}
		return nil
	}
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	return nil
}
