// Package loan lends and borrows the slots of model groups over the protocol between daemons.
//
// It owns the share.Home of each group whose home this daemon is. One goroutine, Run, drives them; demands reach it
// through a bounded ring. A demand that finds the ring full is dropped, which is safe because borrowers repeat theirs.
// The borrowers' side (share.Borrower) is owned by package dispatch; this package only carries its messages.
package loan

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/peer"
	"flamingorudder.example/internal/ring"
	"flamingorudder.example/internal/share"
	"flamingorudder.example/internal/timeline"
	"flamingorudder.example/internal/timer"
)

// Group is a group whose home this daemon is.
type Group struct {
	share.Group
	Service string
}

// Borrowers is the part of the dispatcher that receives what homes answer.
type Borrowers interface {
	Grant(from string, g share.Grant)
	Withdraw(from string, w share.Withdrawn)
}

// Deps is what a Lender works with.
type Deps struct {
	// Self is the daemon's own name.
	Self string
	// Homed returns the groups whose home this daemon is now.
	Homed func() []Group
	// Config returns the configuration in force.
	Config func() (note.Config, bool)
	// Addr returns where a daemon can be reached.
	Addr func(name string) (netip.AddrPort, bool)
	// Send sends a message to another daemon without blocking.
	Send func(to netip.AddrPort, m peer.Message)
	// Borrowers receives the answers for this daemon.
	Borrowers Borrowers
	// Missing returns the member that was found missing from a generation, or nothing.
	Missing func(group string, generation uint64) string
	// Present returns whether a generation may be used and when all its members were last seen; it is asked about the
	// groups homed here.
	Present func(group string, generation uint64) (bool, time.Time)
	// Proven is told when the home of a group last saw all members of a generation, or earlier. It must not block.
	Proven func(group string, generation uint64, at time.Time)
	// Misdirected is told of groups that another daemon asks for though their home is not here. It must not block.
	Misdirected func(group string)
	Line        *timeline.Log
}

// Lender lends the slots of the groups homed here. Its methods may be called from several goroutines.
type Lender struct {
	d       Deps
	in      *ring.Queue[share.Demand]
	changed chan struct{}
	homes   map[string]*home
	mu      sync.Mutex
	// asked holds the demands of each group that were sent to other daemons lately, the last one last. It is guarded by
	// mu.
	asked map[string][]asked
}

// asked is when a demand was sent. A grant that carries its number back was made after that, by any clock.
type asked struct {
	seq uint64
	at  time.Time
}

// askedKept is how many demands of a group are remembered: those of half a second.
const askedKept = 4

type home struct {
	share.Home
	group Group
	// revision is the configuration whose policy the home has.
	revision uint64
}

// inbox holds the demands of a quarter of a second from 60 borrowers of 10 groups each.
const inbox = 1024

// New returns a lender without groups.
func New(d Deps) *Lender {
	return &Lender{d: d, in: ring.NewQueue[share.Demand](inbox), changed: make(chan struct{}, 1), homes: map[string]*home{}, asked: map[string][]asked{}}
}

// Dropped is the number of demands that found the ring full.
func (l *Lender) Dropped() uint64 { return l.in.Refused() }

// Changed tells that a group became present or absent, so that the lender acts before its next tick.
func (l *Lender) Changed() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// Run lends until ctx ends.
func (l *Lender) Run(ctx context.Context) error {
	tick, stop := timer.Every(share.ReportInterval/2, 0)
	defer stop()
	for {
		out := outgoing{}
		select {
		case <-ctx.Done():
			return nil
		case <-tick:
			l.refresh(out)
		case <-l.changed:
			l.refresh(out)
		case d := <-l.in.C():
			if h := l.homes[d.Group]; h != nil {
				out.add(h.Step(time.Now(), d))
			} else {
				l.d.Misdirected(d.Group)
			}
		}
		l.flush(out)
	}
}

// refresh brings the homes up to date with the groups homed here and with the configuration, and lets time pass.
func (l *Lender) refresh(out outgoing) {
	now := time.Now()
	cfg, _ := l.d.Config()
	homed := map[string]bool{}
	for _, g := range l.d.Homed() {
		homed[g.Name] = true
		h := l.homes[g.Name]
		if h == nil {
			h = &home{}
			l.homes[g.Name] = h
		}
		if h.revision != cfg.Revision {
			h.revision = cfg.Revision
			out.add(h.Step(now, policy(cfg, g.Service)))
		}
		if h.group != g {
			h.group = g
			kind, reason := timeline.Serve, ""
			if !g.Present {
				kind, reason = timeline.Stop, "a member is not present"
			}
			l.d.Line.Add(timeline.Event{Kind: kind, Group: g.Name, Generation: g.Generation, Service: g.Service, Reason: reason})
			out.add(h.Step(now, g.Group))
		}
		out.add(h.Step(now, share.Tick{}))
	}
	// Grants of a group that has another home now run out by themselves.
	maps.DeleteFunc(l.homes, func(name string, _ *home) bool { return !homed[name] })
}

// policy returns what the configuration says about dividing a service.
func policy(c note.Config, service string) share.Policy {
	p := share.Policy{Revision: c.Revision, Floors: c.Floors(service)}
	for _, name := range c.OrganisationNames() {
		p.Weights = append(p.Weights, c.Organisations[name].Weight)
	}
	return p
}

// outgoing collects what goes to each daemon, so that one packet carries it.
type outgoing map[string][]share.Action

func (o outgoing) add(list []share.Action) {
	for _, a := range list {
		o[a.To] = append(o[a.To], a)
	}
}

func (l *Lender) flush(out outgoing) {
	for to, list := range out {
		if to == l.d.Self {
			for _, a := range list {
				if a.Grant != nil {
					l.d.Borrowers.Grant(to, *a.Grant)
				} else {
					l.d.Borrowers.Withdraw(to, *a.Withdrawn)
				}
			}
			continue
		}
		addr, ok := l.d.Addr(to)
		if !ok {
			continue
		}
		var grants peer.Grant
		for _, a := range list {
			if a.Grant == nil {
				l.d.Send(addr, &peer.Gone{
					Group: a.Withdrawn.Group, Generation: a.Withdrawn.Generation,
					Instance: l.d.Missing(a.Withdrawn.Group, a.Withdrawn.Generation),
				})
				continue
			}
			grants.Groups = append(grants.Groups, lent(*a.Grant))
			grants.Ages = append(grants.Ages, l.age(*a.Grant))
			if len(grants.Groups) == perMessage {
				l.d.Send(addr, &peer.Grant{Groups: grants.Groups, Ages: grants.Ages})
				grants = peer.Grant{}
			}
		}
		if len(grants.Groups) > 0 {
			l.d.Send(addr, &grants)
		}
	}
}

// perMessage is how many grants fit into one packet.
const perMessage = 10

// age returns how long ago all members of a lent group were seen, as peer.Grant tells it.
func (l *Lender) age(g share.Grant) uint32 {
	ok, at := l.d.Present(g.Group, g.Generation)
	if !ok {
		return 0
	}
	return uint32(max(time.Since(at), 0).Milliseconds()) + 2 // one for the part of a millisecond
}

// sent notes when a demand goes out, and forgets the groups that are no longer asked for.
func (l *Lender) sent(now time.Time, d share.Demand) {
	list := append(l.asked[d.Group], asked{d.Seq, now})
	l.asked[d.Group] = list[max(len(list)-askedKept, 0):]
	maps.DeleteFunc(l.asked, func(_ string, list []asked) bool { return now.Sub(list[len(list)-1].at) > share.GrantTTL })
}

// prove passes on what a grant tells of its group's members. The grant was made after the demand that it answers, so
// counting its age from there makes the proof older than it is, never younger.
func (l *Lender) prove(g peer.Lent, age time.Duration) {
	l.mu.Lock()
	list := l.asked[g.Group]
	i := slices.IndexFunc(list, func(a asked) bool { return a.seq == g.Seq })
	var at time.Time
	if i >= 0 {
		at = list[i].at
	}
	l.mu.Unlock()
	if i >= 0 {
		l.d.Proven(g.Group, g.Generation, at.Add(-age))
	}
}

// Report sends demands of this daemon to the homes that they name.
func (l *Lender) Report(list []share.Report) {
	by := map[string]*peer.Demand{}
	size := map[string]int{}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range list {
		if r.To == l.d.Self {
			l.in.Offer(r.Demand)
			continue
		}
		l.sent(now, r.Demand)
		m := by[r.To]
		if m == nil {
			m = &peer.Demand{}
			by[r.To] = m
		}
		if size[r.To] > 0 && size[r.To]+len(r.Demand.Lines) > linesPerMessage {
			l.send(r.To, m)
			m.Groups, size[r.To] = nil, 0
		}
		m.Groups = append(m.Groups, wanted(r.Demand))
		size[r.To] += len(r.Demand.Lines) + linesPerGroup
	}
	for to, m := range by {
		l.send(to, m)
	}
}

// A packet holds about 1,150 bytes; a line takes up to 8 bytes and the rest of a demand for a group about as much as 10
// lines.
const (
	linesPerMessage = 120
	linesPerGroup   = 10
)

func (l *Lender) send(to string, m *peer.Demand) {
	if addr, ok := l.d.Addr(to); ok {
		l.d.Send(addr, &peer.Demand{Groups: m.Groups})
	}
}

// Receive takes in a message of another daemon and reports whether it was for this package.
func (l *Lender) Receive(from peer.From, m peer.Message) bool {
	switch m := m.(type) {
	case *peer.Demand:
		for _, w := range m.Groups {
			l.in.Offer(demand(from.Name, w))
		}
	case *peer.Grant:
		for i, g := range m.Groups {
			l.d.Borrowers.Grant(from.Name, grant(g))
			if age, ok := m.Age(i); ok {
				l.prove(g, age)
			}
		}
	case *peer.Gone:
		l.d.Borrowers.Withdraw(from.Name, share.Withdrawn{Group: m.Group, Generation: m.Generation})
	default:
		return false
	}
	return true
}

func wanted(d share.Demand) peer.Wanted {
	w := peer.Wanted{Group: d.Group, Generation: d.Generation, Revision: d.Revision, Seq: d.Seq, Turn: d.GrantSeq, Borrowers: d.Borrowers}
	for _, x := range d.Lines {
		w.Lines = append(w.Lines, peer.Line{Rank: x.Rank, Org: x.Org, Waiting: x.Waiting, Running: x.Running})
	}
	return w
}

func demand(from string, w peer.Wanted) share.Demand {
	d := share.Demand{Daemon: from, Group: w.Group, Generation: w.Generation, Revision: w.Revision, Seq: w.Seq, GrantSeq: w.Turn, Borrowers: w.Borrowers}
	for _, x := range w.Lines {
		d.Lines = append(d.Lines, share.DemandLine{Rank: x.Rank, Org: x.Org, Waiting: x.Waiting, Running: x.Running})
	}
	return d
}

func lent(g share.Grant) peer.Lent {
	var extra uint8
	for r, ok := range g.MayExceedCap {
		if ok {
			extra |= 1 << r
		}
	}
	return peer.Lent{Group: g.Group, Generation: g.Generation, Caps: g.Caps, Floors: g.FloorSlots, Extra: extra, Millis: uint32(g.TTL.Milliseconds()), Seq: g.DemandSeq, Turn: g.GrantSeq, Borrowers: g.Borrowers}
}

func grant(g peer.Lent) share.Grant {
	var extra [note.Ranks]bool
	for r := range extra {
		extra[r] = g.Extra>>r&1 == 1
	}
	return share.Grant{Group: g.Group, Generation: g.Generation, Caps: g.Caps, FloorSlots: g.Floors, MayExceedCap: extra, TTL: time.Duration(g.Millis) * time.Millisecond, DemandSeq: g.Seq, GrantSeq: g.Turn, Borrowers: g.Borrowers}
}
