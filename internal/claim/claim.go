// Package claim keeps calls with an idempotency key at most once (docs/design.md, 6.7).
//
// The first daemon that writes the row of a key may send the call, once; every other request with the key is answered
// from the row. The pure core is in this file: the rows, the decision that follows from a row, and Txn, which carries
// many changes in one transaction and reads back after a lost answer. Keeper runs it against the table service.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"flamingorudder.example/internal/platform"
)

// Prefix starts the keys of all rows of this package.
const Prefix = "claim/"

// State is what is known of the call of a key.
type State string

// States of a row.
const (
	// Pending means that the call may have been sent and no outcome has been recorded.
	Pending State = "pending"
	// Done means that the outcome has been recorded.
	Done State = "done"
	// Free means that the call was proved not run; the key may be claimed again.
	Free State = "free"
)

// MaxBody is the largest body that a row keeps, in bytes; of a larger answer it keeps the status.
const MaxBody = 16 << 10

// Answer is a recorded outcome.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Partial is whether the body was left out.
	Partial bool `json:"partial,omitempty"`
}

// Entry is the value of a row.
type Entry struct {
	State State `json:"state"`
	// Hash is the SHA-256 sum of the call.
	Hash string `json:"hash"`
	// Request is the id of the request that holds the claim.
	Request string `json:"request"`
	// Due is when a claim that is still pending no longer counts as in progress.
	Due    time.Time `json:"due"`
	Answer *Answer   `json:"answer,omitempty"`
}

// Key returns the key of the row of an organisation's idempotency key, which the row does not show.
func Key(org, key string) string {
	sum := sha256.Sum256([]byte(key))
	return Prefix + org + "/" + hex.EncodeToString(sum[:])
}

// Verdict is what a row says to a request with its key.
type Verdict uint8

// Verdicts.
const (
	// Mine means that the request holds the claim and may be sent once.
	Mine Verdict = iota
	// Replay means that the recorded answer is to be given.
	Replay
	// InProgress means that another request with the key is being run.
	InProgress
	// Lost means that it is not known whether another request with the key was run, and will not be known.
	Lost
	// Mismatch means that the key belongs to a different call.
	Mismatch
	// Claimable means that the key may be claimed, at the row's version.
	Claimable
)

var verdictNames = [...]string{"mine", "replay", "in-progress", "unknown", "mismatch", "claimable"}

func (v Verdict) String() string { return verdictNames[v] }

// Decide returns what a row says to a request. A claim that stays pending is never given to another request, because
// its call may have been run.
func Decide(row platform.Row, want Entry, now time.Time) (Verdict, Entry, error) {
	if row.Version == 0 {
		return Claimable, Entry{}, nil
	}
	var have Entry
	if err := json.Unmarshal(row.Value, &have); err != nil {
		return Lost, have, fmt.Errorf("decode %s: %w", row.Key, err)
	}
	switch {
	case have.State == Free:
		return Claimable, have, nil
	case have.Request == want.Request:
		return Mine, have, nil
	case have.Hash != want.Hash:
		return Mismatch, have, nil
	case have.State == Done:
		return Replay, have, nil
	case now.Before(have.Due):
		return InProgress, have, nil
	}
	return Lost, have, nil
}

// Change is one conditional write of a row.
type Change struct {
	Key string
	// Version is the version that the row must still have; 0 means that it must be absent.
	Version uint64
	Entry   Entry
}

// Txn is one transaction of changes. After a lost answer, or a conflict, Settle tells from one row what became of it:
// the changes take effect together, so one row speaks for all.
type Txn struct {
	Op      string
	Changes []Change
}

// Encode returns the transaction in the form of the table service.
func (t Txn) Encode() (platform.Txn, error) {
	out := platform.Txn{Op: t.Op}
	for _, c := range t.Changes {
		b, err := json.Marshal(c.Entry)
		if err != nil {
			return out, fmt.Errorf("encode %s: %w", c.Key, err)
		}
		out.Checks = append(out.Checks, platform.Check{Key: c.Key, Version: c.Version})
		out.Writes = append(out.Writes, platform.Write{Key: c.Key, Value: b})
	}
	return out, nil
}

// Settled is what became of a transaction.
type Settled uint8

// Fates of a transaction.
const (
	// Applied means that all changes took effect.
	Applied Settled = iota
	// Open means that the row is as the transaction requires it: the same transaction may be sent again.
	Open
	// Failed means that the change of the row can no longer take effect, and so no change of the transaction can.
	Failed
)

// Settle judges the transaction by a row read after it was sent. The same conditional transaction may be on its way
// still: while the row is at the checked version it can take effect later, so nothing else may be concluded.
func (t Txn) Settle(row platform.Row) Settled {
	if row.Version > 0 && row.Op == t.Op {
		return Applied
	}
	for _, c := range t.Changes {
		if c.Key == row.Key && c.Version == row.Version {
			return Open
		}
	}
	return Failed
}
