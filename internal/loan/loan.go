// Package loan grants slots of model groups to other daemons and transports demands and grants over the protocol
// between daemons.
//
// It owns the share.Home of each group whose home is this daemon. A single goroutine, Run, drives them; demands reach
// it through a bounded queue. A demand that finds the queue full is dropped, which is safe because borrowers repeat
// theirs. The borrowers' side (share.Borrower) is owned by package dispatch; this package only transports its messages.
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

// Group is a group whose home is this daemon.
type Group struct {
	share.Group
	Service string
}

// Borrowers is the part of the dispatcher that processes the answers of home daemons.
type Borrowers interface {
	Grant(from string, g share.Grant)
	Withdraw(from string, w share.Withdrawn)
}

// Deps holds the dependencies of a Lender.
type Deps struct {
	// Self is the name of this daemon.
	Self string
	// HomedGroups returns the groups whose home is currently this daemon.
	HomedGroups func() []Group
	// Config returns the configuration in force.
	Config func() (note.Config, bool)
	// Addr returns the address of a daemon for messages between daemons.
	Addr func(name string) (netip.AddrPort, bool)
	// Send sends a message to another daemon without blocking.
	Send func(to netip.AddrPort, m peer.Message)
	// Borrowers receives the grants and withdrawals for this daemon.
	Borrowers Borrowers
	// MissingMember returns the instance of the member that was found missing from a generation, or "".
	MissingMember func(group string, generation uint64) string
	// Presence returns whether a generation of a group whose home is this daemon may be used, and when all its members
	// were last seen.
	Presence func(group string, generation uint64) (bool, time.Time)
	// PresenceConfirmed is called with a time at or shortly before which the home of a group saw all members of a
	// generation. It must not block.
	PresenceConfirmed func(group string, generation uint64, at time.Time)
	// Misdirected is called with a group for which a demand arrived although its home is another daemon. It must not
	// block.
	Misdirected func(group string)
	Timeline    *timeline.Log
}

// Lender grants slots of the groups whose home is this daemon. Its methods are safe for concurrent use.
type Lender struct {
	deps    Deps
	demands *ring.Queue[share.Demand]
	changed chan struct{}
	homes   map[string]*home
	mu      sync.Mutex
	// sentDemands holds the demands recently sent to other daemons, by group and oldest first. It is guarded by mu.
	sentDemands map[string][]sentDemand
}

// sentDemand records when a demand was sent. A grant with the same sequence number was made later, whatever the clocks
// of the daemons show.
type sentDemand struct {
	seq uint64
	at  time.Time
}

// maxSentDemands is the number of recent demands kept for each group, which covers half a second.
const maxSentDemands = 4

type home struct {
	share.Home
	group Group
	// revision is the configuration revision of the policy that the home uses.
	revision uint64
}

// demandQueueSize holds the demands of a quarter of a second from 60 borrowers of 10 groups each.
const demandQueueSize = 1024

// New returns a lender without groups.
func New(d Deps) *Lender {
	return &Lender{deps: d, demands: ring.NewQueue[share.Demand](demandQueueSize), changed: make(chan struct{}, 1), homes: map[string]*home{}, sentDemands: map[string][]sentDemand{}}
}

// DroppedDemands returns the number of demands dropped because the queue was full.
func (l *Lender) DroppedDemands() uint64 { return l.demands.Refused() }

// NotifyChanged makes the lender check its groups before the next tick, because one became present or absent.
func (l *Lender) NotifyChanged() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// Run processes demands until ctx ends.
func (l *Lender) Run(ctx context.Context) error {
	tick, stop := timer.Every(share.ReportInterval/2, 0)
	defer stop()
	for {
		out := actionsByDaemon{}
		select {
		case <-ctx.Done():
			return nil
		case <-tick:
			l.refresh(out)
		case <-l.changed:
			l.refresh(out)
		case d := <-l.demands.C():
			if h := l.homes[d.Group]; h != nil {
				out.add(h.Step(time.Now(), d))
			} else {
				l.deps.Misdirected(d.Group)
			}
		}
		l.sendAll(out)
	}
}

// refresh updates the homes to the current groups and configuration and makes them handle expired grants.
func (l *Lender) refresh(out actionsByDaemon) {
	now := time.Now()
	cfg, _ := l.deps.Config()
	homed := map[string]bool{}
	for _, g := range l.deps.HomedGroups() {
		homed[g.Name] = true
		h := l.homes[g.Name]
		if h == nil {
			h = &home{}
			l.homes[g.Name] = h
		}
		if h.revision != cfg.Revision {
			h.revision = cfg.Revision
			out.add(h.Step(now, policyFor(cfg, g.Service)))
		}
		if h.group != g {
			h.group = g
			kind, reason := timeline.GroupServing, ""
			if !g.Present {
				kind, reason = timeline.GroupStopped, "a member is not present"
			}
			l.deps.Timeline.Add(timeline.Event{Kind: kind, Group: g.Name, Generation: g.Generation, Service: g.Service, Reason: reason})
			out.add(h.Step(now, g.Group))
		}
		out.add(h.Step(now, share.Tick{}))
	}
	// Grants of groups whose home is another daemon now simply expire.
	maps.DeleteFunc(l.homes, func(name string, _ *home) bool { return !homed[name] })
}

// policyFor returns the configured floors and weights for dividing the slots of a service.
func policyFor(c note.Config, service string) share.Policy {
	p := share.Policy{Revision: c.Revision, Floors: c.Floors(service)}
	for _, name := range c.OrganisationNames() {
		p.Weights = append(p.Weights, c.Organisations[name].Weight)
	}
	return p
}

// actionsByDaemon collects actions by receiving daemon, so that few packets can carry them.
type actionsByDaemon map[string][]share.Action

func (o actionsByDaemon) add(list []share.Action) {
	for _, a := range list {
		o[a.To] = append(o[a.To], a)
	}
}

func (l *Lender) sendAll(out actionsByDaemon) {
	for to, list := range out {
		if to == l.deps.Self {
			for _, a := range list {
				if a.Grant != nil {
					l.deps.Borrowers.Grant(to, *a.Grant)
				} else {
					l.deps.Borrowers.Withdraw(to, *a.Withdrawn)
				}
			}
			continue
		}
		addr, ok := l.deps.Addr(to)
		if !ok {
			continue
		}
		var grants peer.Grant
		for _, a := range list {
			if a.Grant == nil {
				l.deps.Send(addr, &peer.Withdrawal{
					Group: a.Withdrawn.Group, Generation: a.Withdrawn.Generation,
					Instance: l.deps.MissingMember(a.Withdrawn.Group, a.Withdrawn.Generation),
				})
				continue
			}
			grants.Groups = append(grants.Groups, encodeGrant(*a.Grant))
			grants.PresenceAges = append(grants.PresenceAges, l.presenceAge(*a.Grant))
			if len(grants.Groups) == grantsPerMessage {
				l.deps.Send(addr, &peer.Grant{Groups: grants.Groups, PresenceAges: grants.PresenceAges})
				grants = peer.Grant{}
			}
		}
		if len(grants.Groups) > 0 {
			l.deps.Send(addr, &grants)
		}
	}
}

// grantsPerMessage is the number of grants that fit into one packet.
const grantsPerMessage = 10

// presenceAge returns the time since all members of a group were seen, in the encoding of peer.Grant: milliseconds plus
// 1, or 0 if it is unknown.
func (l *Lender) presenceAge(g share.Grant) uint32 {
	ok, at := l.deps.Presence(g.Group, g.Generation)
	if !ok {
		return 0
	}
	return uint32(max(time.Since(at), 0).Milliseconds()) + 2 // one for the encoding, one to round up
}

// recordSent records when a demand is sent, and removes the records of groups without recent demands.
func (l *Lender) recordSent(now time.Time, d share.Demand) {
	list := append(l.sentDemands[d.Group], sentDemand{d.Seq, now})
	l.sentDemands[d.Group] = list[max(len(list)-maxSentDemands, 0):]
	maps.DeleteFunc(l.sentDemands, func(_ string, list []sentDemand) bool { return now.Sub(list[len(list)-1].at) > share.GrantTTL })
}

// confirmPresence reports when the home saw all members of a group, according to a grant. The grant was made after the
// demand that it answers, so subtracting the age from the time of the demand gives a time that may be too early but
// never too late.
func (l *Lender) confirmPresence(g peer.GroupGrant, age time.Duration) {
	l.mu.Lock()
	list := l.sentDemands[g.Group]
	i := slices.IndexFunc(list, func(a sentDemand) bool { return a.seq == g.Seq })
	var at time.Time
	if i >= 0 {
		at = list[i].at
	}
	l.mu.Unlock()
	if i >= 0 {
		l.deps.PresenceConfirmed(g.Group, g.Generation, at.Add(-age))
	}
}

// SendDemands sends demands of this daemon to the home daemons that they name.
func (l *Lender) SendDemands(list []share.Report) {
	by := map[string]*peer.Demand{}
	size := map[string]int{}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range list {
		if r.To == l.deps.Self {
			l.demands.Offer(r.Demand)
			continue
		}
		l.recordSent(now, r.Demand)
		m := by[r.To]
		if m == nil {
			m = &peer.Demand{}
			by[r.To] = m
		}
		if size[r.To] > 0 && size[r.To]+len(r.Demand.Lines) > linesPerMessage {
			l.sendDemand(r.To, m)
			m.Groups, size[r.To] = nil, 0
		}
		m.Groups = append(m.Groups, encodeDemand(r.Demand))
		size[r.To] += len(r.Demand.Lines) + lineEquivalentsPerGroup
	}
	for to, m := range by {
		l.sendDemand(to, m)
	}
}

// A packet holds about 1,150 bytes. A line takes up to 8 bytes, and the other fields of a demand for a group take about
// as much as 10 lines.
const (
	linesPerMessage         = 120
	lineEquivalentsPerGroup = 10
)

func (l *Lender) sendDemand(to string, m *peer.Demand) {
	if addr, ok := l.deps.Addr(to); ok {
		l.deps.Send(addr, &peer.Demand{Groups: m.Groups})
	}
}

// HandleMessage processes a message from another daemon and reports whether this package handles messages of its type.
func (l *Lender) HandleMessage(from peer.Sender, m peer.Message) bool {
	switch m := m.(type) {
	case *peer.Demand:
		for _, w := range m.Groups {
			l.demands.Offer(decodeDemand(from.Name, w))
		}
	case *peer.Grant:
		for i, g := range m.Groups {
			l.deps.Borrowers.Grant(from.Name, decodeGrant(g))
			if age, ok := m.PresenceAge(i); ok {
				l.confirmPresence(g, age)
			}
		}
	case *peer.Withdrawal:
		l.deps.Borrowers.Withdraw(from.Name, share.Withdrawn{Group: m.Group, Generation: m.Generation})
	default:
		return false
	}
	return true
}

func encodeDemand(d share.Demand) peer.GroupDemand {
	w := peer.GroupDemand{Group: d.Group, Generation: d.Generation, Revision: d.Revision, Seq: d.Seq, Turn: d.GrantSeq, Borrowers: d.Borrowers}
	for _, x := range d.Lines {
		w.Lines = append(w.Lines, peer.DemandLine{Rank: x.Rank, Org: x.Org, Waiting: x.Waiting, Running: x.Running})
	}
	return w
}

func decodeDemand(from string, w peer.GroupDemand) share.Demand {
	d := share.Demand{Daemon: from, Group: w.Group, Generation: w.Generation, Revision: w.Revision, Seq: w.Seq, GrantSeq: w.Turn, Borrowers: w.Borrowers}
	for _, x := range w.Lines {
		d.Lines = append(d.Lines, share.DemandLine{Rank: x.Rank, Org: x.Org, Waiting: x.Waiting, Running: x.Running})
	}
	return d
}

func encodeGrant(g share.Grant) peer.GroupGrant {
	var extra uint8
	for r, ok := range g.MayExceedCap {
		if ok {
			extra |= 1 << r
		}
	}
	return peer.GroupGrant{Group: g.Group, Generation: g.Generation, Caps: g.Caps, Floors: g.FloorSlots, Extra: extra, TTLMillis: uint32(g.TTL.Milliseconds()), Seq: g.DemandSeq, Turn: g.GrantSeq, Borrowers: g.Borrowers}
}

func decodeGrant(g peer.GroupGrant) share.Grant {
	var extra [note.NumRanks]bool
	for r := range extra {
		extra[r] = g.Extra>>r&1 == 1
	}
	return share.Grant{Group: g.Group, Generation: g.Generation, Caps: g.Caps, FloorSlots: g.Floors, MayExceedCap: extra, TTL: time.Duration(g.TTLMillis) * time.Millisecond, DemandSeq: g.Seq, GrantSeq: g.Turn, Borrowers: g.Borrowers}
}
