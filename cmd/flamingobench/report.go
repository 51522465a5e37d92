package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html/template"
	"image/color"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"flamingorudder.example/internal/audit"
)

func writeJSON(file string, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("encode %s: %w", file, err)
	}
	if err := os.WriteFile(file, append(b, '\n'), 0o644); err != nil {
		return fmt.Errorf("write %s: %w", file, err)
	}
	return nil
}

// report is the report of a run of experiments.
type report struct {
	Deployment string    `json:"deployment"`
	Seed       uint64    `json:"seed"`
	Start      time.Time `json:"start"`
	End        time.Time `json:"end"`
	// Slots is the number of chats that the groups run at once; Load is the time of a load in seconds.
	Slots   int          `json:"slots"`
	Load    float64      `json:"load"`
	Entries []entry      `json:"entries"`
	Overall []line       `json:"overall"`
	Skipped []string     `json:"skipped"`
	Audit   audit.Report `json:"audit"`
}

// attempts is the measure over all experiments. It is left out when no daemon recorded an attempt.
func (r *report) attempts() (line, bool) {
	worst, where := 0.0, ""
	for _, e := range r.Entries {
		if e.Attempts > worst {
			worst, where = e.Attempts, e.Name
		}
	}
	if worst == 0 {
		r.Skipped = append(r.Skipped, "attempts per request: the daemons recorded no attempt")
		return line{}, false
	}
	return line{Name: "attempts-per-request", Value: &worst, Unit: "ratio", Most: true, Target: 1.1, Note: "worst in " + where}, true
}

// count returns how many lines meet their targets.
func (r *report) count() (good, all int) {
	lists := [][]line{r.Overall}
	for _, e := range r.Entries {
		lists = append(lists, e.Lines)
	}
	for _, l := range slices.Concat(lists...) {
		all++
		if l.ok() {
			good++
		}
	}
	return good, all
}

// write writes report.json and report.html into a folder.
func (r *report) write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	if err := writeJSON(filepath.Join(dir, "report.json"), r); err != nil {
		return err
	}
	page := struct {
		*report
		Plots map[string][]template.HTML
		Good  int
		All   int
	}{report: r, Plots: map[string][]template.HTML{}}
	page.Good, page.All = r.count()
	for _, e := range r.Entries {
		list, err := e.plots()
		if err != nil {
			return fmt.Errorf("plot %s: %w", e.Name, err)
		}
		page.Plots[e.Name] = list
	}
	var b bytes.Buffer
	if err := pageTemplate.Execute(&b, page); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "report.html"), b.Bytes(), 0o644); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// bars is a bar chart of a few series over the same names.
type bars struct {
	title, unit string
	names       []string
	series      []string
	values      [][]float64
}

var shades = []color.Color{color.RGBA{R: 0x9a, G: 0xa5, B: 0xb1, A: 0xff}, color.RGBA{R: 0xd2, G: 0x4d, B: 0x57, A: 0xff}}

// draw returns the chart as SVG for a page.
func (b bars) draw() (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text, p.Y.Min, p.Y.Max = b.title, b.unit, 0, 0
	width := vg.Points(14)
	for i, values := range b.values {
		// The legend stands above the highest bar.
		p.Y.Max = max(p.Y.Max, 1.3*slices.Max(append(values, 0)))
		c, err := plotter.NewBarChart(plotter.Values(values), width)
		if err != nil {
			return "", err
		}
		c.Color, c.LineStyle.Width = shades[i%len(shades)], 0
		c.Offset = width * vg.Length(float64(i)-float64(len(b.values)-1)/2)
		p.Add(c)
		if len(b.series) > i {
			p.Legend.Add(b.series[i], c)
		}
	}
	p.Legend.Top = true
	p.Y.Max = max(p.Y.Max, 1e-9)
	p.NominalX(b.names...)
	if len(b.names) > 4 {
		p.X.Tick.Label.Rotation, p.X.Tick.Label.XAlign = 0.6, -1
	}
	c := vgsvg.New(vg.Points(max(300, float64(60*len(b.names)))), vg.Points(220))
	p.Draw(draw.New(c))
	var out strings.Builder
	if _, err := c.WriteTo(&out); err != nil {
		return "", err
	}
	// A page holds SVG elements without the XML declaration.
	text := out.String()
	if i := strings.Index(text, "<svg"); i >= 0 {
		text = text[i:]
	}
	return template.HTML(text), nil //nolint:gosec // The plot library escapes its texts.
}

// pick returns the values of the rows of a kind, by the names that any of the lists has.
func pick(by string, of func(row) float64, lists ...[]row) (names []string, values [][]float64) {
	set := map[string]bool{}
	for _, l := range lists {
		for _, r := range l {
			if r.By == by {
				set[r.Name] = true
			}
		}
	}
	names = slices.Sorted(maps.Keys(set))
	for _, l := range lists {
		v := make([]float64, len(names))
		for _, r := range l {
			if i := slices.Index(names, r.Name); r.By == by && i >= 0 {
				v[i] = of(r)
			}
		}
		values = append(values, v)
	}
	return names, values
}

func (e entry) plots() ([]template.HTML, error) {
	var list []bars
	var lists [][]row
	var series []string
	if len(e.Baseline) > 0 {
		lists, series = append(lists, e.Baseline), append(series, "baseline")
	}
	if len(e.Candidate) > 0 {
		lists, series = append(lists, e.Candidate), append(series, e.Name)
	}
	if len(lists) > 0 {
		add := func(title, unit, by string, of func(row) float64) {
			names, values := pick(by, of, lists...)
			list = append(list, bars{title: title, unit: unit, names: names, series: series, values: values})
		}
		add("first token, p95, by rank", "ms", "rank", func(r row) float64 { return r.First.P95 })
		add("whole answer, p99, by rank", "ms", "rank", func(r row) float64 { return r.Whole.P99 })
		names, shares := pick("org", func(r row) float64 { return float64(r.Good) }, lists...)
		for _, values := range shares {
			total := 0.0
			for _, v := range values {
				total += v
			}
			for k := range values {
				values[k] = 100 * part(values[k], total)
			}
		}
		list = append(list, bars{title: "share of the answers in time, by organisation", unit: "%", names: names, series: series, values: shares})
		add("deadlines met, by organisation", "%", "org", func(r row) float64 { return 100 * r.met() })
	}
	if len(e.Downtimes) > 0 {
		names := slices.Sorted(maps.Keys(e.Downtimes))
		values := make([]float64, len(names))
		for i, n := range names {
			values[i] = e.Downtimes[n]
		}
		list = append(list, bars{title: "group downtime", unit: "s", names: names, values: [][]float64{values}})
	}
	var out []template.HTML
	for _, b := range list {
		svg, err := b.draw()
		if err != nil {
			return nil, err
		}
		out = append(out, svg)
	}
	return out, nil
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Experiments on {{.Deployment}}</title>
<style>
body{font:14px/1.45 system-ui,sans-serif;max-width:1100px;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:.5em 0}td,th{padding:.15em .7em;text-align:left;border-bottom:1px solid #ddd}
.ok{color:#1a7f37}.short{color:#b42318;font-weight:600}.note{color:#666}svg{max-width:100%;height:auto}
</style></head><body>
<h1>Experiments on {{.Deployment}}</h1>
<p>Seed {{.Seed}}, {{.Start.Format "2006-01-02 15:04:05"}} to {{.End.Format "15:04:05"}} UTC, {{.Slots}} slots, load time {{.Load}} s. {{.Good}} of {{.All}} lines meet their targets. Ratios are relative to the same load without the fault, on the same fleet.</p>
{{define "lines"}}<table><tr><th>measure</th><th>value</th><th>unit</th><th>target</th><th></th><th></th></tr>
{{range .}}<tr><td>{{.Name}}</td><td>{{.Shown}}</td><td>{{.Unit}}</td><td>{{.Bound}}</td><td class="{{.Verdict}}">{{.Verdict}}</td><td class="note">{{.Note}}</td></tr>{{end}}</table>{{end}}
{{if .Overall}}{{template "lines" .Overall}}{{end}}
{{range .Entries}}<h2 id="{{.Name}}">{{.Name}}</h2><p>{{.About}} ({{printf "%.0f" .Took.Seconds}} s)</p>
{{if .Failure}}<p class="short">failed: {{.Failure}}</p>{{end}}
{{if .Lines}}{{template "lines" .Lines}}{{end}}
{{range .Notes}}<p class="note">{{.}}</p>{{end}}
{{range index $.Plots .Name}}{{.}}{{end}}
{{end}}
<h2>Not run</h2><ul>{{range .Skipped}}<li>{{.}}</li>{{end}}</ul>
<h2>Audit of the promises</h2><table><tr><th>promise</th><th>checked</th></tr>
{{range $p, $n := .Audit.Checked}}{{if $p}}<tr><td>{{$p}}</td><td>{{$n}}</td></tr>{{end}}{{end}}</table>
<p>{{len .Audit.Violations}} violations</p>
</body></html>
`))
