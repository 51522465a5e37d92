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

// Table is the part of the table service that claims use. Its methods return the errors of package platform.
type Table interface {
	Commit(ctx context.Context, t platform.Txn) (uint64, error)
	Read(ctx context.Context, key string) (platform.Row, error)
}

const (
	// TakeTimeout is how long a request waits for its claim before it is rejected without being executed.
	TakeTimeout = 2 * time.Second
	// maxBatch is the maximum number of changes in one transaction, which also bounds its size.
	maxBatch = 64
	// maxQueuedClaims is the maximum number of queued claims, maxQueuedRecords that of queued outcomes. When the queue
	// is full, an outcome is dropped and its row stays pending.
	maxQueuedClaims  = 1024
	maxQueuedRecords = 4096
	// maxRecordAttempts is the maximum number of attempts to record one outcome; with a backoff from 200 ms to 10 s
	// they take about 10 minutes.
	maxRecordAttempts = 64
	// maxRechecks is the maximum number of reads and resends after a lost reply.
	maxRechecks = 4
)

// UnavailableError reports that the claim wasn't written in time. The call was not executed.
type UnavailableError struct{ Err error }

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("claim could not be written: %v", e.Err)
}
func (e *UnavailableError) Unwrap() error { return e.Err }

// QueueFullError reports that the queue of claims is full.
type QueueFullError struct{}

func (e *QueueFullError) Error() string { return "claim queue is full" }

// Claim is the result of a request for a claim.
type Claim struct {
	Verdict Verdict
	// Entry is the row as found or, with the verdict Owned, as written.
	Entry   Entry
	key     string
	version uint64
}

// queuedChange is a queued claim or a queued outcome.
type queuedChange struct {
	change Change
	// reply receives the result of a claim; it is nil for an outcome.
	reply      chan claimResult
	ctx        context.Context
	attempts   int
	retryAfter time.Time
	// absentReads counts the reads that found no row for a claim to be released.
	absentReads int
}

type claimResult struct {
	claim Claim
	err   error
}

// Writer writes claims and outcomes, several in one transaction. Run must be running. Its methods are safe for
// concurrent use.
type Writer struct {
	table   Table
	newOp   func() string
	claims  *ring.Queue[*queuedChange]
	records *ring.Queue[*queuedChange]
	// retries holds outcomes whose write failed, until their next attempt; only Run uses it.
	retries []*queuedChange
}

// NewWriter returns a new Writer. newOp returns a new operation ID at each call.
func NewWriter(t Table, newOp func() string) *Writer {
	return &Writer{table: t, newOp: newOp, claims: ring.NewQueue[*queuedChange](maxQueuedClaims), records: ring.NewQueue[*queuedChange](maxQueuedRecords)}
}

// Take claims a row for a request. If it fails with *UnavailableError, the request must not be sent; the row is
// released in the background in case the claim was written after all.
func (w *Writer) Take(ctx context.Context, key string, e Entry) (Claim, error) {
	ctx, stop := context.WithTimeout(ctx, TakeTimeout)
	defer stop()
	e.State = Pending
	it := &queuedChange{change: Change{Key: key, Entry: e}, reply: make(chan claimResult, 1), ctx: ctx}
	if !w.claims.Offer(it) {
		return Claim{}, &UnavailableError{Err: &QueueFullError{}}
	}
	select {
	case r := <-it.reply:
		return r.claim, r.err
	case <-ctx.Done():
		w.releaseUncertain(it.change)
		return Claim{}, &UnavailableError{Err: ctx.Err()}
	}
}

// Record stores the outcome of a claimed call. It does not wait for the table service.
func (w *Writer) Record(c Claim, a Response) {
	if len(a.Body) > MaxResponseBody {
		a.Body, a.Partial = nil, true
	}
	e := c.Entry
	e.State, e.Response = Done, &a
	w.records.Offer(&queuedChange{change: Change{Key: c.key, Version: c.version, Entry: e}})
}

// Release releases the claim of a call that is known not to have been executed. It does not wait for the table service.
func (w *Writer) Release(c Claim) {
	e := c.Entry
	e.State = Free
	w.records.Offer(&queuedChange{change: Change{Key: c.key, Version: c.version, Entry: e}})
}

// releaseUncertain releases a claim that may or may not have been written.
func (w *Writer) releaseUncertain(c Change) {
	c.Entry.State = Free
	c.Version = versionUnknown
	w.records.Offer(&queuedChange{change: c})
}

// versionUnknown marks a change whose row has to be read first to get its version.
const versionUnknown = ^uint64(0)

// retryCheckInterval is the interval at which failed writes are checked for a retry. The backoff doubles from it.
const retryCheckInterval = 100 * time.Millisecond

// Run writes queued changes until ctx ends. It then writes as many of the remaining changes as it can
// within one second.
func (w *Writer) Run(ctx context.Context) error {
	tick, stop := timer.Every(retryCheckInterval, 0.2)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
			defer cancel()
			for _, it := range w.retries {
				it.retryAfter = time.Time{}
			}
			for w.writeBatch(last, nil, nil) > 0 && last.Err() == nil {
			}
			return nil
		case it := <-w.claims.C():
			w.writeBatch(ctx, it, nil)
		case it := <-w.records.C():
			w.writeBatch(ctx, nil, it)
		case <-tick:
			if len(w.retries) > 0 {
				w.writeBatch(ctx, nil, nil)
			}
		}
	}
}

// writeBatch writes one batch and returns its size. Claims come first, then outcomes as far as there is room.
func (w *Writer) writeBatch(ctx context.Context, claim, record *queuedChange) (size int) {
	now := time.Now()
	var batch []*queuedChange
	add := func(it *queuedChange) {
		if it.reply != nil && it.ctx.Err() != nil {
			return // The request has already been rejected, and releaseUncertain has been called for the claim.
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
		case it := <-w.claims.C():
			add(it)
		default:
			more = false
		}
	}
	w.retries = slices.DeleteFunc(w.retries, func(it *queuedChange) bool {
		due := len(batch) < maxBatch && !now.Before(it.retryAfter)
		if due {
			batch = append(batch, it)
		}
		return due
	})
	for more := true; more && len(batch) < maxBatch; {
		select {
		case it := <-w.records.C():
			batch = append(batch, it)
		default:
			more = false
		}
	}
	size = len(batch)
	// A transaction can write each row only once; further changes of the same row go into the next transaction.
	for len(batch) > 0 {
		seen := map[string]bool{}
		var current, later []*queuedChange
		for _, it := range batch {
			if seen[it.change.Key] {
				later = append(later, it)
				continue
			}
			seen[it.change.Key] = true
			current = append(current, it)
		}
		w.commitChanges(ctx, current)
		batch = later
	}
	return size
}

// callTimeout bounds one call of the table service, so that a slow call delays a batch only for a limited time.
const callTimeout = time.Second

// commitChanges writes the changes to the table. A change that conflicts is resolved by its row and leaves the batch,
// unless it can be written at the row's version; the rest is sent again.
func (w *Writer) commitChanges(ctx context.Context, changes []*queuedChange) {
	changes = w.readVersions(ctx, changes)
	for len(changes) > 0 {
		t := Txn{Op: w.newOp()}
		for _, it := range changes {
			t.Changes = append(t.Changes, it.change)
		}
		version, conflicting, err := w.commitTxn(ctx, t)
		switch {
		case err != nil:
			for _, it := range changes {
				w.failOrRetry(it, err)
			}
			return
		case version > 0:
			for _, it := range changes {
				it.finish(Claim{Verdict: Owned, Entry: it.change.Entry, key: it.change.Key, version: version}, nil)
			}
			return
		}
		i := slices.IndexFunc(changes, func(it *queuedChange) bool { return it.change.Key == conflicting.Key })
		if i < 0 {
			for _, it := range changes {
				w.failOrRetry(it, &platform.ConflictError{Key: conflicting.Key, Version: conflicting.Version})
			}
			return
		}
		if !changes[i].resolveConflict(conflicting) {
			changes = slices.Delete(changes, i, i+1)
		}
	}
}

// readVersions reads the rows whose versions are unknown and returns the changes that are left to write. After a failed
// read it doesn't try the others, so that an unavailable table service delays queued claims by one read at most.
func (w *Writer) readVersions(ctx context.Context, changes []*queuedChange) []*queuedChange {
	var readErr error
	return slices.DeleteFunc(changes, func(it *queuedChange) bool {
		if it.change.Version != versionUnknown {
			return false
		}
		if readErr != nil {
			w.failOrRetry(it, readErr)
			return true
		}
		row, err := w.readRow(ctx, it.change.Key)
		if err != nil {
			readErr = err
			w.failOrRetry(it, err)
			return true
		}
		if row.Version == 0 {
			// The claim may still be in flight, so the row is read again a few times.
			if it.absentReads++; it.absentReads < maxRechecks {
				w.failOrRetry(it, nil)
			}
			return true
		}
		verdict, have, err := Decide(row, it.change.Entry, time.Now())
		if err != nil || verdict != Owned || have.State != Pending {
			return true // The row belongs to another request.
		}
		it.change.Version = row.Version
		return false
	})
}

// resolveConflict resolves a change, given the row that it conflicted with. It returns true if the change may be
// written at the row's version.
func (it *queuedChange) resolveConflict(row platform.Row) bool {
	if it.reply == nil {
		return false // Only the owner of a pending row writes it, so the outcome is already recorded.
	}
	verdict, have, err := Decide(row, it.change.Entry, time.Now())
	if err != nil {
		it.finish(Claim{}, &UnavailableError{Err: err})
		return false
	}
	if verdict == Claimable {
		it.change.Version = row.Version
		return true
	}
	it.finish(Claim{Verdict: verdict, Entry: have, key: row.Key, version: row.Version}, nil)
	return false
}

func (it *queuedChange) finish(c Claim, err error) {
	if it.reply != nil {
		it.reply <- claimResult{c, err}
	}
}

// failOrRetry rejects a claim, or queues an outcome for a retry.
func (w *Writer) failOrRetry(it *queuedChange, err error) {
	if it.reply != nil {
		w.releaseUncertain(it.change)
		it.finish(Claim{}, &UnavailableError{Err: err})
		return
	}
	if it.attempts++; it.attempts >= maxRecordAttempts || len(w.retries) >= maxQueuedRecords {
		return
	}
	it.retryAfter = time.Now().Add(min(retryCheckInterval<<min(it.attempts, 10), 10*time.Second))
	w.retries = append(w.retries, it)
}

// commitTxn sends a transaction until its status is known. It returns the version written, the row that conflicts, or
// an error if the status can't be determined.
func (w *Writer) commitTxn(ctx context.Context, t Txn) (version uint64, conflicting platform.Row, err error) {
	enc, err := t.Encode()
	if err != nil {
		return 0, conflicting, err
	}
	for range maxRechecks {
		version, err = w.commitOnce(ctx, enc)
		if err == nil {
			return version, conflicting, nil
		}
		var conflict *platform.ConflictError
		var unknown *platform.UnknownOutcomeError
		key := t.Changes[0].Key
		switch {
		case errors.As(err, &conflict):
			key = conflict.Key
		case errors.As(err, &unknown):
		default:
			return 0, conflicting, err
		}
		row, readErr := w.readRow(ctx, key)
		if readErr != nil {
			return 0, conflicting, errors.Join(err, readErr)
		}
		switch t.Status(row) {
		case Applied:
			return row.Version, conflicting, nil
		case Failed:
			return 0, row, nil
		case Undecided:
		}
	}
	return 0, conflicting, err
}

func (w *Writer) commitOnce(ctx context.Context, t platform.Txn) (uint64, error) {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	return w.table.Commit(ctx, t)
}

func (w *Writer) readRow(ctx context.Context, key string) (platform.Row, error) {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	return w.table.Read(ctx, key)
}
