package evaluation

import (
	"errors"
	"image/color"
	"os"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Chart is a grouped bar chart, each bar labelled with its value.
type Chart struct {
	File        string // without the extension
	Title       string
	YLabel      string
	Groups      []string
	Series      []Series
	Target      float64
	TargetLabel string // legend of the target's line; no line if empty
	Percent     bool   // the values are percentages of a whole; the axis ticks end at 100
}

// Series holds the values of one bar in every group.
type Series struct {
	Name   string
	Values []float64
}

// Layout of a chart.
const (
	chartWidth    = 28 * vg.Centimeter
	chartHeight   = 14 * vg.Centimeter
	chartMargin   = 5 * vg.Millimeter
	groupFraction = 0.8 // of a group's width is covered by bars
	plotFraction  = 0.9 // of the chart's width is covered by groups
	headroom      = 1.3 // axis height over highest bar; leaves room for the legend
)

// seriesColors holds two colours for the project's series, then two for those of a
// baseline. Readers with impaired colour vision can tell them apart, too.
var seriesColors = []color.Color{
	color.RGBA{R: 0, G: 90, B: 160, A: 255},
	color.RGBA{R: 110, G: 180, B: 230, A: 255},
	color.RGBA{R: 200, G: 90, B: 0, A: 255},
	color.RGBA{R: 245, G: 190, B: 110, A: 255},
}

var targetColor = color.RGBA{R: 190, A: 255}

// Save writes the chart to a file in the given format, svg or png.
func (c Chart) Save(file, format string) (err error) {
	p, err := c.plot()
	if err != nil {
		return err
	}
	canvas, err := draw.NewFormattedCanvas(chartWidth, chartHeight, format)
	if err != nil {
		return err
	}
	area := draw.New(canvas)
	area.SetColor(color.White)
	area.Fill(area.Rectangle.Path())
	p.Draw(draw.Crop(area, chartMargin, -chartMargin, chartMargin, -chartMargin))
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	_, err = canvas.WriteTo(f)
	return err
}

func (c Chart) plot() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = c.Title
	p.Title.Padding = 3 * vg.Millimeter
	p.Title.TextStyle.Font.Size = vg.Points(15)
	p.Y.Label.Text = c.YLabel
	p.Y.Min, p.Y.Max = 0, c.maxY()
	p.Legend.Top = true
	p.Legend.YOffs = -vg.Millimeter
	p.Legend.Padding = vg.Millimeter
	grid := plotter.NewGrid()
	grid.Vertical.Width = 0
	p.Add(grid)
	width := chartWidth * plotFraction * groupFraction / vg.Length(len(c.Groups)*len(c.Series))
	for i, s := range c.Series {
		fill := seriesColors[i*len(seriesColors)/len(c.Series)]
		offset := width * vg.Length(float64(i)-float64(len(c.Series)-1)/2)
		if err := addBars(p, s, fill, width, offset); err != nil {
			return nil, err
		}
	}
	if c.Percent {
		p.Y.Tick.Marker = plot.ConstantTicks(percentTicks())
	}
	if c.TargetLabel != "" {
		c.addTarget(p)
	}
	p.NominalX(c.Groups...)
	p.X.Min, p.X.Max = -0.5, float64(len(c.Groups))-0.5
	return p, nil
}

// maxY returns the upper end of the value axis.
func (c Chart) maxY() float64 {
	top := c.Target
	for _, s := range c.Series {
		for _, v := range s.Values {
			top = max(top, v)
		}
	}
	return headroom * top
}

// percentTicks returns the axis ticks from 0 to 100 percent.
func percentTicks() []plot.Tick {
	var out []plot.Tick
	for p := 0; p <= 100; p += 20 {
		out = append(out, plot.Tick{Value: float64(p), Label: strconv.Itoa(p)})
	}
	return out
}

// addBars draws one series, shifted by offset from the centre of each group.
func addBars(p *plot.Plot, s Series, fill color.Color, width, offset vg.Length) error {
	bars, err := plotter.NewBarChart(plotter.Values(s.Values), width)
	if err != nil {
		return err
	}
	bars.Color, bars.Offset, bars.LineStyle.Width = fill, offset, 0
	var at plotter.XYLabels
	for i, v := range s.Values {
		at.XYs = append(at.XYs, plotter.XY{X: float64(i), Y: v})
		at.Labels = append(at.Labels, formatValue(v))
	}
	labels, err := plotter.NewLabels(at)
	if err != nil {
		return err
	}
	for i := range labels.TextStyle {
		labels.TextStyle[i].XAlign = draw.XCenter
		labels.TextStyle[i].Font.Size = vg.Points(8)
	}
	labels.Offset = vg.Point{X: offset, Y: vg.Millimeter}
	p.Add(bars, labels)
	p.Legend.Add(s.Name, bars)
	return nil
}

// addTarget draws the target as a dashed line.
func (c Chart) addTarget(p *plot.Plot) {
	line := plotter.NewFunction(func(float64) float64 { return c.Target })
	line.Color = targetColor
	line.Width = vg.Points(1.5)
	line.Dashes = []vg.Length{vg.Points(5), vg.Points(3)}
	p.Add(line)
	p.Legend.Add(c.TargetLabel, line)
}

// formatValue formats a bar's value, with fewer decimals for larger values.
func formatValue(v float64) string {
	switch {
	case v == 0:
		return "0"
	case v < 1:
		return strconv.FormatFloat(v, 'f', 2, 64)
	case v < 100:
		return strconv.FormatFloat(v, 'f', 1, 64)
	default:
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
}
