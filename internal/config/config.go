// Package config keeps a daemon's configuration: it joins the spread of revisions (package revision) to the table service
// and to the other daemons.
//
// It owns the daemon's revision.State. One goroutine, Run, drives it; everything else hands messages to that goroutine
// through a bounded ring. A full ring drops the message, which is safe because every message is repeated.
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

// Keys of the table service. The head row holds the whole configuration, the numbered rows the text of each note.
const (
	keyHead    = "config/head"
	prefixNote = "config/note/"
)

func keyNote(number uint64) string { return fmt.Sprintf("%s%012d", prefixNote, number) }

// table is the part of the platform that the package uses.
type table interface {
	Read(ctx context.Context, key string) (platform.Row, error)
	Scan(ctx context.Context, prefix string) ([]platform.Row, error)
	Commit(ctx context.Context, t platform.Txn) (uint64, error)
}

// peers is the part of the protocol between daemons that the package uses.
type peers interface {
	Send(to netip.AddrPort, m peer.Message)
	Ask(ctx context.Context, to netip.AddrPort, m peer.Message) (peer.Message, error)
}

// Deps is what a Keeper works with.
type Deps struct {
	Table table
	Peers peers
	// Others returns the peer addresses of live daemons.
	Others func() []netip.AddrPort
	// Partners returns the few of them that are told now and then which revision is in force here.
	Partners func() []netip.AddrPort
	// Hello returns the message that tells other daemons who this one is; the keeper fills in the revision.
	Hello func() peer.Hello
	// Apply puts a configuration in force. It must not block.
	Apply func(note.Config)
	Log   hclog.Logger
	Line  *timeline.Log
	// Random drives the choice of peers.
	Random *rand.Rand
}

// Keeper keeps the configuration of one daemon. Its methods may be called from several goroutines.
type Keeper struct {
	d  Deps
	in *ring.Queue[revision.Message]

	mu    sync.Mutex
	state revision.State
	cfg   note.Config
}

const inbox = 256

// New returns a keeper without a configuration.
func New(d Deps) *Keeper { return &Keeper{d: d, in: ring.NewQueue[revision.Message](inbox)} }

// Config returns the configuration in force and whether there is one.
func (k *Keeper) Config() (note.Config, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cfg, k.cfg.Revision > 0
}

// Numbers returns the numbers of the revisions received and applied.
func (k *Keeper) Numbers() (received, applied uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Received(), k.state.Applied()
}

// Revision returns the highest revision received and whether there is one.
func (k *Keeper) Revision() (revision.Revision, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Newer(0)
}

// Restore takes in a revision from a snapshot. It is ignored when the keeper has a higher one, and not passed on.
func (k *Keeper) Restore(r revision.Revision) {
	k.in.Offer(revision.Offered{Revision: r, Hops: revision.MaxHops})
}

// Run drives the spread until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return k.decide(ctx, g) })
	g.Go(func() error { return k.readTable(ctx) })
	g.Go(func() error { return k.hello(ctx) })
	return g.Wait()
}

func (k *Keeper) decide(ctx context.Context, g *errgroup.Group) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-k.in.C():
			k.step(ctx, g, m)
		}
	}
}

func (k *Keeper) step(ctx context.Context, g *errgroup.Group, m revision.Message) {
	k.mu.Lock()
	actions := k.state.Step(time.Now(), m)
	k.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case revision.Apply:
			k.apply(a.Revision)
		case revision.Push:
			for _, to := range k.choose(revision.Fanout, k.d.Others()) {
				k.d.Peers.Send(to, &peer.Rev{Number: a.Revision.Number, Digest: a.Revision.Digest[:], Body: a.Revision.Body, Hops: a.Hops})
			}
		case revision.Pull:
			g.Go(func() error {
				k.pull(ctx, a)
				return nil
			})
		case revision.LogError:
			k.d.Log.Error("revision refused", "error", a.Err)
		}
	}
}

func (k *Keeper) apply(r revision.Revision) {
	k.d.Line.Add(timeline.Event{Kind: timeline.Have, Revision: r.Number})
	var c note.Config
	if err := json.Unmarshal(r.Body, &c); err != nil || c.Revision != r.Number {
		k.d.Log.Error("revision cannot be applied; the earlier one stays in force", "revision", r.Number, "error", err)
		return
	}
	k.mu.Lock()
	k.cfg = c
	k.state.Step(time.Now(), revision.Applied{Number: r.Number})
	k.mu.Unlock()
	k.d.Apply(c)
	k.d.Line.Add(timeline.Event{Kind: timeline.Apply, Revision: r.Number})
	k.d.Log.Info("configuration in force", "revision", r.Number)
}

// choose returns up to n random ones of all, which it shuffles.
func (k *Keeper) choose(n int, all []netip.AddrPort) []netip.AddrPort {
	k.mu.Lock()
	k.d.Random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	k.mu.Unlock()
	return all[:min(n, len(all))]
}

func (k *Keeper) pull(ctx context.Context, p revision.Pull) {
	answer, err := k.d.Peers.Ask(ctx, p.Peer, &peer.Pull{Have: p.Have})
	if err != nil {
		k.d.Log.Debug("revision could not be pulled", "peer", p.Peer, "error", err)
		return
	}
	if r, ok := answer.(*peer.Rev); ok {
		k.offer(r)
	}
}

func (k *Keeper) offer(r *peer.Rev) {
	m := revision.Offered{Revision: revision.Revision{Number: r.Number, Body: r.Body}, Hops: r.Hops}
	if copy(m.Revision.Digest[:], r.Digest) == len(m.Revision.Digest) {
		k.in.Offer(m)
	}
}

// readTable reads the head of the configuration from time to time. A scan, unlike a read, is answered in
// full only when the row has changed.
func (k *Keeper) readTable(ctx context.Context) error {
	tick, stop := timer.Every(revision.ReadPeriod, 0.5)
	defer stop()
	seen := uint64(0)
	for {
		rows, err := k.d.Table.Scan(ctx, keyHead)
		switch {
		case err != nil:
			if ctx.Err() == nil {
				k.d.Log.Debug("configuration could not be read from the table", "error", err)
			}
		case len(rows) > 0 && rows[0].Version != seen:
			row := rows[0]
			seen = row.Version
			var head struct {
				Revision uint64 `json:"revision"`
			}
			if err := json.Unmarshal(row.Value, &head); err != nil {
				k.d.Log.Error("head of the configuration does not decode", "error", err)
			} else if received, _ := k.Numbers(); head.Revision > received {
				if !k.in.Offer(revision.Offered{Revision: revision.New(head.Revision, row.Value)}) {
					seen = 0 // The ring was full; the next read tries again.
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

// hello tells a random partner now and then which revision is in force here. Until there is a configuration it asks
// several peers at once, so that a fresh daemon starts from the newest that any of them has.
func (k *Keeper) hello(ctx context.Context) error {
	tick, stop := timer.Every(revision.HelloPeriod, 0.5)
	defer stop()
	for {
		_, applied := k.Numbers()
		n, from := 1, k.d.Partners
		if applied == 0 {
			n, from = revision.Fanout, k.d.Others
		}
		h := k.d.Hello()
		h.Revision = applied
		for _, to := range k.choose(n, from()) {
			k.d.Peers.Send(to, &h)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick:
		}
	}
}

// Receive takes in a message of another daemon and reports whether it was for this package.
func (k *Keeper) Receive(from peer.From, m peer.Message) bool {
	switch m := m.(type) {
	case *peer.Rev:
		k.offer(m)
		return true
	case *peer.Hello:
		k.in.Offer(revision.Announced{Peer: from.Addr, Number: m.Revision})
		k.mu.Lock()
		newer, ok := k.state.Newer(m.Revision)
		k.mu.Unlock()
		if ok {
			k.d.Peers.Send(from.Addr, &peer.Rev{Number: newer.Number, Digest: newer.Digest[:], Body: newer.Body, Hops: revision.MaxHops})
		}
	}
	return false
}

// Answer answers a question for a newer revision; nil means that there is none.
func (k *Keeper) Answer(p *peer.Pull) peer.Message {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, ok := k.state.Newer(p.Have)
	if !ok {
		return nil
	}
	return &peer.Rev{Number: r.Number, Digest: r.Digest[:], Body: r.Body, Hops: revision.MaxHops}
}

// Raced reports that another operator's note was accepted meanwhile.
type Raced struct {
	// Current is the revision in force, About what its note says, and Changes what differs from the base of the
	// refused note.
	Current uint64
	About   string
	Changes []note.Change
}

func (e *Raced) Error() string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "revision %d (%s) was accepted meanwhile; it made these changes:", e.Current, e.About)
	for _, c := range e.Changes {
		fmt.Fprintf(&b, "\n  %s", c)
	}
	fmt.Fprintf(&b, "\nset base = %d and apply the note again", e.Current)
	return b.String()
}

// Head reads the configuration that has been accepted last, with the version of its row.
func (k *Keeper) Head(ctx context.Context) (note.Config, platform.Row, error) {
	var c note.Config
	row, err := k.d.Table.Read(ctx, keyHead)
	if err != nil || row.Version == 0 {
		return c, row, err
	}
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return c, row, fmt.Errorf("decode %s: %w", keyHead, err)
	}
	return c, row, nil
}

// Accept makes a release note the configuration of the fleet, by one transaction. id identifies the operator's call, so
// that a repeat after a lost answer finds its own note accepted. It fails with *ini.Faults, *note.Stale, *Raced or an
// error of the platform.
func (k *Keeper) Accept(ctx context.Context, id string, text []byte) (uint64, error) {
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
	if done, err := k.accepted(ctx, n.Base+1, id); done || err != nil {
		return n.Base + 1, err
	}
	if n.Base < cur.Revision {
		return 0, k.raced(ctx, n.Base, cur)
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
		Op:     id,
		Checks: []platform.Check{{Key: keyHead, Version: head.Version}},
		Writes: []platform.Write{{Key: keyHead, Value: body}, {Key: keyNote(next.Revision), Value: text}},
	}
	if err := k.commit(ctx, t, next.Revision); err != nil {
		return 0, err
	}
	k.d.Line.Add(timeline.Event{Kind: timeline.Note, Revision: next.Revision})
	k.d.Log.Info("release note accepted", "revision", next.Revision, "about", n.About)
	k.in.Offer(revision.Offered{Revision: revision.New(next.Revision, body)})
	return next.Revision, nil
}

// commit runs the transaction of a note. A lost answer is settled by reading back whose note has the number; the
// transaction is sent again only while nobody's has it, which its check on the head row makes safe.
func (k *Keeper) commit(ctx context.Context, t platform.Txn, number uint64) error {
	for {
		_, err := k.d.Table.Commit(ctx, t)
		var unknown *platform.Unknown
		var conflict *platform.Conflict
		switch {
		case err == nil:
			return nil
		case errors.As(err, &unknown), errors.As(err, &conflict):
			done, readErr := k.accepted(ctx, number, t.Op)
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
				return k.raced(ctx, number-1, cur)
			}
		default:
			return err
		}
		if err := timer.Wait(ctx, commitAgain); err != nil {
			return err
		}
	}
}

// commitAgain is the pause before a transaction whose answer was lost is sent again.
const commitAgain = 100 * time.Millisecond

// accepted tells whether the note with a number was accepted under an operation number.
func (k *Keeper) accepted(ctx context.Context, number uint64, op string) (bool, error) {
	row, err := k.d.Table.Read(ctx, keyNote(number))
	return err == nil && row.Version > 0 && row.Op == op, err
}

// raced describes what was accepted since base.
func (k *Keeper) raced(ctx context.Context, base uint64, cur note.Config) error {
	e := &Raced{Current: cur.Revision}
	old, err := k.at(ctx, base)
	if err != nil {
		return err
	}
	e.Changes = note.Diff(old, cur)
	if row, err := k.d.Table.Read(ctx, keyNote(cur.Revision)); err == nil {
		if n, err := note.Parse("note", row.Value); err == nil {
			e.About = n.About
		}
	}
	return e
}

// at folds the accepted notes up to a revision.
func (k *Keeper) at(ctx context.Context, number uint64) (note.Config, error) {
	var c note.Config
	for c.Revision < number {
		row, err := k.d.Table.Read(ctx, keyNote(c.Revision+1))
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

// Past is one accepted note.
type Past struct {
	Revision uint64 `json:"revision"`
	About    string `json:"about"`
	Text     string `json:"text"`
}

// History returns the accepted notes, oldest first.
func (k *Keeper) History(ctx context.Context) ([]Past, error) {
	rows, err := k.d.Table.Scan(ctx, prefixNote)
	if err != nil {
		return nil, err
	}
	var out []Past
	for i, r := range rows {
		p := Past{Revision: uint64(i + 1), Text: string(r.Value)}
		if n, err := note.Parse("note", r.Value); err == nil {
			p.About = n.About
		}
		out = append(out, p)
	}
	return out, nil
}
