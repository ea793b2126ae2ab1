package main

import (
	"html/template"
	"io"
	"slices"

	"pimentorelay.example/pimento"
)

const (
	pageWidth  = 1400 // pixels
	rowHeight  = 26
	leftMargin = 220
)

// mark is one event in the picture.
type mark struct {
	X, Y  int
	Color string
	Title string
}

// picture is what the page shows.
type picture struct {
	Width, Height int
	Rows          []pictureRow
	Marks         []mark
	Lines         []string
}

type pictureRow struct {
	Y    int
	Name pimento.ProcessID
}

var page = template.Must(template.New("timeline").Parse(`<!doctype html>
<meta charset="utf-8"><title>Time line</title>
<style>body{font:13px sans-serif;margin:1em}pre{font-size:12px}circle:hover{r:7}</style>
<h1>Time line</h1>
<svg width="{{.Width}}" height="{{.Height}}">
{{range .Rows}}<text x="0" y="{{.Y}}">{{.Name}}</text>{{end}}
{{range .Marks}}<circle cx="{{.X}}" cy="{{.Y}}" r="4" fill="{{.Color}}"><title>{{.Title}}</title></circle>{{end}}
</svg>
<pre>{{range .Lines}}{{.}}
{{end}}</pre>
`))

// colors are by the first digit of an event's number.
var colors = map[pimento.EventNumber]string{1: "#666", 2: "#06c", 3: "#93c", 4: "#2a2", 5: "#d33", 6: "#e90"}

// writeHTML writes a page that needs no other file.
func writeHTML(w io.Writer, events []pimento.Event) error {
	p := picture{Width: pageWidth}
	var names []pimento.ProcessID
	for _, e := range events {
		if !slices.Contains(names, e.Process) {
			names = append(names, e.Process)
		}
	}
	slices.Sort(names)
	for i, name := range names {
		p.Rows = append(p.Rows, pictureRow{Y: rowHeight * (i + 1), Name: name})
	}
	p.Height = rowHeight * (len(names) + 1)
	for _, e := range events {
		text := e.Stamp.Wall.Format("15:04:05.000000") + " " + string(e.Process) + " " + e.Name + attributes(e)
		p.Lines = append(p.Lines, text)
		p.Marks = append(p.Marks, mark{
			X: position(events, e), Y: rowHeight*(slices.Index(names, e.Process)+1) - 4,
			Color: colors[e.Number/1000], Title: text,
		})
	}
	return page.Execute(w, p)
}

// position places an event between the first and the last.
func position(events []pimento.Event, e pimento.Event) int {
	first, last := events[0].Stamp.Wall, events[len(events)-1].Stamp.Wall
	span := last.Sub(first)
	if span <= 0 {
		return leftMargin
	}
	return leftMargin + int(float64(pageWidth-leftMargin-10)*float64(e.Stamp.Wall.Sub(first))/float64(span))
}
