package bencher

import (
	"fmt"
	"os"

	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Bound is a target that one metric of one benchmark must meet; at least one limit is set.
type Bound struct {
	Benchmark string
	Unit      string
	// Min and Max bound the value itself.
	Min *float64 `json:",omitempty"`
	Max *float64 `json:",omitempty"`
	// Against names the benchmark whose value of the same unit divides this one for MaxRatio and MinRatio.
	Against  string   `json:",omitempty"`
	MaxRatio *float64 `json:",omitempty"`
	MinRatio *float64 `json:",omitempty"`
	// Source says which target the bound comes from.
	Source string
}

// Breach is a bound that was not met.
type Breach struct {
	Bound  Bound
	Reason string
}

// ReadBounds reads a file of bounds.
func ReadBounds(file string) ([]Bound, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("open bounds: %w", err)
	}
	defer f.Close()
	var bounds []Bound
	if err := configurer.Decode(f, &bounds); err != nil {
		return nil, fmt.Errorf("bounds in %s: %w", file, err)
	}
	for i, b := range bounds {
		if err := b.validate(fmt.Sprintf("[%d]", i)); err != nil {
			return nil, fmt.Errorf("bounds in %s: %w", file, err)
		}
	}
	return bounds, nil
}

func (b Bound) validate(field string) error {
	ratio := b.MaxRatio != nil || b.MinRatio != nil
	switch {
	case b.Benchmark == "" || b.Unit == "":
		return manager.ErrInvalid{Field: field, Reason: "needs Benchmark and Unit"}
	case b.Source == "":
		return manager.ErrInvalid{Field: field + ".Source", Reason: "is missing: expected the target that sets the bound"}
	case ratio != (b.Against != ""):
		return manager.ErrInvalid{Field: field + ".Against", Reason: "goes with MaxRatio or MinRatio"}
	case !ratio && b.Min == nil && b.Max == nil:
		return manager.ErrInvalid{Field: field, Reason: "has no limit"}
	default:
		return nil
	}
}

// Check returns the bounds that the rows do not meet; a benchmark that did not run is a breach.
func Check(rows []Row, bounds []Bound) []Breach {
	values := make(map[Row]float64, len(rows))
	for _, r := range rows {
		values[Row{Benchmark: r.Benchmark, Unit: r.Unit}] = r.Value
	}
	var breaches []Breach
	for _, b := range bounds {
		if reason := b.check(values); reason != "" {
			breaches = append(breaches, Breach{Bound: b, Reason: reason})
		}
	}
	return breaches
}

func (b Bound) check(values map[Row]float64) string {
	value, ok := values[Row{Benchmark: b.Benchmark, Unit: b.Unit}]
	if !ok {
		return "did not run"
	}
	if reason := outside(value, b.Min, b.Max); reason != "" {
		return reason
	}
	if b.Against == "" {
		return ""
	}
	base, ok := values[Row{Benchmark: b.Against, Unit: b.Unit}]
	if !ok {
		return fmt.Sprintf("%s did not run", b.Against)
	}
	return outsideRatio(value, base, b)
}

// outsideRatio compares products, so that a base of zero needs no special case.
func outsideRatio(value, base float64, b Bound) string {
	if b.MaxRatio != nil && value > base**b.MaxRatio {
		return fmt.Sprintf("%g is more than %g times %g", value, *b.MaxRatio, base)
	}
	if b.MinRatio != nil && value < base**b.MinRatio {
		return fmt.Sprintf("%g is less than %g times %g", value, *b.MinRatio, base)
	}
	return ""
}

func outside(value float64, low, high *float64) string {
	if low != nil && value < *low {
		return fmt.Sprintf("%g is less than %g", value, *low)
	}
	if high != nil && value > *high {
		return fmt.Sprintf("%g is more than %g", value, *high)
	}
	return ""
}
