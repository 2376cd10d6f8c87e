package cli

import (
	"bytes"
	"fmt"
	"image/color"
	"os"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/decklever/decklever/api"
)

const (
	// Size of a drawing, in points; plotMargin is the height of everything but
	// the rows. plotCharacters is the width of the time axis in characters of
	// its labels.
	plotWidth      = vg.Length(800)
	plotMargin     = vg.Length(100)
	plotRowHeight  = vg.Length(28)
	maxPlotHeight  = vg.Length(6000)
	plotCharacters = 100
	// rowFillRatio is the part of a row's height that represents its full
	// capacity. The rest separates it from the row above.
	rowFillRatio = 0.8
	// usedAxisShare is the width of the area that shows the capacity in use,
	// left of the current time, relative to the length of the time axis.
	usedAxisShare = 0.02
)

var (
	bookedColor = color.RGBA{R: 0x4c, G: 0x72, B: 0xb0, A: 0xff}
	usedColor   = color.RGBA{R: 0xdd, G: 0x84, B: 0x52, A: 0xff}
)

// drawTimeline draws a timeline into a file, in the format "svg" or "png". Each
// row is filled up to the share of its capacity that is booked.
func drawTimeline(path, format string, view timeline, location *time.Location) error {
	chart, err := timelinePlot(view, location)
	if err != nil {
		return fmt.Errorf("draw the timeline: %w", err)
	}
	height := min(plotMargin+plotRowHeight*vg.Length(len(view.Rows)), maxPlotHeight)
	drawing, err := chart.WriterTo(plotWidth, height, format)
	if err != nil {
		return fmt.Errorf("draw the timeline: %w", err)
	}
	var data bytes.Buffer
	if _, err := drawing.WriteTo(&data); err != nil {
		return fmt.Errorf("draw the timeline: %w", err)
	}
	return os.WriteFile(path, data.Bytes(), 0o644)
}

// timelinePlot returns the chart, with the rows from top to bottom. The time axis
// runs from 0, the current time, to 1, the end of the view.
func timelinePlot(view timeline, location *time.Location) (*plot.Plot, error) {
	chart := plot.New()
	chart.Title.Text = fmt.Sprintf("Room booked from %s to %s, and in use now",
		view.From.In(location).Format(time.RFC3339), view.To.In(location).Format(time.RFC3339))
	chart.X.Min, chart.X.Max = -usedAxisShare, 1
	chart.Y.Min, chart.Y.Max = 0, float64(len(view.Rows)+1)
	var ticks, rowLabels plot.ConstantTicks
	for _, hour := range hourTicks(view, location, plotCharacters) {
		ticks = append(ticks, plot.Tick{Value: hour.share, Label: hour.label})
	}
	chart.X.Tick.Marker = ticks
	var booked, used *plotter.Polygon
	for index, row := range view.Rows {
		base := float64(len(view.Rows) - 1 - index)
		rowLabels = append(rowLabels, plot.Tick{Value: base + rowFillRatio/2, Label: truncateName(formatCell(row.Name))})
		var err error
		if booked, err = addArea(chart, bookedArea(row, view, base), bookedColor); err != nil {
			return nil, err
		}
		if used, err = addArea(chart, usedArea(row, base), usedColor); err != nil {
			return nil, err
		}
	}
	chart.Y.Tick.Marker = rowLabels
	if len(view.Rows) > 0 {
		chart.Legend.Add("booked", booked)
		chart.Legend.Add("in use", used)
		chart.Legend.Top = true
	}
	return chart, nil
}

// addArea adds a filled polygon without a border to the chart.
func addArea(chart *plot.Plot, corners plotter.XYs, fill color.Color) (*plotter.Polygon, error) {
	area, err := plotter.NewPolygon(corners)
	if err != nil {
		return nil, err
	}
	area.Color = fill
	area.Width = 0
	chart.Add(area)
	return area, nil
}

// bookedArea returns the outline of a row's booked capacity over time. base is
// the vertical position of the row's lower edge.
func bookedArea(row timelineRow, view timeline, base float64) plotter.XYs {
	span := float64(view.To.Sub(view.From))
	axisPosition := func(moment time.Time) float64 { return float64(moment.Sub(view.From)) / span }
	corners := plotter.XYs{{X: 0, Y: base}}
	edges := row.edges(view.From, view.To)
	for index := range edges[1:] {
		height := filledHeight(bookedAt(row.Booked, edges[index]), row.Capacity)
		corners = append(corners,
			plotter.XY{X: axisPosition(edges[index]), Y: base + height},
			plotter.XY{X: axisPosition(edges[index+1]), Y: base + height})
	}
	return append(corners, plotter.XY{X: 1, Y: base})
}

// usedArea returns the outline of a row's capacity in use, left of the current
// time. base is the vertical position of the row's lower edge.
func usedArea(row timelineRow, base float64) plotter.XYs {
	top := base + filledHeight(row.Used, row.Capacity)
	return plotter.XYs{{X: -usedAxisShare, Y: base}, {X: -usedAxisShare, Y: top}, {X: 0, Y: top}, {X: 0, Y: base}}
}

// filledHeight returns the height to which an amount fills a row, at most
// rowFillRatio.
func filledHeight(amount, capacity api.Resources) float64 {
	return rowFillRatio * min(1, dominantShare(amount, capacity))
}
