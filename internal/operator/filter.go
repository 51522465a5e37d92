package operator

import (
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"flamingorudder.example/internal/timeline"
)

// pageSize is how many events one unfiltered answer holds: about 3 MB of JSON.
const pageSize = 20_000

// Filter selects events. Its zero value selects all; fields that are set must all match.
type Filter struct {
	// Request selects the events of one request.
	Request string
	// Instance selects events that name an instance or were recorded by a daemon of that name.
	Instance string
	Group    string
	// Service selects events that name a service or one of its groups, and every event of the requests for it.
	Service  string
	Revision uint64
	// Since and Until bound the physical time of the events; the zero time does not bound it.
	Since, Until time.Time
}

// Select returns the events that pass the filter, in their order. Decisions on a request name the request but not
// always its service, so the requests of a service are collected first.
func (f Filter) Select(events []timeline.Event) []timeline.Event {
	if f == (Filter{}) {
		return events
	}
	requests := map[string]bool{}
	if f.Service != "" {
		for _, e := range events {
			if e.Request != "" && e.Service == f.Service {
				requests[e.Request] = true
			}
		}
	}
	var out []timeline.Event
	for _, e := range events {
		if f.match(e, requests) {
			out = append(out, e)
		}
	}
	return out
}

func (f Filter) match(e timeline.Event, requests map[string]bool) bool {
	at := e.At.Time()
	return (f.Request == "" || e.Request == f.Request) &&
		(f.Instance == "" || e.Instance == f.Instance || e.Proc == f.Instance || slices.Contains(e.Members, f.Instance)) &&
		(f.Group == "" || e.Group == f.Group) &&
		(f.Service == "" || e.Service == f.Service || strings.HasPrefix(e.Group, f.Service+"/") || requests[e.Request]) &&
		(f.Revision == 0 || e.Revision == f.Revision) &&
		(f.Since.IsZero() || !at.Before(f.Since)) &&
		(f.Until.IsZero() || !at.After(f.Until))
}

// Keys of a filter in the query of a call.
const (
	keyRequest  = "request"
	keyInstance = "instance"
	keyGroup    = "group"
	keyService  = "service"
	keyRevision = "revision"
	keyFrom     = "from"
	keyUntil    = "until"
	keyPage     = "page"
)

func (f Filter) query() url.Values {
	q := url.Values{keyPage: {strconv.Itoa(pageSize)}}
	set := func(key, value string) {
		if value != "" {
			q.Set(key, value)
		}
	}
	set(keyRequest, f.Request)
	set(keyInstance, f.Instance)
	set(keyGroup, f.Group)
	set(keyService, f.Service)
	if f.Revision > 0 {
		set(keyRevision, strconv.FormatUint(f.Revision, 10))
	}
	for key, t := range map[string]time.Time{keyFrom: f.Since, keyUntil: f.Until} {
		if !t.IsZero() {
			set(key, t.UTC().Format(time.RFC3339Nano))
		}
	}
	return q
}

// pager is a filter with the number of events that an answer holds, 0 for all.
type pager struct {
	Filter
	size int
}

func parseFilter(q url.Values) (pager, *Fault) {
	p := pager{Filter: Filter{Request: q.Get(keyRequest), Instance: q.Get(keyInstance), Group: q.Get(keyGroup), Service: q.Get(keyService)}}
	var err error
	if q.Has(keyRevision) {
		if p.Revision, err = strconv.ParseUint(q.Get(keyRevision), 10, 64); err != nil {
			return p, &Fault{Kind: FaultRequest, Text: "revision is not a whole number"}
		}
	}
	if q.Has(keyPage) {
		if p.size, err = strconv.Atoi(q.Get(keyPage)); err != nil || p.size < 1 {
			return p, &Fault{Kind: FaultRequest, Text: "page is not a number of events above 0"}
		}
	}
	for key, t := range map[string]*time.Time{keyFrom: &p.Since, keyUntil: &p.Until} {
		if q.Has(key) {
			if *t, err = time.Parse(time.RFC3339Nano, q.Get(key)); err != nil {
				return p, &Fault{Kind: FaultRequest, Text: key + " is not a time in RFC 3339 form"}
			}
		}
	}
	return p, nil
}

// page cuts events to what the call asked for. Filtered events are not cut: the filter needs all of them at once to
// find the requests of a service.
func (p pager) page(e Events) Events {
	e.Head = e.Next
	if p.Filter != (Filter{}) {
		e.Events = p.Select(e.Events)
	} else if p.size > 0 && len(e.Events) > p.size {
		e.Next -= uint64(len(e.Events) - p.size)
		e.Events = e.Events[:p.size]
	}
	return e
}
