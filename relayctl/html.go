package main

import (
	"html/template"
	"io"
	"slices"

	"pimentorelay.example/pimento"
)

// Sizes of the chart in pixels.
const (
	chartWidth = 1400
	rowHeight  = 26
	leftMargin = 220
)

// eventMark is one event in the chart.
type eventMark struct {
	X, Y  int
	Color string
	Title string
}

// timelinePage is the data of pageTemplate.
type timelinePage struct {
	Width, Height int
	Rows          []processRow
	Marks         []eventMark
	Lines         []string
}

type processRow struct {
	Y    int
	Name pimento.ProcessID
}

var pageTemplate = template.Must(template.New("timeline").Parse(`<!doctype html>
<meta charset="utf-8"><title>Timeline</title>
<style>body{font:13px sans-serif;margin:1em}pre{font-size:12px}circle:hover{r:7}</style>
<h1>Timeline</h1>
<svg width="{{.Width}}" height="{{.Height}}">
{{range .Rows}}<text x="0" y="{{.Y}}">{{.Name}}</text>{{end}}
{{range .Marks}}<circle cx="{{.X}}" cy="{{.Y}}" r="4" fill="{{.Color}}"><title>{{.Title}}</title></circle>{{end}}
</svg>
<pre>{{range .Lines}}{{.}}
{{end}}</pre>
`))

// eventColors maps the thousands digit of an event's number to a color.
var eventColors = map[pimento.EventNumber]string{1: "#666", 2: "#06c", 3: "#93c", 4: "#2a2", 5: "#d33", 6: "#e90"}

// writeHTML writes the events as a self-contained HTML page.
func writeHTML(w io.Writer, events []pimento.Event) error {
	p := timelinePage{Width: chartWidth}
	var names []pimento.ProcessID
	for _, e := range events {
		if !slices.Contains(names, e.Process) {
			names = append(names, e.Process)
		}
	}
	slices.Sort(names)
	for i, name := range names {
		p.Rows = append(p.Rows, processRow{Y: rowHeight * (i + 1), Name: name})
	}
	p.Height = rowHeight * (len(names) + 1)
	for _, e := range events {
		text := e.Stamp.Wall.Format("15:04:05.000000") + " " + string(e.Process) + " " + e.Name + formatAttributes(e)
		p.Lines = append(p.Lines, text)
		p.Marks = append(p.Marks, eventMark{
			X: eventX(events, e), Y: rowHeight*(slices.Index(names, e.Process)+1) - 4,
			Color: eventColors[e.Number/1000], Title: text,
		})
	}
	return pageTemplate.Execute(w, p)
}

// eventX returns the x coordinate of an event, linear in its time between the
// first and the last event.
func eventX(events []pimento.Event, e pimento.Event) int {
	first, last := events[0].Stamp.Wall, events[len(events)-1].Stamp.Wall
	span := last.Sub(first)
	if span <= 0 {
		return leftMargin
	}
	return leftMargin + int(float64(chartWidth-leftMargin-10)*float64(e.Stamp.Wall.Sub(first))/float64(span))
}
