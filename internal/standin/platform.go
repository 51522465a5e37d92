// Package standin holds small stand-ins for what the project meets outside: the platform, model engines and plain
// services. They are fakes at the interfaces for tests, the demo and experiments. Each keeps a record of what it
// really did, as ground truth for checks.
package standin

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"flamingorudder.example/internal/platform"
	"flamingorudder.example/internal/timer"
)

// Platform is an in-memory platform: table service, object store and list of instances.
type Platform struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]platform.Row
	objects map[string][]byte
	// roster is the truth; shown is what callers get, which lags by Lag.
	roster map[string]platform.Instance
	shown  []snapshot
	lag    time.Duration
	faults PlatformFaults
	mux    *http.ServeMux
}

type snapshot struct {
	at   time.Time
	list []platform.Instance
}

// PlatformFaults is what the control port can make go wrong.
type PlatformFaults struct {
	// Down refuses every call with 503.
	Down bool `json:"down"`
	// Slow delays every call, in milliseconds.
	Slow int `json:"slow_ms"`
	// Lose drops the answers of that many transactions after they took effect.
	Lose int `json:"lose"`
}

// NewPlatform returns an empty platform whose list of instances lags by lag.
func NewPlatform(lag time.Duration) *Platform {
	p := &Platform{rows: map[string]platform.Row{}, objects: map[string][]byte{}, roster: map[string]platform.Instance{}, lag: lag, mux: http.NewServeMux()}
	p.mux.HandleFunc("POST /table/txn", p.txn)
	p.mux.HandleFunc("GET /table/read", p.read)
	p.mux.HandleFunc("GET /roster", p.list)
	p.mux.HandleFunc("PUT /object/{name}", p.put)
	p.mux.HandleFunc("GET /object/{name}", p.get)
	p.mux.HandleFunc("POST /control/faults", p.setFaults)
	p.mux.HandleFunc("POST /control/instance", p.setInstance)
	return p
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
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

func (p *Platform) snap() {
	list := slices.Collect(maps.Values(p.roster))
	slices.SortFunc(list, func(a, b platform.Instance) int { return strings.Compare(a.ID, b.ID) })
	p.shown = append(p.shown, snapshot{at: time.Now(), list: list})
}

func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/control/") {
		p.mu.Lock()
		f := p.faults
		p.mu.Unlock()
		if f.Slow > 0 && timer.Wait(r.Context(), time.Duration(f.Slow)*time.Millisecond) != nil {
			return
		}
		if f.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
	}
	p.mux.ServeHTTP(w, r)
}

func (p *Platform) txn(w http.ResponseWriter, r *http.Request) {
	var t platform.Txn
	if !decode(w, r, &t) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range t.Checks {
		if have := p.rows[c.Key].Version; have != c.Version {
			reply(w, http.StatusConflict, platform.Conflict{Key: c.Key, Version: have})
			return
		}
	}
	p.version++
	for _, x := range t.Writes {
		if x.Delete {
			delete(p.rows, x.Key)
			continue
		}
		p.rows[x.Key] = platform.Row{Key: x.Key, Version: p.version, Op: t.Op, Value: x.Value}
	}
	if p.faults.Lose > 0 {
		p.faults.Lose--
		panic(http.ErrAbortHandler)
	}
	reply(w, http.StatusOK, map[string]uint64{"version": p.version})
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	key, prefix := r.URL.Query().Get("key"), r.URL.Query().Get("prefix")
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := []platform.Row{}
	for _, k := range slices.Sorted(maps.Keys(p.rows)) {
		if (key != "" && k == key) || (key == "" && strings.HasPrefix(k, prefix)) {
			rows = append(rows, p.rows[k])
		}
	}
	reply(w, http.StatusOK, map[string]any{"rows": rows})
}

func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for len(p.shown) > 1 && now.Sub(p.shown[1].at) >= p.lag {
		p.shown = p.shown[1:]
	}
	out := platform.Roster{At: now, Instances: []platform.Instance{}}
	if len(p.shown) > 0 {
		out.At, out.Instances = p.shown[0].at, p.shown[0].list
	}
	reply(w, http.StatusOK, out)
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

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var f PlatformFaults
	if decode(w, r, &f) {
		p.SetFaults(f)
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
