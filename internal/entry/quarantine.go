package entry

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"flamingorudder.example/internal/quarantine"
	"flamingorudder.example/internal/roster"
	"flamingorudder.example/internal/schedule"
)

// quarantineList is the set of requests and prompt parts that crash backend servers, as this daemon knows it. It is safe for
// concurrent use.
type quarantineList struct {
	mu  sync.Mutex
	set *quarantine.Set
	// unsaved has an entry while the row of this daemon, and the other daemons, lack something that it has detected.
	unsaved chan struct{}
}

func newQuarantineList() *quarantineList {
	return &quarantineList{set: quarantine.NewSet(), unsaved: make(chan struct{}, 1)}
}

// QuarantinedError reports a request that crashes backend servers, or whose prompt has a part that does.
type QuarantinedError struct {
	ID uint64
	// Request is set if ID identifies the request, not a part.
	Request bool
}

func (e *QuarantinedError) Error() string {
	if e.Request {
		return fmt.Sprintf("request %x crashes backend servers", e.ID)
	}
	return fmt.Sprintf("prompt part %x crashes backend servers", e.ID)
}

// suspectIDs identifies what a request may crash backend servers with: itself and the shared parts of its prompt.
type suspectIDs struct {
	// request is the same for all attempts and repeats of a request.
	request uint64
	parts   []uint64
	// all holds both.
	all []uint64
}

func newSuspectIDs(request uint64, parts []uint64) suspectIDs {
	if request == 0 {
		return suspectIDs{parts: parts, all: parts}
	}
	all := append([]uint64{request}, parts...)
	return suspectIDs{request, all[1:], all}
}

// quarantinedError returns the error for the requests of these ids of which one is in quarantine.
func (s suspectIDs) quarantinedError(id uint64) error {
	return &QuarantinedError{id, id == s.request}
}

// match returns the first of the given ids that is in quarantine, and how long it stays.
func (q *quarantineList) match(now time.Time, ids []uint64) (id uint64, left time.Duration, ok bool) {
	if len(ids) == 0 {
		return 0, 0, false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.set.Match(now, ids)
}

func (q *quarantineList) known(now time.Time, id uint64) (known, ended bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.set.Known(now, id)
}

func (q *quarantineList) advertised(now time.Time) []quarantine.Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.set.Advertised(now)
}

func (q *quarantineList) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.set.Empty()
}

func (q *quarantineList) len() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return int64(q.set.Len(time.Now()))
}

// add adds entries and returns the ids that were not in quarantine before.
func (q *quarantineList) add(now time.Time, entries []quarantine.Entry) (added []uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range entries {
		if q.set.Add(now, e, rand.Float64) {
			added = append(added, e.ID)
		}
	}
	return added
}

func (q *quarantineList) expire(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.set.Expire(now)
}

// addQuarantined puts in quarantine what another daemon or its row told.
func (d *Daemon) addQuarantined(entries []quarantine.Entry, source string) {
	if len(entries) == 0 {
		return
	}
	now := time.Now()
	added := d.quarantine.add(now, entries)
	if len(added) == 0 {
		return
	}
	d.log.Warn("requests or prompt parts in quarantine", "ids", formatHashes(added), "source", source)
	d.dispatch.mu.Lock()
	defer d.dispatch.mu.Unlock()
	d.dispatch.rejectQuarantined(now, added)
}

// observeOutcomes quarantines the requests and prompt parts that crash backend servers according to the outcomes that were just
// reported for a model, or for a plain service.
func (p *dispatcher) observeOutcomes(now time.Time, m schedule.Model) {
	detector, crashed := p.crashDetector, false
	if m.Name == "" {
		if detector = p.plainDetectors[m.Service]; detector == nil {
			detector = quarantine.NewPlainDetector()
			p.plainDetectors[m.Service] = detector
		}
	}
	for _, o := range p.server.TakeOutcomes() {
		crashed = crashed || o.Crashed
		p.quarantine(now, detector.Observe(now, o, func(id uint64) (known, ended bool) { return p.d.quarantine.known(now, id) }))
	}
	if crashed && m.Name == "" {
		p.reportAnswers(now, detector.Suspicions(now, m.Service))
		p.d.requestAnnouncement()
	}
	p.settleCrashes(now)
}

// settleCrashes quarantines what is to blame for crashes that have settled.
func (p *dispatcher) settleCrashes(now time.Time) {
	p.quarantine(now, p.crashDetector.Settle(now))
	for _, detector := range p.plainDetectors {
		p.quarantine(now, detector.Settle(now))
	}
}

// quarantine puts what the crash detector has found in quarantine.
func (p *dispatcher) quarantine(now time.Time, found []quarantine.Finding) {
	for _, f := range found {
		added := p.d.quarantine.add(now, []quarantine.Entry{{ID: f.ID, Left: f.Term}})
		if len(added) > 0 {
			if f.Request {
				p.d.log.Warn("request crashes backend servers; it is rejected", "hash", formatHash(f.ID), "group", f.Group, "crashes", f.Crashes, "term", f.Term)
			} else {
				p.d.log.Warn("prompt part crashes backend servers; its requests are rejected", "part", formatHash(f.ID), "group", f.Group, "crashes", f.Crashes, "term", f.Term)
			}
			p.rejectQuarantined(now, added)
		}
		select {
		case p.d.quarantine.unsaved <- struct{}{}:
		default: // the row will be written anyway
		}
	}
}

// rejectQuarantined forgets the crashes by the requests with one of the given ids, rejects the waiting requests with one of the given ids, and cancels those that wait for the first event
// of a group, before the group begins to write.
func (p *dispatcher) rejectQuarantined(now time.Time, ids []uint64) {
	for _, c := range p.clients {
		c.ForgetQuarantined(ids)
	}
	affected := func(id uint64) bool { return slices.Contains(ids, id) }
	for id, w := range p.waiters {
		if !slices.ContainsFunc(w.ids.all, affected) {
			continue
		}
		p.withdraw(id, w, p.d.quarantineRejection(now, w.ids))
	}
	for _, reservations := range p.running {
		for track, s := range reservations {
			if i := slices.IndexFunc(s.ids.all, affected); i >= 0 && !track.Started() {
				s.held.cancel(s.ids.quarantinedError(s.ids.all[i]))
			}
		}
	}
}

// quarantineRejection returns the error for a request with the given ids if one is in quarantine, else nil. The caller may
// retry when the quarantine ends.
func (d *Daemon) quarantineRejection(now time.Time, ids suspectIDs) error {
	id, left, ok := d.quarantine.match(now, ids.all)
	if !ok {
		return nil
	}
	return &RejectedError{left, ids.quarantinedError(id).Error()}
}

// rejectPlacement returns the rejection of a request in quarantine, by its fingerprint, that waits at this scheduler. Its daemon
// may not know of the quarantine yet.
func (d *Daemon) rejectPlacement(fingerprint uint64) (place schedule.Placement, rejected bool) {
	id, left, ok := d.quarantine.match(time.Now(), []uint64{fingerprint})
	if !ok {
		return place, false
	}
	return schedule.Placement{RetryAfter: left, Reason: (&QuarantinedError{id, true}).Error()}, true
}

// answeredRequests holds when requests to plain services were last answered. It is safe for concurrent use.
type answeredRequests struct {
	mu   sync.Mutex
	last *simplelru.LRU[uint64, answeredRequest]
}

// answeredRequest is the time of the last answer to a request, and the collector of crashes that has been told of it, if any.
type answeredRequest struct {
	at        time.Time
	collector string
}

// maxAnsweredRequests bounds the remembered answers. A shared request is answered far more often than it is displaced.
const maxAnsweredRequests = 4096

func newAnsweredRequests() *answeredRequests {
	last, _ := simplelru.NewLRU[uint64, answeredRequest](maxAnsweredRequests, nil) // fails only for a size below one
	return &answeredRequests{last: last}
}

func (a *answeredRequests) add(id uint64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last.Add(id, answeredRequest{at: now})
}

// take reports whether a request was answered after since, once for each answer and collector.
func (a *answeredRequests) take(id uint64, since time.Time, collector string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.last.Peek(id)
	if !ok || r.collector == collector || !r.at.After(since) {
		return false
	}
	a.last.Add(id, answeredRequest{r.at, collector})
	return true
}

// reportAnswers reports which of the suspected requests this daemon has seen answered since their first crash.
func (p *dispatcher) reportAnswers(now time.Time, suspicions []quarantine.Suspicion) {
	for _, s := range suspicions {
		m := schedule.Model{Service: s.Service}
		c := p.client(m)
		if p.d.answered.take(s.ID, now.Add(-s.Age), cmp.Or(c.SelectTarget(now, p.candidates(now, m).names), p.d.settings().Name)) {
			// The next tick sends the report, together with other answers.
			c.RecordOutcome(quarantine.Outcome{Request: s.ID}, now)
		}
	}
}

// recordPlainCrash reports to the daemon that collects the crashes of a plain service that a server crashed under a request that
// was sent at the given time.
func (p *dispatcher) recordPlainCrash(service string, request uint64, server *roster.Server, sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := schedule.Model{Service: service}
	p.client(m).RecordOutcome(quarantine.Outcome{Request: request, Group: roster.GroupKey(server.ID, server.Born), Crashed: true}, sent)
	p.sendReport(time.Now(), m)
}

// recordOutcome reports to the scheduler that the group has answered the request or crashed.
func (s *groupPlace) recordOutcome(crashed bool) {
	if len(s.ids.all) == 0 {
		return
	}
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	s.d.client(s.model).RecordOutcome(quarantine.Outcome{Request: s.ids.request, Parts: s.ids.parts, Group: s.held.key, Crashed: crashed}, s.began)
	if crashed {
		s.d.sendReport(time.Now(), s.model) // other servers may crash before the next report is due
	}
}

// targetRestarted repeats crashes to a daemon that has restarted and so has forgotten them.
func (p *dispatcher) targetRestarted(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.TargetRestarted(name)
	}
}

// requestAnnouncement has a digest sent to all known daemons at once.
func (d *Daemon) requestAnnouncement() {
	select {
	case d.announcements <- struct{}{}:
	default: // one is due anyway
	}
}

// sendAnnouncements sends the requested digests until ctx ends.
func (d *Daemon) sendAnnouncements(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.announcements:
		}
		d.announce()
	}
}

// saveQuarantine tells the other daemons at once when this daemon has put something in quarantine, and writes its row, so that
// daemons that start later know of it even if no daemon has run meanwhile.
func (f *storeSync) saveQuarantine(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.d.quarantine.unsaved:
		}
		f.d.announce()
		var retry storeBackoff
		for ctx.Err() == nil {
			_, err := f.writeDaemon(ctx)
			if err == nil {
				break
			}
			f.d.log.Warn("cannot write the quarantine to the store", "error", err)
			retry.wait(ctx, f)
		}
	}
}

// addQuarantineRow puts in quarantine what the row of a daemon holds, less the time since it was written. now is the store's
// clock.
func (f *storeSync) addQuarantineRow(entries []quarantine.Entry, written, now time.Duration, source string) {
	for i := range entries {
		entries[i].Left -= max(now-written, 0)
	}
	f.d.addQuarantined(entries, source)
}
