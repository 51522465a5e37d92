package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"flamingorudder.example/internal/quarantine"
)

// quarantineList is the set of prompt parts that crash backend servers, as this daemon knows it. It is safe for concurrent
// use.
type quarantineList struct {
	mu  sync.Mutex
	set *quarantine.Set
	// unsaved has an entry while the row of this daemon lacks a part that it has detected.
	unsaved chan struct{}
}

func newQuarantineList() *quarantineList {
	return &quarantineList{set: quarantine.NewSet(), unsaved: make(chan struct{}, 1)}
}

// QuarantinedError reports a request whose prompt has a part that crashes backend servers.
type QuarantinedError struct{ Part uint64 }

func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("prompt part %x crashes backend servers", e.Part)
}

// match returns the first of the given parts that is in quarantine, and how long it stays.
func (q *quarantineList) match(now time.Time, parts []uint64) (part uint64, left time.Duration, ok bool) {
	if len(parts) == 0 {
		return 0, 0, false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.set.Match(now, parts)
}

func (q *quarantineList) known(now time.Time, part uint64) (known, ended bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.set.Known(now, part)
}

func (q *quarantineList) advertised(now time.Time) []quarantine.Part {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.set.Advertised(now)
}

func (q *quarantineList) len() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return int64(q.set.Len(time.Now()))
}

// add adds parts and returns those that were not in quarantine before.
func (q *quarantineList) add(now time.Time, parts []quarantine.Part) (added []uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, p := range parts {
		if q.set.Add(now, p, rand.Float64) {
			added = append(added, p.ID)
		}
	}
	return added
}

func (q *quarantineList) expire(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.set.Expire(now)
}

// addQuarantined puts parts in quarantine that another daemon or its row told.
func (d *Daemon) addQuarantined(parts []quarantine.Part, source string) {
	if len(parts) == 0 {
		return
	}
	now := time.Now()
	added := d.quarantine.add(now, parts)
	if len(added) == 0 {
		return
	}
	d.log.Warn("prompt parts in quarantine", "parts", formatParts(added), "source", source)
	d.dispatch.mu.Lock()
	defer d.dispatch.mu.Unlock()
	d.dispatch.rejectQuarantined(now, added)
}

// observeOutcomes quarantines the prompt parts that crash backend servers according to the reported outcomes.
func (p *dispatcher) observeOutcomes(now time.Time) {
	for _, o := range p.server.TakeOutcomes() {
		part, detected := p.crashDetector.Observe(now, o, func(part uint64) (known, ended bool) { return p.d.quarantine.known(now, part) })
		if !detected {
			continue
		}
		added := p.d.quarantine.add(now, []quarantine.Part{{ID: part, Left: quarantine.Term}})
		if len(added) == 0 {
			continue
		}
		p.d.log.Warn("prompt part crashes backend servers; its requests are rejected", "part", strconv.FormatUint(part, 16), "group", o.Group, "term", quarantine.Term)
		p.rejectQuarantined(now, added)
		select {
		case p.d.quarantine.unsaved <- struct{}{}:
		default: // the row will be written anyway
		}
	}
}

// rejectQuarantined rejects the waiting requests with one of the given parts, and cancels those that wait for the first
// event of a group, before the group begins to write.
func (p *dispatcher) rejectQuarantined(now time.Time, parts []uint64) {
	for id, w := range p.waiters {
		if !slices.ContainsFunc(w.parts, func(part uint64) bool { return slices.Contains(parts, part) }) {
			continue
		}
		delete(p.waiters, id)
		p.client(w.model).Withdraw(id)
		w.result <- outcome{err: p.d.quarantineRejection(now, w.parts)}
	}
	for _, reservations := range p.running {
		for track, s := range reservations {
			i := slices.IndexFunc(s.parts, func(part uint64) bool { return slices.Contains(parts, part) })
			if i >= 0 && !track.Started() {
				s.cancel(&QuarantinedError{s.parts[i]})
			}
		}
	}
}

// quarantineRejection returns the error for a request with one of the given parts if one is in quarantine, else nil. The
// caller may retry when the quarantine ends.
func (d *Daemon) quarantineRejection(now time.Time, parts []uint64) error {
	part, left, ok := d.quarantine.match(now, parts)
	if !ok {
		return nil
	}
	return &RejectedError{left, (&QuarantinedError{part}).Error()}
}

// recordOutcome reports to the scheduler that the group has answered the request or crashed.
func (s *reservation) recordOutcome(crashed bool) {
	if len(s.parts) == 0 {
		return
	}
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	s.d.client(s.model).RecordOutcome(quarantine.Outcome{Parts: s.parts, Group: s.key, Crashed: crashed}, s.began)
}

// saveQuarantine writes the row of this daemon when it has detected a part, so that daemons that start later know of it even
// if no daemon has run meanwhile.
func (f *storeSync) saveQuarantine(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.d.quarantine.unsaved:
		}
		var retry storeBackoff
		for ctx.Err() == nil {
			_, err := f.writeDaemon(ctx)
			if err == nil {
				break
			}
			f.d.log.Warn("cannot write the quarantined prompt parts to the store", "error", err)
			retry.wait(ctx, f)
		}
	}
}

// addQuarantineRow puts the parts in quarantine that the row of a daemon holds, less the time since it was written. now is
// the store's clock.
func (f *storeSync) addQuarantineRow(parts []quarantine.Part, written, now time.Duration, source string) {
	for i := range parts {
		parts[i].Left -= max(now-written, 0)
	}
	f.d.addQuarantined(parts, source)
}
