package operator

import (
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"flamingorudder.example/internal/timeline"
)

// eventsPerPage is the page size that the client requests: about 3 MB of JSON.
const eventsPerPage = 20_000

// Filter selects timeline events that match all fields that are set. The zero value selects all events.
type Filter struct {
	// Request selects the events of one request ID.
	Request string
	// Instance selects events that name the instance or were recorded by the daemon of that name.
	Instance string
	Group    string
	// Service selects events that name the service or one of its groups, and all events of requests for the service.
	Service  string
	Revision uint64
	// Since and Until limit the wall-clock time of the events, inclusive; the zero time means no limit.
	Since, Until time.Time
}

// Select returns the events that match the filter, in their original order. Events of decisions on a request name the
// request but not always its service, so the requests for the service are collected first.
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

// Query parameters of a filter.
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
	q := url.Values{keyPage: {strconv.Itoa(eventsPerPage)}}
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

// pagedFilter is a filter with the maximum number of events in a response; 0 means no limit.
type pagedFilter struct {
	Filter
	limit int
}

func parseFilter(q url.Values) (pagedFilter, *Fault) {
	p := pagedFilter{Filter: Filter{Request: q.Get(keyRequest), Instance: q.Get(keyInstance), Group: q.Get(keyGroup), Service: q.Get(keyService)}}
	var err error
	if q.Has(keyRevision) {
		if p.Revision, err = strconv.ParseUint(q.Get(keyRevision), 10, 64); err != nil {
			return p, &Fault{Kind: FaultBadRequest, Text: "revision is not a whole number"}
		}
	}
	if q.Has(keyPage) {
		if p.limit, err = strconv.Atoi(q.Get(keyPage)); err != nil || p.limit < 1 {
			return p, &Fault{Kind: FaultBadRequest, Text: "page is not a positive number of events"}
		}
	}
	for key, t := range map[string]*time.Time{keyFrom: &p.Since, keyUntil: &p.Until} {
		if q.Has(key) {
			if *t, err = time.Parse(time.RFC3339Nano, q.Get(key)); err != nil {
				return p, &Fault{Kind: FaultBadRequest, Text: key + " is not an RFC 3339 time"}
			}
		}
	}
	return p, nil
}

// paginate applies the filter or truncates unfiltered events to one page. Filtered events are not paginated, because the
// filter needs all events at once to find the requests of a service.
func (p pagedFilter) paginate(e Events) Events {
	e.Head = e.Next
	if p.Filter != (Filter{}) {
		e.Events = p.Select(e.Events)
	} else if p.limit > 0 && len(e.Events) > p.limit {
		e.Next -= uint64(len(e.Events) - p.limit)
		e.Events = e.Events[:p.limit]
	}
	return e
}
