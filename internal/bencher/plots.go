package bencher

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	folderMode = 0o755
)

// sizePart is the part of a benchmark's name that gives the size of its input, such as workers=500.
var sizePart = regexp.MustCompile(`/([A-Za-z]+)=(\d+)`)

// seedPart names the random seed of a benchmark, which is no size.
const seedPart = "seed"

// line is a metric over the size of the input.
type line struct {
	label  string
	points plotter.XYs
}

// figure is the plot of one benchmark's metric, with a line for each variant.
type figure struct {
	name  string
	axis  string
	unit  string
	lines map[string]*line
}

// figures groups the rows whose names give a size.
func figures(rows []Row) []*figure {
	byName := map[string]*figure{}
	var order []string
	for _, r := range rows {
		m := sizePart.FindStringSubmatchIndex(r.Benchmark)
		if m == nil || r.Benchmark[m[2]:m[3]] == seedPart {
			continue
		}
		size, err := strconv.ParseFloat(r.Benchmark[m[4]:m[5]], 64)
		if err != nil {
			continue
		}
		label := r.Benchmark[:m[0]] + r.Benchmark[m[1]:]
		name := topName(label) + " " + r.Unit
		f, ok := byName[name]
		if !ok {
			f = &figure{name: name, axis: r.Benchmark[m[2]:m[3]], unit: r.Unit, lines: map[string]*line{}}
			byName[name] = f
			order = append(order, name)
		}
		if f.lines[label] == nil {
			f.lines[label] = &line{label: label}
		}
		f.lines[label].points = append(f.lines[label].points, plotter.XY{X: size, Y: r.Value})
	}
	list := make([]*figure, 0, len(order))
	for _, name := range order {
		list = append(list, byName[name])
	}
	return list
}

var firstPart = regexp.MustCompile(`^[^/]+`)

func topName(benchmark string) string { return firstPart.FindString(benchmark) }

var unsafeInFile = regexp.MustCompile(`[^A-Za-z0-9]+`)

// Plot writes an SVG file for each metric that was measured at several sizes.
func Plot(folder string, rows []Row) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return fmt.Errorf("create folder of plots: %w", err)
	}
	for _, f := range figures(rows) {
		if err := f.save(folder); err != nil {
			return fmt.Errorf("plot %s: %w", f.name, err)
		}
	}
	return nil
}

func (f *figure) save(folder string) error {
	p := plot.New()
	p.Title.Text = f.name
	p.X.Label.Text = f.axis
	p.Y.Label.Text = f.unit
	p.Legend.Top = true
	p.Legend.Left = true
	labels := make([]string, 0, len(f.lines))
	for label := range f.lines {
		labels = append(labels, label)
	}
	slices.Sort(labels)
	var arguments []any
	for _, label := range labels {
		points := f.lines[label].points
		slices.SortFunc(points, func(a, b plotter.XY) int { return int(a.X - b.X) })
		arguments = append(arguments, label, points)
	}
	if err := plotutil.AddLinePoints(p, arguments...); err != nil {
		return fmt.Errorf("add lines: %w", err)
	}
	file := unsafeInFile.ReplaceAllString(f.name, "-") + ".svg"
	if err := p.Save(plotWidth, plotHeight, filepath.Join(folder, file)); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}
