// Package explainer finds in the logs of any number of processes what happened
// to one request, and what was believed when it was decided.
//
// It reads the lines that package recorder writes as JSON, with anything before
// the JSON. The logs may come in any order, in one stream or several.
//
// # Usage
//
//	var l explainer.Log
//	if err := l.Read(file); err != nil { ... }
//	report, ok := l.Explain("9c41d07be2a35f68")
//	report.Write(os.Stdout)
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"pimentorelay.example/pimento"
)

const (
	// maxLine is the longest line in bytes that is read.
	maxLine = 1 << 20
	// beliefSpan is how far back beliefs are looked for.
	beliefSpan = 60 * time.Second
)

// Line is one line of a log.
type Line struct {
	At      time.Time
	Process pimento.ProcessID
	Number  pimento.EventNumber
	Request string
	Fields  map[string]string // the others
}

// Log holds the lines that can matter.
type Log struct {
	lines   []Line
	Skipped int // lines that are no events
}

// Read adds the lines of a log.
func (l *Log) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		line, ok := parse(s.Bytes())
		if !ok {
			l.Skipped++
			continue
		}
		l.lines = append(l.lines, line)
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("Log.Read: %w", err)
	}
	return nil
}

// parse reads one line, whose JSON may stand behind something else.
func parse(text []byte) (Line, bool) {
	i := bytes.IndexByte(text, '{')
	if i < 0 {
		return Line{}, false
	}
	var head struct {
		At      time.Time `json:"@timestamp"`
		Process pimento.ProcessID
		Event   pimento.EventNumber
		Request string
	}
	fields := make(map[string]any)
	if json.Unmarshal(text[i:], &head) != nil || json.Unmarshal(text[i:], &fields) != nil || head.Event == 0 {
		return Line{}, false
	}
	line := Line{At: head.At, Process: head.Process, Number: head.Event, Request: head.Request, Fields: make(map[string]string)}
	for name, value := range fields {
		if !strings.HasPrefix(name, "@") && name != "Process" && name != "Event" && name != "Request" {
			line.Fields[name] = fmt.Sprint(value)
		}
	}
	return line, true
}

// Report is what was found of a request.
type Report struct {
	Request string
	// Steps are the lines about the request, in order.
	Steps []Line
	// Beliefs are the latest lines before its end that say what was believed of
	// what it met, in order.
	Beliefs []Line
}

// Explain returns what the logs say of a request, and whether they know it.
func (l *Log) Explain(id string) (Report, bool) {
	r := Report{Request: id}
	for _, x := range l.lines {
		if x.Request == id {
			r.Steps = append(r.Steps, x)
		}
	}
	if len(r.Steps) == 0 {
		return r, false
	}
	inOrder(r.Steps)
	r.Beliefs = l.beliefs(r.Steps)
	return r, true
}

func inOrder(list []Line) {
	slices.SortStableFunc(list, func(a, b Line) int { return a.At.Compare(b.At) })
}

// beliefs returns the latest lines about what a request met: for each process,
// upstream and subject one.
func (l *Log) beliefs(steps []Line) []Line {
	end := steps[len(steps)-1].At
	latest := make(map[string]Line)
	for _, x := range l.lines {
		subject, ok := subjectOf(x, steps)
		if !ok || x.At.After(end) || end.Sub(x.At) > beliefSpan {
			continue
		}
		if old, known := latest[subject]; !known || x.At.After(old.At) {
			latest[subject] = x
		}
	}
	out := slices.Collect(maps.Values(latest))
	inOrder(out)
	return out
}

// subjects says which events are about one subject, of which the latest tells
// what is believed.
var subjects = map[pimento.EventNumber]string{
	pimento.EventManifestLearned: "manifest",
	pimento.EventPlatformLost:    "platform", pimento.EventPlatformBack: "platform",
	pimento.EventLeading: "leader", pimento.EventLeadingEnded: "leader", pimento.EventTermLearned: "term",
	pimento.EventUpstreamLost: "upstream", pimento.EventUpstreamBack: "upstream", pimento.EventGrantFailed: "grant",
	pimento.EventReleased: "release", pimento.EventKeysMoved: "keys",
	pimento.EventProcessStopping: "process", pimento.EventProcessStarted: "process", pimento.EventSettingsChanged: "settings",
}

// subjectOf returns what a line is about, if the request met that: its own
// process, an upstream that it was sent to, or its key.
func subjectOf(x Line, steps []Line) (string, bool) {
	subject, ok := subjects[x.Number]
	if !ok {
		return "", false
	}
	for _, step := range steps {
		tries := step.Fields["Tries"] + step.Fields["By"]
		named := x.Process == step.Process || strings.Contains(tries, string(x.Process))
		switch subject {
		case "upstream", "grant", "release":
			ofKey := x.Fields["Service"] == step.Fields["Service"] && hasKey(x.Fields["Keys"], step.Fields["Key"])
			if ofKey || strings.Contains(tries, x.Fields["Upstream"]) {
				return subject + " " + x.Fields["Upstream"], true
			}
		case "keys":
			if movesKey(x.Fields["Moves"], step.Fields["Service"], step.Fields["Key"]) {
				return subject, true
			}
		case "leader":
			return subject, true
		default:
			if named {
				return subject + " " + string(x.Process), true
			}
		}
	}
	return "", false
}

// hasKey reports whether a range such as "16-31" has a key.
func hasKey(span, key string) bool {
	var from, to, k int
	if n, err := fmt.Sscanf(span, "%d-%d", &from, &to); err != nil || n != 2 {
		return false
	}
	if _, err := fmt.Sscanf(key, "%d", &k); err != nil {
		return false
	}
	return from <= k && k <= to
}

// movesKey reports whether one of the moves of a plan is of a service's key.
func movesKey(moves, service, key string) bool {
	for move := range strings.SplitSeq(moves, "; ") {
		name, rest, _ := strings.Cut(move, " ")
		span, _, _ := strings.Cut(rest, " ")
		if name == service && hasKey(span, key) {
			return true
		}
	}
	return false
}

// Write writes the report for people.
func (r *Report) Write(w io.Writer) {
	last := r.Steps[len(r.Steps)-1]
	fmt.Fprintf(w, "request %s\n\nwhat happened\n", r.Request)
	for _, x := range r.Steps {
		fmt.Fprintf(w, "  %s  %s  %d %s\n", x.At.Format("15:04:05.000000"), x.Process, x.Number, x.Number)
		writeFields(w, x.Fields)
	}
	fmt.Fprintf(w, "\nwhat was believed, and for how long at its end\n")
	for _, x := range r.Beliefs {
		fmt.Fprintf(w, "  %8s  %s  %d %s\n", last.At.Sub(x.At).Round(time.Millisecond), x.Process, x.Number, x.Number)
		writeFields(w, x.Fields)
	}
	if len(r.Beliefs) == 0 {
		fmt.Fprintln(w, "  the logs say nothing of what it met")
	}
}

func writeFields(w io.Writer, fields map[string]string) {
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		fmt.Fprintf(w, "            %s: %s\n", name, strings.ReplaceAll(fields[name], "; ", "\n              "))
	}
}
