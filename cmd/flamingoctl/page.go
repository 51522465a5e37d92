package main

import (
	"cmp"
	_ "embed" // The template of the page is part of the program.
	"html/template"
	"io"
	"maps"
	"slices"

	"flamingorudder.example/internal/timeline"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// pageEvents bounds the events of one page. A browser draws this many marks within a second; the newest are kept.
const pageEvents = 50_000

// Classes of events, by which the page colours them.
const (
	classRequest = "request"
	classFault   = "fault"
	classGroup   = "group"
	classControl = "control"
	classProcess = "process"
)

// classOf tells what kind of matter an event is about.
func classOf(e timeline.Event) string {
	switch e.Kind {
	case timeline.RequestRefused, timeline.RequestCancelled, timeline.StreamResumed, timeline.GroupStopped, timeline.InstanceLost, timeline.StoreChanged, timeline.PeerChanged:
		return classFault
	case timeline.RequestAccepted, timeline.RequestStarted, timeline.AttemptSent, timeline.AttemptEnded, timeline.RequestAnswered, timeline.KeyClaimed:
		return classRequest
	case timeline.GroupFormed, timeline.GroupServing, timeline.InstanceLeaving, timeline.GroupReleased, timeline.SlotsLent:
		return classGroup
	case timeline.ProcessStarted, timeline.ProcessDraining:
		return classProcess
	}
	return classControl
}

// pageData is what the page draws.
type pageData struct {
	// From is the time of the first event in microseconds since 1970; all other times count from it.
	From   int64             `json:"from"`
	Length int64             `json:"length"`
	Lanes  []pageLane        `json:"lanes"`
	Marks  []pageMark        `json:"marks"`
	Spans  []pageSpan        `json:"spans"`
	Lost   map[string]uint64 `json:"lost"`
	Unread map[string]string `json:"unread"`
	// Cut counts the events that were left out because the page is full.
	Cut int `json:"cut"`
}

// pageLane is one process: a daemon, or an instance that events name.
type pageLane struct {
	Name   string `json:"name"`
	Daemon bool   `json:"daemon"`
}

// pageMark is one event on one lane.
type pageMark struct {
	At      int64  `json:"at"`
	Lane    int    `json:"lane"`
	Proc    string `json:"proc"`
	Class   string `json:"class"`
	Kind    string `json:"kind"`
	Request string `json:"request,omitempty"`
	Group   string `json:"group,omitempty"`
	Text    string `json:"text"`
	// Echo marks an event that is shown on the lane of an instance in addition to that of the daemon that recorded it.
	Echo bool `json:"echo,omitempty"`
}

// pageSpan is an attempt on the lane of the instance that ran it.
type pageSpan struct {
	From    int64  `json:"from"`
	To      int64  `json:"to"`
	Lane    int    `json:"lane"`
	Request string `json:"request"`
	Attempt string `json:"attempt"`
	// Open is whether the end of the attempt is not among the events.
	Open bool `json:"open,omitempty"`
	// Row places spans that overlap below each other, from 0.
	Row int `json:"row"`
}

// layout turns a trace into what the page draws.
func layout(t Trace) pageData {
	d := pageData{Lost: t.Lost, Unread: t.Unread, Lanes: []pageLane{}, Marks: []pageMark{}, Spans: []pageSpan{}}
	events := t.Events
	if len(events) > pageEvents {
		d.Cut = len(events) - pageEvents
		events = events[d.Cut:]
	}
	if len(events) == 0 {
		return d
	}
	d.From = events[0].At.Wall
	d.Length = events[len(events)-1].At.Wall - d.From
	procs, instances := map[string]bool{}, map[string]bool{}
	for _, e := range events {
		procs[e.Proc] = true
		for _, name := range append(e.Members, e.Instance) {
			instances[name] = name != ""
		}
	}
	delete(instances, "")
	lanes := map[string]int{}
	for _, name := range slices.Sorted(maps.Keys(procs)) {
		lanes[name] = len(d.Lanes)
		d.Lanes = append(d.Lanes, pageLane{Name: name, Daemon: true})
	}
	for _, name := range slices.Sorted(maps.Keys(instances)) {
		if _, ok := lanes[name]; !ok {
			lanes[name] = len(d.Lanes)
			d.Lanes = append(d.Lanes, pageLane{Name: name})
		}
	}
	open := map[string]int{}
	for _, e := range events {
		at := e.At.Wall - d.From
		m := pageMark{At: at, Lane: lanes[e.Proc], Proc: e.Proc, Class: classOf(e), Kind: string(e.Kind), Request: e.Request, Group: e.Group, Text: describe(e)}
		d.Marks = append(d.Marks, m)
		for _, name := range append(e.Members, e.Instance) {
			if lane, ok := lanes[name]; ok && name != e.Proc && e.Kind != timeline.AttemptSent {
				m.Lane, m.Echo = lane, true
				d.Marks = append(d.Marks, m)
			}
		}
		switch e.Kind {
		case timeline.AttemptSent:
			if lane, ok := lanes[e.Instance]; ok {
				open[e.Attempt] = len(d.Spans)
				d.Spans = append(d.Spans, pageSpan{From: at, To: d.Length, Lane: lane, Request: e.Request, Attempt: e.Attempt, Open: true})
			}
		case timeline.AttemptEnded:
			if i, ok := open[e.Attempt]; ok {
				d.Spans[i].To, d.Spans[i].Open = at, false
				delete(open, e.Attempt)
			}
		}
	}
	stack(d.Spans)
	return d
}

// stack gives each span the lowest row of its lane that is free when it begins.
func stack(spans []pageSpan) {
	ends := map[int][]int64{}
	order := make([]int, len(spans))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(spans[a].From, spans[b].From) })
	for _, i := range order {
		s := &spans[i]
		rows := ends[s.Lane]
		s.Row = slices.IndexFunc(rows, func(end int64) bool { return end <= s.From })
		if s.Row < 0 {
			s.Row = len(rows)
			rows = append(rows, 0)
		}
		rows[s.Row] = s.To
		ends[s.Lane] = rows
	}
}

// page writes a trace as one self-contained HTML page.
func page(w io.Writer, t Trace) error { return pageTemplate.Execute(w, layout(t)) }
