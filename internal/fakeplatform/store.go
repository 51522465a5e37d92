// Package fakeplatform stands in for the users' platform on loopback: its store of rows, its backend servers and its callers.
// It speaks through package platform, for tests and for the soak.
package fakeplatform

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"maps"
	"net/http"
	"reflect"
	"slices"
	"sync"
	"time"

	"flamingorudder.example/internal/timer"
	"flamingorudder.example/platform"
)

// lapseBeats is how many heartbeats an entry of a backend server may miss before it is removed.
const lapseBeats = 3

// Store is the metadata store. It may be used from several goroutines.
type Store struct {
	mu    sync.Mutex
	start time.Time
	// changed is closed, and replaced, when a row changes.
	changed chan struct{}
	version int64
	// era rises with each restoration from a copy.
	era  int64
	rows map[string]map[string]stored
	// kept is the oldest version from which a feed can go on.
	kept int64
	// refuse is the status that daemons get for every call; 0 serves them.
	refuse int
	// hides is set if reads return entries of backend servers as they were when more than the heartbeat changed.
	hides bool
	// mute holds tables whose reads hang, once each, as on a connection that went silent.
	mute map[string]bool
}

// stored is a row, or the mark of one that was removed.
type stored struct {
	value   []byte
	version int64
	removed bool
	at      time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{start: time.Now(), era: 1, changed: make(chan struct{}), rows: map[string]map[string]stored{}, mute: map[string]bool{}}
}

// HideHeartbeats makes reads return entries of backend servers as they were when more than the heartbeat changed, as feeds do.
func (s *Store) HideHeartbeats() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hides = true
}

// Put writes a row, as operators and backend servers do, and returns its version.
func (s *Store) Put(table, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(table, key, stored{value: value})
}

// Remove drops a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.rows[table][key]; ok && !r.removed {
		s.set(table, key, stored{removed: true})
	}
}

// Len returns the number of rows of a table.
func (s *Store) Len(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.list(table, -1))
}

// Refuse makes every call of a daemon fail with a status; 0 ends that.
func (s *Store) Refuse(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = status
}

// Mute makes the next read of a table hang until its caller gives up.
func (s *Store) Mute(table string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mute[table] = true
}

// Muted tells whether the read that is to hang has not come yet.
func (s *Store) Muted(table string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mute[table]
}

// Forget drops the history, so that feeds cannot go on from before.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept = s.version
}

// Copy is the contents of a store at one moment.
type Copy struct {
	version, kept int64
	rows          map[string]map[string]stored
}

// Backup returns a copy of the contents.
func (s *Store) Backup() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{version: s.version, kept: s.kept, rows: cloneRows(s.rows)}
}

// Restore brings the store back from a copy. Writes since then are lost, and their versions are given out again. Entries of
// backend servers get three beats from now to be renewed. The given rows are written again before the first call.
func (s *Store) Restore(c Copy, again ...platform.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.kept, s.rows = c.version, c.kept, cloneRows(c.rows)
	for key, r := range s.rows[platform.TableServers] {
		r.at = time.Now()
		s.rows[platform.TableServers][key] = r
	}
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
	for _, r := range again {
		s.set(r.Table, r.Key, stored{value: r.Value})
	}
}

func cloneRows(rows map[string]map[string]stored) map[string]map[string]stored {
	out := make(map[string]map[string]stored, len(rows))
	for table, list := range rows {
		out[table] = maps.Clone(list)
	}
	return out
}

// Lapse removes the entries of backend servers that have not been renewed for three beats.
func (s *Store) Lapse(now time.Time, beat time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, r := range s.rows[platform.TableServers] {
		if !r.removed && now.Sub(r.at) > lapseBeats*beat {
			s.set(platform.TableServers, key, stored{removed: true})
		}
	}
}

func (s *Store) set(table, key string, r stored) int64 {
	if s.rows[table] == nil {
		s.rows[table] = map[string]stored{}
	}
	s.version++
	r.version, r.at = s.version, time.Now()
	s.rows[table][key] = r
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

// list returns the rows of a table that are newer than a version, all present ones for -1.
func (s *Store) list(table string, after int64) []platform.Row {
	out := []platform.Row{}
	for _, key := range slices.Sorted(maps.Keys(s.rows[table])) {
		if r := s.rows[table][key]; r.version > after && (after >= 0 || !r.removed) {
			out = append(out, platform.Row{Table: table, Key: key, Value: r.value, Version: r.version, Removed: r.removed})
		}
	}
	return out
}

// Daemons serves the store to daemons, which may not write the platform's own tables.
func (s *Store) Daemons() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		refuse := s.refuse
		mute := s.mute[r.URL.Query().Get("table")]
		delete(s.mute, r.URL.Query().Get("table"))
		s.mu.Unlock()
		switch {
		case refuse != 0:
			s.reject(w, refuse)
		case mute:
			<-r.Context().Done()
		default:
			s.serve(w, r, func(table string) bool { return table != platform.TableOperator && table != platform.TableServers })
		}
	})
}

// Platform serves the store to operators and backend servers, who may write every table and are never refused.
func (s *Store) Platform() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.serve(w, r, func(string) bool { return true })
	})
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request, mayWrite func(table string) bool) {
	c, err := platform.ParseStoreCall(r)
	var unknown *platform.UnknownPathError
	switch {
	case errors.As(err, &unknown):
		s.reject(w, http.StatusNotFound)
	case err != nil:
		s.reject(w, http.StatusBadRequest)
	case c.Read:
		s.get(w, c)
	case c.Feed:
		s.feed(r.Context(), w, c)
	case c.Commit:
		s.transact(w, c.Tx, mayWrite)
	}
}

func (s *Store) get(w http.ResponseWriter, c platform.StoreCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := slices.DeleteFunc(s.list(c.Table, -1), func(r platform.Row) bool { return r.Key < c.From })
	n, size := 0, 0
	for n < min(c.Limit, len(rows)) && size < maxPageBytes {
		size += len(rows[n].Value)
		n++
	}
	s.answer(w, http.StatusOK, rows[:n], len(rows) > n)
}

// maxPageBytes bounds the values of a page.
const maxPageBytes = 1 << 20

func (s *Store) feed(ctx context.Context, w http.ResponseWriter, c platform.StoreCall) {
	end := make(chan struct{})
	defer timer.AfterFunc(c.Wait, func() { close(end) })()
	s.mu.Lock()
	defer s.mu.Unlock()
	for over := false; ; {
		rows := s.list(c.Table, c.After)
		if c.After < s.kept || c.After > s.version {
			platform.SetEra(w.Header(), s.era)
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 || over {
			slices.SortFunc(rows, func(a, b platform.Row) int { return cmp.Compare(a.Version, b.Version) })
			s.answer(w, http.StatusOK, rows, false)
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			over = true
		case <-ctx.Done():
			over = true
		}
		s.mu.Lock()
	}
}

func (s *Store) transact(w http.ResponseWriter, tx platform.Tx, mayWrite func(table string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []platform.Row
	held := true
	for _, e := range tx.Check {
		row := s.rows[e.Table][e.Key]
		version := row.version
		if row.removed {
			version = 0
		}
		if version > 0 {
			current = append(current, platform.Row{Table: e.Table, Key: e.Key, Value: row.value, Version: version})
		}
		held = held && e.Version == version
	}
	if !held {
		s.answer(w, http.StatusPreconditionFailed, current, false)
		return
	}
	for _, x := range slices.Concat(tx.Write, tx.Remove) {
		if !mayWrite(x.Table) {
			platform.SetEra(w.Header(), s.era)
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, x := range tx.Write {
		if was := s.rows[x.Table][x.Key]; x.Table == platform.TableServers && !was.removed && sameEntry(x.Key, was.value, x.Value) {
			renewed := stored{value: x.Value, version: was.version, at: time.Now()}
			if s.hides {
				renewed.value = was.value
			}
			s.rows[x.Table][x.Key] = renewed
			continue
		}
		s.set(x.Table, x.Key, stored{value: x.Value})
	}
	for _, x := range tx.Remove {
		s.set(x.Table, x.Key, stored{removed: true})
	}
	s.answer(w, http.StatusOK, nil, false)
}

// sameEntry tells whether an entry of a backend server is renewed only, which is no change.
func sameEntry(id string, was, now []byte) bool {
	a, errWas := platform.DecodeServer(id, was)
	b, errNow := platform.DecodeServer(id, now)
	if errWas != nil || errNow != nil {
		return bytes.Equal(was, now)
	}
	a.Beat, b.Beat = 0, 0
	return reflect.DeepEqual(a, b)
}

func (s *Store) reject(w http.ResponseWriter, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	platform.SetEra(w.Header(), s.era)
	w.WriteHeader(status)
}

// answer sends a page. The caller holds s.mu.
func (s *Store) answer(w http.ResponseWriter, status int, rows []platform.Row, more bool) {
	text, err := platform.EncodePage(platform.Page{Rows: rows, Version: s.version, Now: time.Since(s.start)}, more)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	platform.SetEra(w.Header(), s.era)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text) // a daemon that has left does not read it
}
