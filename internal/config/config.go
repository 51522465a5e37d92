// Package config maintains a daemon's configuration. It connects the replication protocol of package revision to the
// table service and to the other daemons.
//
// It owns the daemon's revision.State. One goroutine, started by Run, processes the protocol messages; everything else
// queues messages for that goroutine in a bounded ring buffer. A full ring drops the message, which is safe because
// every message is repeated.
package config

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/peer"
	"flamingorudder.example/internal/platform"
	"flamingorudder.example/internal/revision"
	"flamingorudder.example/internal/ring"
	"flamingorudder.example/internal/timeline"
	"flamingorudder.example/internal/timer"
)

// Row keys in the table service. The head row holds the whole configuration; each numbered row holds the text of one
// release note.
const (
	keyHead    = "config/head"
	prefixNote = "config/note/"
)

func keyNote(number uint64) string { return fmt.Sprintf("%s%012d", prefixNote, number) }

// table is the subset of the platform's table service that this package uses.
type table interface {
	Read(ctx context.Context, key string) (platform.Row, error)
	Scan(ctx context.Context, prefix string) ([]platform.Row, error)
	Commit(ctx context.Context, t platform.Txn) (uint64, error)
}

// peers is the subset of the daemon-to-daemon protocol that this package uses.
type peers interface {
	Send(to netip.AddrPort, m peer.Message)
	Ask(ctx context.Context, to netip.AddrPort, m peer.Message) (peer.Message, error)
}

// Deps holds the dependencies of a Manager.
type Deps struct {
	Table table
	Peers peers
	// LivePeers returns the peer addresses of the other live daemons.
	LivePeers func() []netip.AddrPort
	// HelloPeers returns the few of them that periodically receive a Hello with the revision in force here.
	HelloPeers func() []netip.AddrPort
	// Hello returns the message that identifies this daemon to others; its Revision field is filled in by the Manager.
	Hello func() peer.Hello
	// Apply puts a configuration in force. It must not block.
	Apply    func(note.Config)
	Log      hclog.Logger
	Timeline *timeline.Log
	// Random selects the peers that messages are sent to.
	Random *rand.Rand
}

// Manager maintains the configuration of one daemon. Its methods are safe for concurrent use.
type Manager struct {
	deps  Deps
	inbox *ring.Queue[revision.Message]

	mu    sync.Mutex
	state revision.State
	cfg   note.Config
}

// inboxSize is the capacity of the ring of protocol messages waiting to be processed.
const inboxSize = 256

// New returns a Manager that has no configuration yet.
func New(d Deps) *Manager {
	return &Manager{deps: d, inbox: ring.NewQueue[revision.Message](inboxSize)}
}

// Config returns the configuration in force. The bool is false if there is none yet.
func (k *Manager) Config() (note.Config, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cfg, k.cfg.Revision > 0
}

// RevisionNumbers returns the numbers of the latest revisions received and applied; 0 means none.
func (k *Manager) RevisionNumbers() (received, applied uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Received(), k.state.Applied()
}

// Revision returns the highest revision received. The bool is false if there is none yet.
func (k *Manager) Revision() (revision.Revision, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Newer(0)
}

// Restore queues a revision read from a snapshot. The revision is ignored if a higher one was received already, and it
// is not forwarded to other daemons.
func (k *Manager) Restore(r revision.Revision) {
	k.inbox.Offer(revision.Offered{Revision: r, Hops: revision.MaxHops})
}

// Run replicates revisions until ctx is done.
func (k *Manager) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return k.processMessages(ctx, g) })
	g.Go(func() error { return k.pollTable(ctx) })
	g.Go(func() error { return k.announce(ctx) })
	return g.Wait()
}

func (k *Manager) processMessages(ctx context.Context, g *errgroup.Group) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-k.inbox.C():
			k.step(ctx, g, m)
		}
	}
}

func (k *Manager) step(ctx context.Context, g *errgroup.Group, m revision.Message) {
	k.mu.Lock()
	actions := k.state.Step(time.Now(), m)
	k.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case revision.Apply:
			k.apply(a.Revision)
		case revision.Push:
			for _, to := range k.sample(revision.Fanout, k.deps.LivePeers()) {
				k.deps.Peers.Send(to, &peer.Revision{Number: a.Revision.Number, Digest: a.Revision.Digest[:], Body: a.Revision.Body, Hops: a.Hops})
			}
		case revision.Pull:
			g.Go(func() error {
				k.pull(ctx, a)
				return nil
			})
		case revision.LogError:
			k.deps.Log.Error("revision refused", "error", a.Err)
		}
	}
}

func (k *Manager) apply(r revision.Revision) {
	k.deps.Timeline.Add(timeline.Event{Kind: timeline.RevisionReceived, Revision: r.Number})
	var c note.Config
	if err := json.Unmarshal(r.Body, &c); err != nil || c.Revision != r.Number {
		k.deps.Log.Error("revision cannot be applied; the earlier one stays in force", "revision", r.Number, "error", err)
		return
	}
	k.mu.Lock()
	k.cfg = c
	k.state.Step(time.Now(), revision.Applied{Number: r.Number})
	k.mu.Unlock()
	k.deps.Apply(c)
	k.deps.Timeline.Add(timeline.Event{Kind: timeline.RevisionApplied, Revision: r.Number})
	k.deps.Log.Info("configuration in force", "revision", r.Number)
}

// sample returns up to n random elements of all. It shuffles all in place.
func (k *Manager) sample(n int, all []netip.AddrPort) []netip.AddrPort {
	k.mu.Lock()
	k.deps.Random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	k.mu.Unlock()
	return all[:min(n, len(all))]
}

func (k *Manager) pull(ctx context.Context, p revision.Pull) {
	answer, err := k.deps.Peers.Ask(ctx, p.Peer, &peer.PullRevision{Have: p.Have})
	if err != nil {
		k.deps.Log.Debug("failed to pull revision", "peer", p.Peer, "error", err)
		return
	}
	if r, ok := answer.(*peer.Revision); ok {
		k.enqueue(r)
	}
}

func (k *Manager) enqueue(r *peer.Revision) {
	m := revision.Offered{Revision: revision.Revision{Number: r.Number, Body: r.Body}, Hops: r.Hops}
	if copy(m.Revision.Digest[:], r.Digest) == len(m.Revision.Digest) {
		k.inbox.Offer(m)
	}
}

// pollTable periodically reads the head row of the configuration. It uses a scan rather than a read because a scan
// returns the full row only if the row has changed.
func (k *Manager) pollTable(ctx context.Context) error {
	tick, stop := timer.Every(revision.ReadPeriod, 0.5)
	defer stop()
	seen := uint64(0)
	for {
		rows, err := k.deps.Table.Scan(ctx, keyHead)
		switch {
		case err != nil:
			if ctx.Err() == nil {
				k.deps.Log.Debug("failed to read configuration from the table service", "error", err)
			}
		case len(rows) > 0 && rows[0].Version != seen:
			row := rows[0]
			seen = row.Version
			var head struct {
				Revision uint64 `json:"revision"`
			}
			if err := json.Unmarshal(row.Value, &head); err != nil {
				k.deps.Log.Error("head of the configuration does not decode", "error", err)
			} else if received, _ := k.RevisionNumbers(); head.Revision > received {
				if !k.inbox.Offer(revision.Offered{Revision: revision.New(head.Revision, row.Value)}) {
					seen = 0 // The ring was full; retry at the next poll.
				}
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick:
		}
	}
}

// announce periodically sends the number of the revision in force here to a random partner. Until there is a
// configuration it sends to several live daemons at once, so that a newly started daemon gets the newest revision that
// any of them has.
func (k *Manager) announce(ctx context.Context) error {
	tick, stop := timer.Every(revision.HelloPeriod, 0.5)
	defer stop()
	for {
		_, applied := k.RevisionNumbers()
		n, from := 1, k.deps.HelloPeers
		if applied == 0 {
			n, from = revision.Fanout, k.deps.LivePeers
		}
		h := k.deps.Hello()
		h.Revision = applied
		for _, to := range k.sample(n, from()) {
			k.deps.Peers.Send(to, &h)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick:
		}
	}
}

// Receive handles a message from another daemon and reports whether the message needs no further handling.
func (k *Manager) Receive(from peer.Sender, m peer.Message) bool {
	switch m := m.(type) {
	case *peer.Revision:
		k.enqueue(m)
		return true
	case *peer.Hello:
		k.inbox.Offer(revision.Announced{Peer: from.Addr, Number: m.Revision})
		k.mu.Lock()
		newer, ok := k.state.Newer(m.Revision)
		k.mu.Unlock()
		if ok {
			k.deps.Peers.Send(from.Addr, &peer.Revision{Number: newer.Number, Digest: newer.Digest[:], Body: newer.Body, Hops: revision.MaxHops})
		}
	}
	return false
}

// HandlePull returns the reply to a request for a newer revision, or nil if there is none.
func (k *Manager) HandlePull(p *peer.PullRevision) peer.Message {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, ok := k.state.Newer(p.Have)
	if !ok {
		return nil
	}
	return &peer.Revision{Number: r.Number, Digest: r.Digest[:], Body: r.Body, Hops: revision.MaxHops}
}

// ConflictError is the error for a release note whose base is out of date because another operator's note was accepted
// first.
type ConflictError struct {
	// Current is the latest accepted revision and About the description in its note. Changes lists the differences
	// between the base of the rejected note and Current.
	Current uint64
	About   string
	Changes []note.Change
}

func (e *ConflictError) Error() string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "revision %d (%s) was accepted meanwhile; it made these changes:", e.Current, e.About)
	for _, c := range e.Changes {
		fmt.Fprintf(&b, "\n  %s", c)
	}
	fmt.Fprintf(&b, "\nset base = %d and apply the note again", e.Current)
	return b.String()
}

// Head reads the most recently accepted configuration from the table service, together with its row, whose version the
// next commit checks.
func (k *Manager) Head(ctx context.Context) (note.Config, platform.Row, error) {
	var c note.Config
	row, err := k.deps.Table.Read(ctx, keyHead)
	if err != nil || row.Version == 0 {
		return c, row, err
	}
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return c, row, fmt.Errorf("decode %s: %w", keyHead, err)
	}
	return c, row, nil
}

// Accept applies a release note to the fleet's configuration in one transaction and returns the new revision number. id
// identifies the operator's call, so that a retry after a lost response finds that its own note was accepted. The error
// is *ini.Faults, *note.StaleBaseError, *ConflictError or an error of the platform.
func (k *Manager) Accept(ctx context.Context, id string, text []byte) (uint64, error) {
	n, err := note.Parse("note", text)
	if err != nil {
		return 0, err
	}
	if id == "" {
		id = uuid.NewString()
	}
	cur, head, err := k.Head(ctx)
	if err != nil {
		return 0, err
	}
	if done, err := k.wasAccepted(ctx, n.Base+1, id); done || err != nil {
		return n.Base + 1, err
	}
	if n.Base < cur.Revision {
		return 0, k.conflictSince(ctx, n.Base, cur)
	}
	next, err := cur.Apply(n)
	if err != nil {
		return 0, err
	}
	body, err := json.Marshal(next)
	if err != nil {
		return 0, fmt.Errorf("encode revision %d: %w", next.Revision, err)
	}
	t := platform.Txn{
		OperationID: id,
		Checks:      []platform.Check{{Key: keyHead, Version: head.Version}},
		Writes:      []platform.Write{{Key: keyHead, Value: body}, {Key: keyNote(next.Revision), Value: text}},
	}
	if err := k.commit(ctx, t, next.Revision); err != nil {
		return 0, err
	}
	k.deps.Timeline.Add(timeline.Event{Kind: timeline.NoteAccepted, Revision: next.Revision})
	k.deps.Log.Info("release note accepted", "revision", next.Revision, "about", n.About)
	k.inbox.Offer(revision.Offered{Revision: revision.New(next.Revision, body)})
	return next.Revision, nil
}

// commit runs the transaction that accepts a note. If the response is lost, it reads back which note was accepted under
// the number and retries the transaction only if there is none. The retry is safe because the transaction checks the
// version of the head row.
func (k *Manager) commit(ctx context.Context, t platform.Txn, number uint64) error {
	for {
		_, err := k.deps.Table.Commit(ctx, t)
		var unknown *platform.UnknownOutcomeError
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &unknown), errors.As(err, &conflict):
			done, readErr := k.wasAccepted(ctx, number, t.OperationID)
			if done {
				return nil
			}
			if readErr != nil {
				return errors.Join(err, readErr)
			}
			cur, _, readErr := k.Head(ctx)
			if readErr != nil {
				return errors.Join(err, readErr)
			}
			if cur.Revision >= number {
				return k.conflictSince(ctx, number-1, cur)
			}
		default:
			return err
		}
		if err := timer.Wait(ctx, commitRetryDelay); err != nil {
			return err
		}
	}
}

// commitRetryDelay is the delay before a transaction whose response was lost is retried.
const commitRetryDelay = 100 * time.Millisecond

// wasAccepted tells whether the note with a number was wasAccepted under an operation number.
func (k *Manager) wasAccepted(ctx context.Context, number uint64, op string) (bool, error) {
	row, err := k.deps.Table.Read(ctx, keyNote(number))
	return err == nil && row.Version > 0 && row.OperationID == op, err
}

// conflictSince returns a ConflictError with the changes that were accepted since base.
func (k *Manager) conflictSince(ctx context.Context, base uint64, cur note.Config) error {
	e := &ConflictError{Current: cur.Revision}
	old, err := k.configAt(ctx, base)
	if err != nil {
		return err
	}
	e.Changes = note.Diff(old, cur)
	if row, err := k.deps.Table.Read(ctx, keyNote(cur.Revision)); err == nil {
		if n, err := note.Parse("note", row.Value); err == nil {
			e.About = n.About
		}
	}
	return e
}

// configAt computes the configuration at a revision by applying the accepted notes up to it in order.
func (k *Manager) configAt(ctx context.Context, number uint64) (note.Config, error) {
	var c note.Config
	for c.Revision < number {
		row, err := k.deps.Table.Read(ctx, keyNote(c.Revision+1))
		if err != nil {
			return c, err
		}
		n, err := note.Parse("note", row.Value)
		if err != nil {
			return c, fmt.Errorf("note %d: %w", c.Revision+1, err)
		}
		if c, err = c.Apply(n); err != nil {
			return c, fmt.Errorf("note %d: %w", c.Revision+1, err)
		}
	}
	return c, nil
}

// HistoryEntry is one accepted release note.
type HistoryEntry struct {
	Revision uint64 `json:"revision"`
	About    string `json:"about"`
	Text     string `json:"text"`
}

// History returns the accepted release notes, oldest first.
func (k *Manager) History(ctx context.Context) ([]HistoryEntry, error) {
	rows, err := k.deps.Table.Scan(ctx, prefixNote)
	if err != nil {
		return nil, err
	}
	var out []HistoryEntry
	for i, r := range rows {
		p := HistoryEntry{Revision: uint64(i + 1), Text: string(r.Value)}
		if n, err := note.Parse("note", r.Value); err == nil {
			p.About = n.About
		}
		out = append(out, p)
	}
	return out, nil
}
