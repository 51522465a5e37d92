// Package standin holds small stand-ins for what the project meets outside: the platform, model engines and plain
// services. They are fakes at the interfaces for tests, the demo and experiments. Each keeps a record of what it
// really did, as ground truth for checks.
package standin

import (
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"flamingorudder.example/internal/platform"
	"flamingorudder.example/internal/timer"
)

// Platform is an in-memory platform: table service, object store and list of instances.
type Platform struct {
	table   Table
	mu      sync.Mutex
	objects map[string][]byte
	// roster is the truth; shown is what callers get, which lags by Lag.
	roster map[string]platform.Instance
	shown  []snapshot
	// gone holds the instances that are left out of the list.
	gone    map[string]bool
	lag     time.Duration
	commits []Commit
	counts  PlatformCounts
	// weights holds a token for each load that is being served.
	weights    chan struct{}
	weightTime time.Duration
	control    Control
	mux        *http.ServeMux
}

// PlatformCounts is what a platform was asked for so far.
type PlatformCounts struct {
	// Reads and Writes count calls of the table service, Lists those of the list of instances.
	Reads, Writes, Lists uint64
	// Same counts reads and lists that were answered as not modified.
	Same uint64
}

type snapshot struct {
	at   time.Time
	list []platform.Instance
}

// PlatformFaults are the faults of a platform.
type PlatformFaults = Faults

// NewPlatform returns an empty platform whose list of instances lags by lag.
func NewPlatform(lag time.Duration) *Platform {
	p := &Platform{objects: map[string][]byte{}, roster: map[string]platform.Instance{}, gone: map[string]bool{}, lag: lag, mux: http.NewServeMux()}
	p.SetWeights(0, 1)
	p.control.effect = func(r *http.Request) (bool, bool) {
		write := r.Method != http.MethodGet
		return write, write
	}
	p.mux.HandleFunc("POST /table/txn", p.txn)
	p.mux.HandleFunc("GET /table/read", p.read)
	p.mux.HandleFunc("GET /roster", p.list)
	p.mux.HandleFunc("PUT /object/{name}", p.put)
	p.mux.HandleFunc("GET /object/{name}", p.get)
	p.mux.HandleFunc("GET /weights/{model}/{version}", p.getWeights)
	p.mux.HandleFunc("POST /control/instance", p.setInstance)
	p.mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		reply(w, http.StatusOK, p.counts)
	})
	p.mux.HandleFunc("GET /control/runs", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, p.Record()) })
	return p
}

// SetWeights sets the rate of the weight store: how long one load takes, and how many are served at a time while the
// others wait. It is called before the platform serves.
func (p *Platform) SetWeights(took time.Duration, loads int) {
	p.weightTime, p.weights = took, make(chan struct{}, loads)
}

// Control returns the faults of the platform.
func (p *Platform) Control() *Control { return &p.control }

// Record returns the transactions that took effect.
func (p *Platform) Record() Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Record{Runs: []Run{}, Spans: []Span{}, Commits: copied(p.commits)}
}

// Add puts instances on the list at once.
func (p *Platform) Add(list ...platform.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range list {
		p.roster[i.ID] = i
	}
	p.snap()
}

// SetFaults replaces the faults in force.
func (p *Platform) SetFaults(f PlatformFaults) { _ = p.control.Set(f) }

// mark shows an instance as leaving, or takes it off the list.
func (p *Platform) mark(id string, leaving, gone bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i, ok := p.roster[id]
	if !ok {
		return
	}
	i.State = platform.Live
	if leaving {
		i.State = platform.Leaving
	}
	p.roster[id], p.gone[id] = i, gone
	p.snap()
}

func (p *Platform) snap() {
	list := []platform.Instance{}
	for _, i := range p.roster {
		if !p.gone[i.ID] {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b platform.Instance) int { return strings.Compare(a.ID, b.ID) })
	p.shown = append(p.shown, snapshot{at: time.Now(), list: list})
	// A list older than any lag in use is not needed again.
	if len(p.shown) > 1024 {
		p.shown = slices.Delete(p.shown, 0, 512)
	}
}

func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.control.serve(w, r, p.mux) }

func (p *Platform) txn(w http.ResponseWriter, r *http.Request) {
	var t platform.Txn
	if !decode(w, r, &t) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Writes++
	version, err := p.table.Commit(r.Context(), t)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		reply(w, http.StatusConflict, conflict)
		return
	}
	done := Commit{Op: t.OperationID, Version: version, At: now()}
	for _, x := range t.Writes {
		done.Keys = append(done.Keys, x.Key)
	}
	p.commits = append(p.commits, done)
	reply(w, http.StatusOK, map[string]uint64{"version": version})
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	key, prefix := r.URL.Query().Get("key"), r.URL.Query().Get("prefix")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Reads++
	rows, _ := p.table.Scan(r.Context(), prefix)
	if key != "" {
		rows = rows[:0]
		if row, _ := p.table.Read(r.Context(), key); row.Version > 0 {
			rows = append(rows, row)
		}
	}
	if rows == nil {
		rows = []platform.Row{}
	}
	sum := xxhash.New()
	for _, row := range rows {
		_, _ = fmt.Fprintf(sum, "%s %d\n", row.Key, row.Version)
	}
	p.replyTagged(w, r, strconv.FormatUint(sum.Sum64(), 36), map[string]any{"rows": rows})
}

// replyTagged answers with an entity tag, or that the caller's copy is current. p.mu is held.
func (p *Platform) replyTagged(w http.ResponseWriter, r *http.Request, tag string, v any) {
	tag = strconv.Quote(tag)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		p.counts.Same++
		w.WriteHeader(http.StatusNotModified)
		return
	}
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		reply(w, http.StatusOK, v)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	_ = json.NewEncoder(z).Encode(v)
	_ = z.Close()
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Lists++
	now := time.Now()
	lag := p.lag + time.Duration(p.control.Faults().Lag)*time.Millisecond
	i := 0
	for i+1 < len(p.shown) && now.Sub(p.shown[i+1].at) >= lag {
		i++
	}
	out := platform.Roster{At: now, Instances: []platform.Instance{}}
	if len(p.shown) > 0 {
		out.At, out.Instances = p.shown[i].at, p.shown[i].list
	}
	p.replyTagged(w, r, strconv.FormatInt(out.At.UnixNano(), 36), out)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[r.PathValue("name")] = b
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	b, ok := p.objects[r.PathValue("name")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(b)
}

func (p *Platform) getWeights(w http.ResponseWriter, r *http.Request) {
	select {
	case p.weights <- struct{}{}:
		defer func() { <-p.weights }()
	case <-r.Context().Done():
		return
	}
	if timer.Wait(r.Context(), p.weightTime) == nil {
		reply(w, http.StatusOK, map[string]string{"model": r.PathValue("model"), "version": r.PathValue("version")})
	}
}

func (p *Platform) setInstance(w http.ResponseWriter, r *http.Request) {
	var i platform.Instance
	if decode(w, r, &i) {
		p.Add(i)
	}
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
