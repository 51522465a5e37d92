package claim

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"flamingorudder.example/internal/platform"
	"flamingorudder.example/internal/ring"
	"flamingorudder.example/internal/timer"
)

// Table is the part of the table service that claims use. Its failures are those of package platform.
type Table interface {
	Commit(ctx context.Context, t platform.Txn) (uint64, error)
	Read(ctx context.Context, key string) (platform.Row, error)
}

const (
	// Limit is how long a request waits for its claim before it is refused as not run.
	Limit = 2 * time.Second
	// maxBatch bounds the changes of one transaction, and so its size.
	maxBatch = 64
	// maxWaiting bounds the claims that wait, maxRecords the outcomes that wait to be recorded. An outcome that finds
	// no room is dropped, and its row stays pending.
	maxWaiting = 1024
	maxRecords = 4096
	// maxTries bounds the attempts to record one outcome; with back-off from 100 ms to 10 s it lasts about 10 minutes.
	maxTries = 64
	// readTries bounds the reads and repeats after a lost answer.
	readTries = 4
)

// Unavailable reports that the table did not take the claim in time. The call was not run.
type Unavailable struct{ Err error }

func (e *Unavailable) Error() string { return fmt.Sprintf("claim could not be written: %v", e.Err) }
func (e *Unavailable) Unwrap() error { return e.Err }

// Full reports that too many claims wait for the table.
type Full struct{}

func (e *Full) Error() string { return "too many claims wait for the table" }

// Claim is the answer to a request for a claim.
type Claim struct {
	Verdict Verdict
	// Entry is the row as found; with the verdict Mine it is the row as written.
	Entry   Entry
	key     string
	version uint64
}

// item is a change that waits, with the place for its result when it is a claim.
type item struct {
	change Change
	// claimed receives the result of a claim; it is nil for the record of an outcome.
	claimed chan result
	ctx     context.Context
	tries   int
	next    time.Time
	// absent counts the reads that found no row for a claim to be released.
	absent int
}

type result struct {
	claim Claim
	err   error
}

// Keeper writes claims and outcomes, many in one transaction. Run must be running. Its methods may be called from
// several goroutines.
type Keeper struct {
	table   Table
	ids     func() string
	claims  *ring.Queue[*item]
	records *ring.Queue[*item]
	// late holds records that failed and wait for their next try; only Run uses it.
	late []*item
}

// NewKeeper returns a keeper. ids returns a new operation number for each call.
func NewKeeper(t Table, ids func() string) *Keeper {
	return &Keeper{table: t, ids: ids, claims: ring.NewQueue[*item](maxWaiting), records: ring.NewQueue[*item](maxRecords)}
}

// Take claims a row for a request. It fails with *Unavailable; then the request must not be sent, and its row is
// marked free in the background in case the claim was written after all.
func (k *Keeper) Take(ctx context.Context, key string, e Entry) (Claim, error) {
	ctx, stop := context.WithTimeout(ctx, Limit)
	defer stop()
	e.State = Pending
	it := &item{change: Change{Key: key, Entry: e}, claimed: make(chan result, 1), ctx: ctx}
	if !k.claims.Offer(it) {
		return Claim{}, &Unavailable{Err: &Full{}}
	}
	select {
	case r := <-it.claimed:
		return r.claim, r.err
	case <-ctx.Done():
		k.abandon(it.change)
		return Claim{}, &Unavailable{Err: ctx.Err()}
	}
}

// Record keeps the outcome of a claimed call. It does not wait for the table.
func (k *Keeper) Record(c Claim, a Answer) {
	if len(a.Body) > MaxBody {
		a.Body, a.Partial = nil, true
	}
	e := c.Entry
	e.State, e.Answer = Done, &a
	k.records.Offer(&item{change: Change{Key: c.key, Version: c.version, Entry: e}})
}

// Release gives a claim back whose call was proved not run. It does not wait for the table.
func (k *Keeper) Release(c Claim) {
	e := c.Entry
	e.State = Free
	k.records.Offer(&item{change: Change{Key: c.key, Version: c.version, Entry: e}})
}

// abandon releases a claim that may or may not have been written.
func (k *Keeper) abandon(c Change) {
	c.Entry.State = Free
	c.Version = versionUnread
	k.records.Offer(&item{change: c})
}

// versionUnread marks a change whose row has to be read first to learn its version.
const versionUnread = ^uint64(0)

// flushPeriod is how often failed records are looked at.
const flushPeriod = 100 * time.Millisecond

// Run writes what waits until ctx ends, then what can be written at once.
func (k *Keeper) Run(ctx context.Context) error {
	tick, stop := timer.Every(flushPeriod, 0.2)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
			defer cancel()
			for _, it := range k.late {
				it.next = time.Time{}
			}
			for k.round(last, nil, nil) > 0 && last.Err() == nil {
			}
			return nil
		case it := <-k.claims.C():
			k.round(ctx, it, nil)
		case it := <-k.records.C():
			k.round(ctx, nil, it)
		case <-tick:
			if len(k.late) > 0 {
				k.round(ctx, nil, nil)
			}
		}
	}
}

// round writes one batch, the claims that wait and then records as far as there is room, and returns its size.
func (k *Keeper) round(ctx context.Context, claim, record *item) (size int) {
	now := time.Now()
	var batch []*item
	add := func(it *item) {
		if it.claimed != nil && it.ctx.Err() != nil {
			return // Its request has been refused; abandon has been called for it.
		}
		batch = append(batch, it)
	}
	if claim != nil {
		add(claim)
	}
	if record != nil {
		add(record)
	}
	for more := true; more && len(batch) < maxBatch; {
		select {
		case it := <-k.claims.C():
			add(it)
		default:
			more = false
		}
	}
	k.late = slices.DeleteFunc(k.late, func(it *item) bool {
		due := len(batch) < maxBatch && !now.Before(it.next)
		if due {
			batch = append(batch, it)
		}
		return due
	})
	for more := true; more && len(batch) < maxBatch; {
		select {
		case it := <-k.records.C():
			batch = append(batch, it)
		default:
			more = false
		}
	}
	size = len(batch)
	// A transaction holds each row once; further items of the same row go into the next one.
	for len(batch) > 0 {
		seen := map[string]bool{}
		var first, later []*item
		for _, it := range batch {
			if seen[it.change.Key] {
				later = append(later, it)
				continue
			}
			seen[it.change.Key] = true
			first = append(first, it)
		}
		k.write(ctx, first)
		batch = later
	}
	return size
}

// commitLimit bounds one call of the table, so that a slow table holds a batch up for a bounded time.
const commitLimit = time.Second

// write brings the items into the table. One that conflicts is settled by its row and leaves the batch; the rest is
// sent again.
func (k *Keeper) write(ctx context.Context, items []*item) {
	items = k.resolve(ctx, items)
	for len(items) > 0 {
		t := Txn{Op: k.ids()}
		for _, it := range items {
			t.Changes = append(t.Changes, it.change)
		}
		version, bad, err := k.commit(ctx, t)
		switch {
		case err != nil:
			for _, it := range items {
				k.fail(it, err)
			}
			return
		case version > 0:
			for _, it := range items {
				it.done(Claim{Verdict: Mine, Entry: it.change.Entry, key: it.change.Key, version: version}, nil)
			}
			return
		}
		i := slices.IndexFunc(items, func(it *item) bool { return it.change.Key == bad.Key })
		if i < 0 {
			for _, it := range items {
				k.fail(it, &platform.Conflict{Key: bad.Key, Version: bad.Version})
			}
			return
		}
		if !items[i].retryAt(bad) {
			items = slices.Delete(items, i, i+1)
		}
	}
}

// resolve reads the rows whose version is not known. It returns the items that are left to write. After a read that
// fails the others are not tried, so that a table that is down delays waiting claims by one read at most.
func (k *Keeper) resolve(ctx context.Context, items []*item) []*item {
	var down error
	return slices.DeleteFunc(items, func(it *item) bool {
		if it.change.Version != versionUnread {
			return false
		}
		if down != nil {
			k.fail(it, down)
			return true
		}
		row, err := k.read(ctx, it.change.Key)
		if err != nil {
			down = err
			k.fail(it, err)
			return true
		}
		if row.Version == 0 {
			// The claim may still be on its way to the table, but not for long.
			if it.absent++; it.absent < readTries {
				k.fail(it, nil)
			}
			return true
		}
		verdict, have, err := Decide(row, it.change.Entry, time.Now())
		if err != nil || verdict != Mine || have.State != Pending {
			return true // The row belongs to another request.
		}
		it.change.Version = row.Version
		return false
	})
}

// retryAt settles an item by the row that it conflicted with. It reports true when the item may be written at the
// row's version.
func (it *item) retryAt(row platform.Row) bool {
	if it.claimed == nil {
		return false // The owner of a pending row alone writes it, so the outcome is there already.
	}
	verdict, have, err := Decide(row, it.change.Entry, time.Now())
	if err != nil {
		it.done(Claim{}, &Unavailable{Err: err})
		return false
	}
	if verdict == Claimable {
		it.change.Version = row.Version
		return true
	}
	it.done(Claim{Verdict: verdict, Entry: have, key: row.Key, version: row.Version}, nil)
	return false
}

func (it *item) done(c Claim, err error) {
	if it.claimed != nil {
		it.claimed <- result{c, err}
	}
}

// fail refuses a claim, and puts a record back for a later try.
func (k *Keeper) fail(it *item, err error) {
	if it.claimed != nil {
		k.abandon(it.change)
		it.done(Claim{}, &Unavailable{Err: err})
		return
	}
	if it.tries++; it.tries >= maxTries || len(k.late) >= maxRecords {
		return
	}
	it.next = time.Now().Add(min(flushPeriod<<min(it.tries, 10), 10*time.Second))
	k.late = append(k.late, it)
}

// commit sends a transaction until its fate is known. It returns the version written, or else the row that stands in
// the way, or an error when the table does not answer.
func (k *Keeper) commit(ctx context.Context, t Txn) (version uint64, bad platform.Row, err error) {
	enc, err := t.Encode()
	if err != nil {
		return 0, bad, err
	}
	for range readTries {
		version, err = k.send(ctx, enc)
		if err == nil {
			return version, bad, nil
		}
		var conflict *platform.Conflict
		var unknown *platform.Unknown
		key := t.Changes[0].Key
		switch {
		case errors.As(err, &conflict):
			key = conflict.Key
		case errors.As(err, &unknown):
		default:
			return 0, bad, err
		}
		row, readErr := k.read(ctx, key)
		if readErr != nil {
			return 0, bad, errors.Join(err, readErr)
		}
		switch t.Settle(row) {
		case Applied:
			return row.Version, bad, nil
		case Failed:
			return 0, row, nil
		case Open:
		}
	}
	return 0, bad, err
}

func (k *Keeper) send(ctx context.Context, t platform.Txn) (uint64, error) {
	ctx, stop := context.WithTimeout(ctx, commitLimit)
	defer stop()
	return k.table.Commit(ctx, t)
}

func (k *Keeper) read(ctx context.Context, key string) (platform.Row, error) {
	ctx, stop := context.WithTimeout(ctx, commitLimit)
	defer stop()
	return k.table.Read(ctx, key)
}
