package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"flamingorudder.example/internal/platform"
)

// How a run ended.
const (
	// EndDone is the end of a complete answer, whether or not a client received it.
	EndDone = "done"
	// EndCancelled is a cancellation by order, or because no connection was left for longer than the linger time.
	EndCancelled = "cancelled"
	// EndDeadline is a run that its X-Deadline stopped.
	EndDeadline = "deadline"
	// EndLost is a run that failed because its group lost a member or was given another order.
	EndLost = "lost"
	// EndKilled is a run whose instance was killed.
	EndKilled = "killed"
	// endBusy ends a waiting request that gave way to a more urgent one. It has no record, because it did not run.
	endBusy = "busy"
)

// Run is the record of one request that an engine or plain service ran.
type Run struct {
	Attempt    string    `json:"attempt"`
	Instance   string    `json:"instance"`
	Group      string    `json:"group,omitempty"`
	Generation uint64    `json:"generation,omitempty"`
	Priority   int       `json:"priority"`
	Start      time.Time `json:"start"`
	// First is when the first token was ready; End is zero while the run goes on.
	First     time.Time `json:"first,omitzero"`
	End       time.Time `json:"end,omitzero"`
	Ended     string    `json:"ended,omitempty"`
	Cancelled bool      `json:"cancelled"`
	Tokens    int       `json:"tokens"`
	// Pauses counts how often more urgent work paused the run.
	Pauses int    `json:"pauses"`
	Call   string `json:"call,omitempty"`
	Key    string `json:"key,omitempty"`
}

// Span is an interval in which an engine was loaded for a group and generation. End is zero while it lasts.
type Span struct {
	Instance   string    `json:"instance"`
	Group      string    `json:"group"`
	Generation uint64    `json:"generation"`
	Index      int       `json:"index"`
	Start      time.Time `json:"start"`
	End        time.Time `json:"end,omitzero"`
}

// Commit is a transaction that took effect.
type Commit struct {
	Op      string    `json:"op"`
	Version uint64    `json:"version"`
	Keys    []string  `json:"keys"`
	At      time.Time `json:"at"`
}

// Record is what a stand-in, or a whole fleet of them, really did.
type Record struct {
	Runs    []Run    `json:"runs"`
	Spans   []Span   `json:"spans"`
	Commits []Commit `json:"commits"`
}

// now is the time of a record. Records are in UTC, so that they read the same on every machine.
func now() time.Time { return time.Now().UTC() }

// copied returns a copy that is [] and not null in JSON when it is empty.
func copied[T any](list []T) []T { return append([]T{}, list...) }

// Instance is a stand-in that a fleet controls.
type Instance interface {
	Control() *Control
	Record() Record
}

// Fleet controls the stand-ins of one deployment through one address, also those that are killed or dark.
type Fleet struct {
	platform *Platform
	mux      *http.ServeMux
	mu       sync.Mutex
	members  []member
}

type member struct {
	platform.Instance
	standin Instance
}

// NewFleet returns a fleet that has only its platform.
func NewFleet(p *Platform) *Fleet {
	f := &Fleet{platform: p, mux: http.NewServeMux()}
	f.mux.HandleFunc("GET /control/records", f.records)
	f.mux.HandleFunc("GET /control/fault", f.faults)
	f.mux.HandleFunc("POST /control/fault", f.setFault)
	return f
}

func (f *Fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.mux.ServeHTTP(w, r) }

// Add puts an instance of the platform's list under the fleet's control. A daemon is no stand-in: s is nil, and only its
// place on the list can be controlled.
func (f *Fleet) Add(i platform.Instance, s Instance) {
	var c *Control
	if s == nil {
		d := &daemon{}
		c, s = &d.control, d
	} else {
		c = s.Control()
	}
	c.mu.Lock()
	c.onList = func(leaving, gone bool) { f.platform.mark(i.ID, leaving, gone) }
	c.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = append(f.members, member{Instance: i, standin: s})
}

// daemon takes the place of a stand-in for a daemon.
type daemon struct{ control Control }

func (d *daemon) Control() *Control { return &d.control }
func (d *daemon) Record() Record    { return Record{} }

// Record returns the records of all stand-ins.
func (f *Fleet) Record() Record {
	f.mu.Lock()
	members := slices.Clone(f.members)
	f.mu.Unlock()
	all := f.platform.Record()
	for _, m := range members {
		r := m.standin.Record()
		all.Runs = append(all.Runs, r.Runs...)
		all.Spans = append(all.Spans, r.Spans...)
	}
	return all
}

func (f *Fleet) records(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, f.Record())
}

// target returns the controls that a target names: "platform", an instance id, "domain:NAME" (the engines of a fabric
// domain) or "centre:NAME" (the engines and plain services of a data centre).
func (f *Fleet) target(name string) map[string]*Control {
	out := map[string]*Control{}
	if name == "platform" {
		out[name] = f.platform.Control()
	}
	domain, byDomain := strings.CutPrefix(name, "domain:")
	centre, byCentre := strings.CutPrefix(name, "centre:")
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if m.ID == name || byDomain && m.Domain == domain || byCentre && m.DataCentre == centre && m.Kind != platform.KindDaemon {
			out[m.ID] = m.standin.Control()
		}
	}
	return out
}

func (f *Fleet) faults(w http.ResponseWriter, r *http.Request) {
	f.show(w, f.target(r.URL.Query().Get("target")))
}

func (f *Fleet) setFault(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var t struct {
		Target string `json:"target"`
	}
	if err == nil {
		err = json.Unmarshal(body, &t)
	}
	targets := f.target(t.Target)
	for _, c := range targets {
		if err == nil {
			err = c.Patch(body)
		}
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.show(w, targets)
}

func (f *Fleet) show(w http.ResponseWriter, targets map[string]*Control) {
	if len(targets) == 0 {
		http.Error(w, "no such target", http.StatusNotFound)
		return
	}
	out := map[string]Faults{}
	for id, c := range targets {
		out[id] = c.Faults()
	}
	reply(w, http.StatusOK, map[string]any{"faults": out})
}
