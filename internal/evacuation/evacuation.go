// Package evacuation tracks which data centres are evacuated: no new request is sent to the backend servers there.
//
// # Load pattern
//
// Operators evacuate a data centre before work on it, or while it fails, and hundreds of daemons have to comply within seconds. Some of
// them have just started, some are cut off from the store, and some read a store that was restored from a backup which lacks the
// evacuation. The set is small, so each daemon passes on the whole of it with the position in the store at which it was current. The
// later position wins, whichever way it came.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"flamingorudder.example/internal/era"
)

// Grace is how long after a restore of the store an evacuation stays in force that the backup lacks. Operators write it again
// meanwhile.
const Grace = 2 * time.Second

// maxNamesBytes bounds the names in a digest, which has to fit a datagram together with all else that a daemon tells. The names of eight
// data centres take a tenth of that.
const maxNamesBytes = 1 << 10

// Set is the evacuated data centres. It is immutable.
type Set struct {
	covered map[string]bool
	// ended holds when evacuations ended whose data centres are not in covered.
	ended map[string]time.Time
}

// Covers reports whether a data centre is evacuated.
func (s *Set) Covers(dataCentre string) bool { return s.covered[dataCentre] }

// DataCentres returns the evacuated data centres in order.
func (s *Set) DataCentres() []string { return slices.Sorted(maps.Keys(s.covered)) }

// Len returns the number of evacuated data centres.
func (s *Set) Len() int { return len(s.covered) }

// EndedAt returns when this daemon learned of the end of the last evacuation of a data centre. It is zero if there was none that this
// daemon knew, or if the data centre is evacuated.
func (s *Set) EndedAt(dataCentre string) time.Time { return s.ended[dataCentre] }

// Change is the change of one data centre's row.
type Change struct {
	DataCentre string
	Removed    bool
}

// State is the set as one daemon tells it to others.
type State struct {
	// DataCentres have a row in the store as of Version in Era.
	Version     int64    `cbor:"version"`
	Era         int64    `cbor:"era,omitempty"`
	DataCentres []string `cbor:"rows,omitempty"`
	// Kept holds how much longer evacuations stay in force that a restored store lacks.
	Kept map[string]time.Duration `cbor:"kept,omitempty"`
	// Omitted is set if the names are missing as they would not fit.
	Omitted bool `cbor:"omitted,omitempty"`
}

// Tracker keeps the newest set that a daemon knows. It is not safe for concurrent use.
type Tracker struct {
	// rows are the data centres with a row in the store as of position. known is set once there is a position.
	rows     map[string]bool
	position era.Position
	known    bool
	// era is the latest era of the store that is known, which may be later than that of position. eraSeen is when it became known.
	era     int64
	eraSeen time.Time
	// kept holds until when evacuations stay in force that a restored store lacks.
	kept map[string]time.Time
	// settled holds the data centres that have had a row, or were kept, in the era of position. They are not kept again, so that daemons
	// cannot prolong the time for each other.
	settled map[string]bool
	set     *Set
}

// Set returns the set in force, nil until it is known. It is the same value until it changes.
func (t *Tracker) Set() *Set { return t.set }

// ObserveEra records that the store named an era.
func (t *Tracker) ObserveEra(now time.Time, n int64) {
	if n > t.era {
		t.era, t.eraSeen = n, now
	}
}

// Replace sets the data centres that have a row in the store as of a position.
func (t *Tracker) Replace(now time.Time, position era.Position, dataCentres []string) {
	rows := make(map[string]bool, len(dataCentres))
	for _, name := range dataCentres {
		rows[name] = true
	}
	t.adopt(now, position, rows)
}

// Update applies the changes of rows up to a position. They have to begin at or before the last position.
func (t *Tracker) Update(now time.Time, position era.Position, changes []Change) {
	if !t.known || position.Era != t.position.Era {
		return // a read of all rows follows
	}
	rows := maps.Clone(t.rows)
	for _, c := range changes {
		if c.Removed {
			delete(rows, c.DataCentre)
		} else {
			rows[c.DataCentre] = true
		}
	}
	t.adopt(now, position, rows)
}

// Merge takes over what another daemon knows if it is newer.
func (t *Tracker) Merge(now time.Time, s *State) {
	if s.Omitted {
		return
	}
	position := era.Position{Era: s.Era, Version: s.Version}
	if !t.known || t.position.Before(position) {
		t.Replace(now, position, s.DataCentres)
	}
	if position.Era != t.position.Era || len(s.Kept) == 0 {
		return
	}
	for name, left := range s.Kept {
		if !t.settled[name] {
			t.keep(name, now.Add(min(left, Grace)))
		}
	}
	t.publish(now)
}

// adopt takes over the rows as of a position unless a later one is known.
func (t *Tracker) adopt(now time.Time, position era.Position, rows map[string]bool) {
	if position.Era < t.era || t.known && position.Before(t.position) {
		return
	}
	delete(rows, "") // servers without a data centre are in no evacuated one
	t.ObserveEra(now, position.Era)
	if t.settled == nil || position.Era > t.position.Era {
		t.settled = map[string]bool{}
		for name := range t.rows {
			if !rows[name] {
				t.keep(name, t.eraSeen.Add(Grace))
			}
		}
	}
	for name := range rows {
		t.settled[name] = true
		delete(t.kept, name)
	}
	t.rows, t.position, t.known = rows, position, true
	t.publish(now)
}

// keep leaves an evacuation in force without a row.
func (t *Tracker) keep(name string, until time.Time) {
	if t.kept == nil {
		t.kept = map[string]time.Time{}
	}
	t.kept[name] = until
	t.settled[name] = true
}

// Expire ends the evacuations that a restored store lacks and whose time is over.
func (t *Tracker) Expire(now time.Time) {
	if len(t.kept) > 0 {
		t.publish(now)
	}
}

// publish replaces the set if it has changed.
func (t *Tracker) publish(now time.Time) {
	maps.DeleteFunc(t.kept, func(_ string, until time.Time) bool { return !now.Before(until) })
	covered := maps.Clone(t.rows)
	for name := range t.kept {
		covered[name] = true
	}
	if t.set != nil && maps.Equal(t.set.covered, covered) {
		return
	}
	ended := map[string]time.Time{}
	if t.set != nil {
		for name, at := range t.set.ended {
			if !covered[name] {
				ended[name] = at
			}
		}
		for name := range t.set.covered {
			if !covered[name] {
				ended[name] = now
			}
		}
	}
	t.set = &Set{covered: covered, ended: ended}
}

// State returns what this daemon tells to others, nil until the set is known. With short set, it leaves out names that would not fit a
// datagram.
func (t *Tracker) State(now time.Time, short bool) *State {
	if !t.known {
		return nil
	}
	s := &State{Version: t.position.Version, Era: t.position.Era, DataCentres: slices.Sorted(maps.Keys(t.rows))}
	for name, until := range t.kept {
		if left := until.Sub(now); left > 0 {
			if s.Kept == nil {
				s.Kept = map[string]time.Duration{}
			}
			s.Kept[name] = left
		}
	}
	size := 0
	for name := range t.rows {
		size += len(name)
	}
	for name := range t.kept {
		size += len(name)
	}
	if short && size > maxNamesBytes {
		s.DataCentres, s.Kept, s.Omitted = nil, nil, true
	}
	return s
}
