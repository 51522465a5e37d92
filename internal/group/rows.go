package group

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"flamingorudder.example/internal/engine"
	"flamingorudder.example/internal/platform"
)

// Key prefixes of the rows that this package owns.
const (
	PrefixGroup    = "group/"
	PrefixInstance = "instance/"
	PrefixCounter  = "counter/"
)

// Phase is the phase of a group's life cycle.
type Phase string

// Phases of a group.
const (
	// Loading groups have claimed their members, which have orders to load.
	Loading Phase = "loading"
	// Serving groups may get requests while all members are present.
	Serving Phase = "serving"
	// Broken groups lost a member and wait for a spare or until they may load.
	Broken Phase = "broken"
	// Draining groups get no new requests and finish those in flight.
	Draining Phase = "draining"
	// Releasing groups unload their members, which are free afterwards.
	Releasing Phase = "releasing"
)

// Causes of draining; they determine what follows.
const (
	CauseSurplus = "surplus"
	CauseVersion = "version"
	CauseLeaving = "leaving"
)

// Member is an instance of a group.
type Member struct {
	ID   string         `json:"id"`
	Addr netip.AddrPort `json:"addr"`
}

// Row is the value of a group's row. The service is a prefix of the ID.
type Row struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	// Generation is unique among all groups of the service, also after groups have been released.
	Generation uint64 `json:"generation"`
	DataCentre string `json:"data_centre"`
	Domain     string `json:"domain"`
	// Members are ordered by index; member 0 receives the requests.
	Members []Member `json:"members"`
	Model   string   `json:"model"`
	Version string   `json:"version"`
	Phase   Phase    `json:"phase"`
	// Cause is why a group drains, is broken or is released.
	Cause string `json:"cause,omitempty"`
	// Token is the fencing token under which the row was written.
	Token uint64 `json:"token"`
}

// Addrs returns the addresses of the members by index.
func (r Row) Addrs() []netip.AddrPort {
	out := make([]netip.AddrPort, len(r.Members))
	for i, m := range r.Members {
		out[i] = m.Addr
	}
	return out
}

// InstanceIDs returns the IDs of the member instances by index.
func (r Row) InstanceIDs() []string {
	out := make([]string, len(r.Members))
	for i, m := range r.Members {
		out[i] = m.ID
	}
	return out
}

// Matches reports whether an engine's state shows that it is member index of the group and has loaded.
func (r Row) Matches(index int, s engine.State) bool { return s.Loaded && r.acceptedLoad(index, s) }

// acceptedLoad is whether an engine's state shows that it has accepted the order to load.
func (r Row) acceptedLoad(index int, s engine.State) bool {
	return s.Group == r.ID && s.Generation == r.Generation && s.Index == index && s.Model == r.Model && s.Version == r.Version
}

// Assignment is the value of an instance's row: the group that has claimed the instance.
type Assignment struct {
	Group      string `json:"group"`
	Generation uint64 `json:"generation"`
}

// Counter is the value of a service's counter row. Every transaction on the service's groups writes this row, so its
// version changes whenever one of the groups does.
type Counter struct {
	// LastGeneration is the highest generation used so far.
	LastGeneration uint64 `json:"last"`
}

// Table is the part of the table service that a planner uses, as last read.
type Table struct {
	Groups      map[string]Row
	Assignments map[string]Assignment
	Counters    map[string]Counter
	// Versions has the versions of all rows by key; a missing key means that the row doesn't exist.
	Versions map[string]uint64
}

// RowError reports a row that can't be decoded.
type RowError struct {
	Key string
	Err error
}

func (e *RowError) Error() string { return fmt.Sprintf("decode row %q: %v", e.Key, e.Err) }
func (e *RowError) Unwrap() error { return e.Err }

// Decode decodes rows with the three prefixes. It fails with *RowError.
func Decode(rows ...[]platform.Row) (Table, error) {
	t := Table{Groups: map[string]Row{}, Assignments: map[string]Assignment{}, Counters: map[string]Counter{}, Versions: map[string]uint64{}}
	for _, r := range slices.Concat(rows...) {
		if err := t.setRow(r.Key, r.Value); err != nil {
			return t, err
		}
		t.Versions[r.Key] = r.Version
	}
	return t, nil
}

func (t *Table) setRow(key string, value []byte) error {
	var err error
	switch {
	case strings.HasPrefix(key, PrefixGroup):
		var r Row
		if err = json.Unmarshal(value, &r); err == nil {
			t.Groups[strings.TrimPrefix(key, PrefixGroup)] = r
		}
	case strings.HasPrefix(key, PrefixInstance):
		var s Assignment
		if err = json.Unmarshal(value, &s); err == nil {
			t.Assignments[strings.TrimPrefix(key, PrefixInstance)] = s
		}
	case strings.HasPrefix(key, PrefixCounter):
		var c Counter
		if err = json.Unmarshal(value, &c); err == nil {
			t.Counters[strings.TrimPrefix(key, PrefixCounter)] = c
		}
	}
	if err != nil {
		return &RowError{Key: key, Err: err}
	}
	return nil
}

// Apply applies a transaction that was committed as version, which saves reading all rows again.
func (t *Table) Apply(txn platform.Txn, version uint64) error {
	for _, w := range txn.Writes {
		if !w.Delete {
			if err := t.setRow(w.Key, w.Value); err != nil {
				return err
			}
			t.Versions[w.Key] = version
			continue
		}
		delete(t.Versions, w.Key)
		delete(t.Groups, strings.TrimPrefix(w.Key, PrefixGroup))
		delete(t.Assignments, strings.TrimPrefix(w.Key, PrefixInstance))
	}
	return nil
}

// buildTxn builds the transaction that replaces the group row old (nil: none) by next (nil: none). It checks the row of
// the current token and all rows as they were read. Rows of members that stay in the group are written too, so that
// each has the new generation.
func (t *Table) buildTxn(service string, tokenVersion uint64, old, next *Row) (platform.Txn, error) {
	var txn platform.Txn
	check := func(key string) { txn.Checks = append(txn.Checks, platform.Check{Key: key, Version: t.Versions[key]}) }
	var encodeErr error
	write := func(key string, v any) {
		b, err := json.Marshal(v)
		if err != nil {
			encodeErr = fmt.Errorf("encode %s: %w", key, err)
		}
		txn.Writes = append(txn.Writes, platform.Write{Key: key, Value: b})
	}
	txn.Checks = append(txn.Checks, platform.Check{Key: "token/" + service, Version: tokenVersion})
	counter := PrefixCounter + service
	check(counter)
	c := t.Counters[service]
	inNext := map[string]bool{}
	if next != nil {
		c.LastGeneration = max(c.LastGeneration, next.Generation)
		check(PrefixGroup + next.ID)
		write(PrefixGroup+next.ID, next)
		if old == nil || old.Generation != next.Generation {
			for _, m := range next.Members {
				inNext[m.ID] = true
				check(PrefixInstance + m.ID)
				write(PrefixInstance+m.ID, Assignment{Group: next.ID, Generation: next.Generation})
			}
		}
	} else {
		check(PrefixGroup + old.ID)
		txn.Writes = append(txn.Writes, platform.Write{Key: PrefixGroup + old.ID, Delete: true})
	}
	if old != nil && (next == nil || old.Generation != next.Generation) {
		for _, m := range old.Members {
			if !inNext[m.ID] {
				check(PrefixInstance + m.ID)
				txn.Writes = append(txn.Writes, platform.Write{Key: PrefixInstance + m.ID, Delete: true})
			}
		}
	}
	write(counter, c)
	return txn, encodeErr
}
