package benchmark

import (
	"fmt"
	"image/color"
	"math"
	"os"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

const (
	panelWidth  = 5 * vg.Inch
	panelHeight = 4 * vg.Inch
	markRadius  = 4
	yHeadroom   = 1.15 // multiple of the largest value, so that no mark lies on the border
)

// WritePlots draws one file for each deployment and returns the names of the files. A
// file has a panel for each class of work that shows p99 against the bytes that probes
// and load queries send per second and server.
func WritePlots(folder string, p *Policies) ([]string, error) {
	var names []string
	for _, deployment := range deployments(p.Figures) {
		name := "policies-" + deployment + ".png"
		var panels []*plot.Plot
		for _, class := range classesOf(p.Figures, deployment) {
			panel, err := newPanel(p, deployment, class)
			if err != nil {
				return nil, fmt.Errorf("plot %s: %w", name, err)
			}
			panels = append(panels, panel)
		}
		if err := writePanels(filepath.Join(folder, name), panels); err != nil {
			return nil, fmt.Errorf("plot %s: %w", name, err)
		}
		names = append(names, name)
	}
	return names, nil
}

func deployments(all []Figures) []string {
	return distinct(all, func(f Figures) (string, bool) { return f.Deployment, true })
}

func classesOf(all []Figures, deployment string) []string {
	return distinct(all, func(f Figures) (string, bool) { return f.Class, f.Deployment == deployment })
}

// distinct returns the different values of the figures for which valueOf returns
// true, in the order of their first occurrence.
func distinct(all []Figures, valueOf func(Figures) (string, bool)) []string {
	var out []string
	for _, f := range all {
		if s, ok := valueOf(f); ok && !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// pooledFigures returns the figures of a class over all traces of a deployment.
func pooledFigures(all []Figures, deployment, class string) []Figures {
	return slices.DeleteFunc(slices.Clone(all), func(f Figures) bool {
		return f.Trace != PooledTrace || f.Deployment != deployment || f.Class != class
	})
}

func newPanel(p *Policies, deployment, class string) (*plot.Plot, error) {
	panel := plot.New()
	panel.Title.Text = deployment + ": " + class
	panel.X.Label.Text = "cost of measuring (bytes per second and server)"
	panel.Y.Label.Text = "p99 (ms)"
	panel.Legend.Top = true
	panel.Add(plotter.NewGrid())
	figures := pooledFigures(p.Figures, deployment, class)
	// Marks are drawn in reverse order, because the shape of the last one is filled and
	// would hide other marks at the same place.
	for i, f := range slices.Backward(figures) {
		mark, err := plotter.NewScatter(plotter.XYs{{X: f.Cost.BytesPerServer, Y: f.P99}})
		if err != nil {
			return nil, err
		}
		mark.GlyphStyle = draw.GlyphStyle{Color: plotutil.DarkColors[i%len(plotutil.DarkColors)], Radius: markRadius, Shape: plotutil.Shape(i)}
		panel.Add(mark)
		panel.Legend.Add(f.Policy, mark)
	}
	curve, err := budgetCurve(pooledFigures(p.Budgets, deployment, class))
	if err != nil {
		return nil, err
	}
	panel.Add(curve)
	panel.Legend.Add(ProductionPolicy+", budgets from 0", curve)
	scaleAxes(panel)
	return panel, nil
}

// budgetCurve connects the figures of the same policy with different budgets.
func budgetCurve(budgets []Figures) (*plotter.Line, error) {
	points := make(plotter.XYs, 0, len(budgets))
	for _, f := range budgets {
		points = append(points, plotter.XY{X: f.Cost.BytesPerServer, Y: f.P99})
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return nil, err
	}
	line.LineStyle = draw.LineStyle{Color: color.Gray{Y: 90}, Width: vg.Points(1), Dashes: plotutil.Dashes(1)}
	return line, nil
}

// scaleAxes starts the latency at zero and leaves space for the legend on the right.
func scaleAxes(p *plot.Plot) {
	p.Y.Min, p.Y.Max = 0, p.Y.Max*yHeadroom
	p.X.Max = math.Max(1, p.X.Max*1.8)
	p.X.Min = -p.X.Max / 40
}

func writePanels(path string, panels []*plot.Plot) error {
	img := vgimg.New(panelWidth*vg.Length(len(panels)), panelHeight)
	tiles := draw.Tiles{Rows: 1, Cols: len(panels), PadX: vg.Points(8), PadTop: vg.Points(4), PadRight: vg.Points(4)}
	canvases := plot.Align([][]*plot.Plot{panels}, tiles, draw.New(img))
	for i, p := range panels {
		p.Draw(canvases[0][i])
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := (vgimg.PngCanvas{Canvas: img}).WriteTo(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
