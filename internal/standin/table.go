package standin

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"flamingorudder.example/internal/platform"
	"flamingorudder.example/internal/timer"
)

// TableFaults is what can go wrong with a Table.
type TableFaults struct {
	// Down makes every call fail without effect.
	Down bool
	// LoseBefore and LoseAfter count the commits whose answers are lost without and with effect.
	LoseBefore, LoseAfter int
	// DownAfterLoss takes the table down once an answer was lost after its effect.
	DownAfterLoss bool
	// Took is how long each commit takes.
	Took time.Duration
}

// Table is an in-memory table service that is called without a network. The zero value is an empty table. Its methods
// may be called from several goroutines.
type Table struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	version uint64
	commits int
	faults  TableFaults
	before  func()
}

// Lost is the cause of a *platform.Unknown from a Table.
type Lost struct{}

// Down is the cause of a *platform.Unavailable from a Table.
type Down struct{}

func (*Lost) Error() string { return "connection reset" }
func (*Down) Error() string { return "connection refused" }

// Set changes the faults.
func (t *Table) Set(f TableFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// BeforeCommit runs f before the next commit, in place of another writer.
func (t *Table) BeforeCommit(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.before = f
}

// Commits is the number of commits asked for so far.
func (t *Table) Commits() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commits
}

// Commit runs a transaction, as platform.Client.Commit does.
func (t *Table) Commit(ctx context.Context, x platform.Txn) (uint64, error) {
	t.mu.Lock()
	before, took := t.before, t.faults.Took
	t.before = nil
	t.mu.Unlock()
	if took > 0 {
		if err := timer.Wait(ctx, took); err != nil {
			return 0, &platform.UnavailableError{Err: err}
		}
	}
	if before != nil {
		before()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commits++
	switch {
	case t.faults.Down:
		return 0, &platform.UnavailableError{Err: &Down{}}
	case t.faults.LoseBefore > 0:
		t.faults.LoseBefore--
		return 0, &platform.UnknownOutcomeError{OperationID: x.OperationID, Err: &Lost{}}
	}
	version, err := t.apply(x)
	if err == nil && t.faults.LoseAfter > 0 {
		t.faults.LoseAfter--
		t.faults.Down = t.faults.DownAfterLoss
		return 0, &platform.UnknownOutcomeError{OperationID: x.OperationID, Err: &Lost{}}
	}
	return version, err
}

// apply runs a transaction on the rows.
func (t *Table) apply(x platform.Txn) (uint64, error) {
	for _, c := range x.Checks {
		if have := t.rows[c.Key].Version; have != c.Version {
			return 0, &platform.ConflictError{Key: c.Key, Version: have}
		}
	}
	if t.rows == nil {
		t.rows = map[string]platform.Row{}
	}
	t.version++
	for _, w := range x.Writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = platform.Row{Key: w.Key, Version: t.version, OperationID: x.OperationID, Value: w.Value}
	}
	return t.version, nil
}

// Read returns one row, as platform.Client.Read does.
func (t *Table) Read(_ context.Context, key string) (platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.Down {
		return platform.Row{}, &platform.UnavailableError{Err: &Down{}}
	}
	r := t.rows[key]
	r.Key = key
	return r, nil
}

// Scan returns the rows whose keys start with prefix, as platform.Client.Scan does.
func (t *Table) Scan(_ context.Context, prefix string) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.Down {
		return nil, &platform.UnavailableError{Err: &Down{}}
	}
	var out []platform.Row
	for _, k := range slices.Sorted(maps.Keys(t.rows)) {
		if strings.HasPrefix(k, prefix) {
			out = append(out, t.rows[k])
		}
	}
	return out, nil
}
