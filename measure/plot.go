// SPDX-License-Identifier: Apache-2.0

package measure

import (
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"cairnwick.example/load"
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const seriesWindow = 2 * time.Second

// stallSeries is the mean stall of the whole answers begun in each window, in
// milliseconds.
func stallSeries(ends []load.Outcome, begun time.Time, whole time.Duration) []float64 {
	windows := make([][]time.Duration, int(whole/seriesWindow))
	for _, e := range ends {
		i := int(e.Started.Sub(begun) / seriesWindow)
		if e.Complete && i >= 0 && i < len(windows) {
			windows[i] = append(windows[i], e.LoadStall)
		}
	}
	series := make([]float64, len(windows))
	for i, w := range windows {
		series[i] = meanMillis(w)
	}
	return series
}

// drawStalls writes one workload's stalls over time as an SVG to dir.
func drawStalls(dir string, list []Figures) error {
	if len(list) == 0 {
		return nil
	}
	p := plot.New()
	p.Title.Text = list[0].User + ", " + list[0].Workload
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "mean load stall, ms"
	p.Legend.Top = true
	for i, g := range list {
		points := make(plotter.XYs, len(g.Series))
		for n, y := range g.Series {
			points[n].X, points[n].Y = float64(n)*seriesWindow.Seconds(), y
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrap(err, "measure: plot")
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(g.Policies, line)
	}
	name := strings.ReplaceAll(fmt.Sprintf("%s-%s.svg", list[0].User, list[0].Workload), " ", "-")
	return errors.Wrap(p.Save(6*vg.Inch, 4*vg.Inch, filepath.Join(dir, name)), "measure: plot")
}
