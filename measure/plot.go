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

// stallSeries returns, for each window, the mean load stall in milliseconds of the requests that
// began in it and got a complete answer.
func stallSeries(ends []load.End, begun time.Time, whole time.Duration) []float64 {
	windows := make([][]time.Duration, int(whole/seriesWindow))
	for _, e := range ends {
		i := int(e.Begun.Sub(begun) / seriesWindow)
		if e.Whole && i >= 0 && i < len(windows) {
			windows[i] = append(windows[i], e.Stall)
		}
	}
	series := make([]float64, len(windows))
	for i, w := range windows {
		series[i] = meanMillis(w)
	}
	return series
}

// drawStalls plots the load stalls of one workload over time, as an SVG file in dir.
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
