package cmd

import (
	"bytes"
	"html/template"
	"os"

	"github.com/wcharczuk/go-chart/v2"

	"savorystep/simulation"
)

const (
	// plotWidth and plotHeight are the dimensions of a plot in pixels.
	plotWidth  = 900
	plotHeight = 320
	// pageFileMode lets all users read the page.
	pageFileMode = 0o644
)

// A plottedExperiment is an experiment with its plots as SVG.
type plottedExperiment struct {
	experiment
	Plots []template.HTML
}

var experimentPageTemplate = template.Must(template.New("experiment").Parse(`<!DOCTYPE html>
<html lang="en">
<head><meta charset="utf-8"><title>Experiments</title>
<style>body{font-family:sans-serif;margin:2em}td,th{padding:.2em 1em;text-align:right}</style></head>
<body>
{{range .}}<h1>{{.Scenario.Name}}</h1>
<p>{{.Scenario.Instances}} instances, {{.Scenario.Endpoints}} endpoints, {{.Scenario.Rate}} requests a second, deadline {{.Scenario.Deadline}}</p>
<table><tr><th>way</th><th>in target</th><th>late</th><th>refused</th><th>failed</th><th>wasted work</th></tr>
{{range .Results}}<tr><td>{{.Policy.Name}}</td><td>{{printf "%.3f" (.Share .InTarget)}}</td><td>{{printf "%.3f" (.Share .Late)}}</td><td>{{printf "%.3f" (.Share .Refused)}}</td><td>{{printf "%.3f" (.Share .Failed)}}</td><td>{{.Wasted}}</td></tr>
{{end}}</table>
{{range .Plots}}<div>{{.}}</div>
{{end}}{{end}}</body>
</html>
`))

// writeExperimentPage writes an HTML page with the results and their plots.
func writeExperimentPage(file string, experiments []experiment) error {
	plotted := make([]plottedExperiment, 0, len(experiments))
	for _, e := range experiments {
		p := plottedExperiment{experiment: e}
		for _, graph := range []chart.Chart{inTargetPlot(e), refusedPlot(e), latencyPlot(e)} {
			var svg bytes.Buffer
			if err := graph.Render(chart.SVG, &svg); err != nil {
				return err
			}
			p.Plots = append(p.Plots, template.HTML(svg.String())) //nolint:gosec // The plot contains only numbers and names of policies.
		}
		plotted = append(plotted, p)
	}
	var page bytes.Buffer
	if err := experimentPageTemplate.Execute(&page, plotted); err != nil {
		return err
	}
	return os.WriteFile(file, page.Bytes(), pageFileMode)
}

// inTargetPlot plots, for each second of arrival, the share of requests that were
// answered within the target latency.
func inTargetPlot(e experiment) chart.Chart {
	return perSecondPlot(e, "answered in target, by second of arrival", func(s simulation.Second) int { return s.InTarget })
}

// refusedPlot plots, for each second of arrival, the share of requests that were
// refused.
func refusedPlot(e experiment) chart.Chart {
	return perSecondPlot(e, "refused, by second of arrival", func(s simulation.Second) int { return s.Refused })
}

// perSecondPlot plots, for each policy and second of arrival, the share of requests
// that count returns. Seconds without requests have no point.
func perSecondPlot(e experiment, title string, count func(simulation.Second) int) chart.Chart {
	graph := newPlot(title)
	graph.YAxis.Range = &chart.ContinuousRange{Min: 0, Max: 1}
	for _, r := range e.Results {
		series := chart.ContinuousSeries{Name: r.Policy.Name}
		for second, counts := range r.Seconds {
			if counts.Requests > 0 {
				series.XValues = append(series.XValues, float64(second))
				series.YValues = append(series.YValues, float64(count(counts))/float64(counts.Requests))
			}
		}
		graph.Series = append(graph.Series, series)
	}
	graph.Elements = []chart.Renderable{chart.LegendLeft(&graph)}
	return graph
}

// latencyPlot plots the latency percentiles 1 to 99 of each policy.
func latencyPlot(e experiment) chart.Chart {
	graph := newPlot("latency of answers in ms, by percentile")
	for _, r := range e.Results {
		series := chart.ContinuousSeries{Name: r.Policy.Name}
		for percent := 1.0; percent < 100; percent++ {
			series.XValues = append(series.XValues, percent)
			series.YValues = append(series.YValues, float64(r.Percentile(percent).Milliseconds()))
		}
		graph.Series = append(graph.Series, series)
	}
	graph.Elements = []chart.Renderable{chart.LegendLeft(&graph)}
	return graph
}

// newPlot returns a plot with a title and no series.
func newPlot(title string) chart.Chart {
	return chart.Chart{
		Title: title, Width: plotWidth, Height: plotHeight,
		Background:     chart.Style{Padding: chart.Box{Top: 40, Left: 120}},
		YAxisSecondary: chart.HideYAxis(),
	}
}
