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
func stallSeries(ends []load.Outcome, start time.Time, duration time.Duration) []float64 {
	windows := make([][]time.Duration, int(duration/seriesWindow))
	for _, e := range ends {
		i := int(e.Started.Sub(start) / seriesWindow)
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

// drawStalls plots the load stalls of one workload over time, as an SVG file in dir.
func drawStalls(dir string, results []PolicyResult) error {
	if len(results) == 0 {
		return nil
	}
	chart := plot.New()
	chart.Title.Text = results[0].User + ", " + results[0].Workload
	chart.X.Label.Text = "seconds"
	chart.Y.Label.Text = "mean load stall, ms"
	chart.Legend.Top = true
	for i, result := range results {
		points := make(plotter.XYs, len(result.StallByWindow))
		for n, y := range result.StallByWindow {
			points[n].X, points[n].Y = float64(n)*seriesWindow.Seconds(), y
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrap(err, "measure: plot")
		}
		line.Color = plotutil.Color(i)
		chart.Add(line)
		chart.Legend.Add(result.Policies, line)
	}
	name := strings.ReplaceAll(fmt.Sprintf("%s-%s.svg", results[0].User, results[0].Workload), " ", "-")
	return errors.Wrap(chart.Save(6*vg.Inch, 4*vg.Inch, filepath.Join(dir, name)), "measure: plot")
}
