// Package claim implements at-most-once execution of calls with an idempotency key (docs/design.md, 6.7).
//
// The first daemon that writes the row of a key may send the call, once; every other request with the key is answered
// from the row. This file has the logic without I/O: the rows, the decision that follows from a row, and Txn, which
// combines several changes in one transaction and determines its status after a lost reply. Writer runs it against the
// table service.
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

// KeyPrefix is the common prefix of the keys of all rows of this package.
const KeyPrefix = "claim/"

// State is the state of the call of a key.
type State string

// States of a row.
const (
	// Pending means that the call may have been sent and no outcome has been recorded.
	Pending State = "pending"
	// Done means that the outcome has been recorded.
	Done State = "done"
	// Free means that the call is known not to have been executed; the key may be claimed again.
	Free State = "free"
)

// MaxResponseBody is the size in bytes of the largest response body that a row stores. For a larger one, only the
// status and the headers are stored.
const MaxResponseBody = 16 << 10

// Response is the recorded response to a call.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Partial is whether the body was omitted.
	Partial bool `json:"partial,omitempty"`
}

// Entry is the value of a row.
type Entry struct {
	State State `json:"state"`
	// Hash is the SHA-256 sum that identifies the call.
	Hash string `json:"hash"`
	// Request is the ID of the request that holds the claim.
	Request string `json:"request"`
	// Due is the time until which a pending claim counts as in progress.
	Due      time.Time `json:"due"`
	Response *Response `json:"answer,omitempty"`
}

// Key returns the key of the row of an organisation's idempotency key. The row key contains only a hash of the
// idempotency key.
func Key(org, key string) string {
	sum := sha256.Sum256([]byte(key))
	return KeyPrefix + org + "/" + hex.EncodeToString(sum[:])
}

// Verdict is the decision on a request, given the row of its key.
type Verdict uint8

// Verdicts.
const (
	// Owned means that the request holds the claim and may be sent once.
	Owned Verdict = iota
	// Replay means that the recorded response is to be returned.
	Replay
	// InProgress means that another request with the key is in progress.
	InProgress
	// OutcomeUnknown means that another request with the key may have been executed and its outcome will never be
	// known.
	OutcomeUnknown
	// Mismatch means that the key was used for a different call.
	Mismatch
	// Claimable means that the key may be claimed by a write that checks the row's version.
	Claimable
)

var verdictNames = [...]string{"mine", "replay", "in-progress", "unknown", "mismatch", "claimable"}

func (v Verdict) String() string { return verdictNames[v] }

// Decide returns the verdict on the request in want, given the row of its key. A claim that stays pending is never
// given to another request, because its call may have been executed.
func Decide(row platform.Row, want Entry, now time.Time) (Verdict, Entry, error) {
	if row.Version == 0 {
		return Claimable, Entry{}, nil
	}
	var have Entry
	if err := json.Unmarshal(row.Value, &have); err != nil {
		return OutcomeUnknown, have, fmt.Errorf("decode %s: %w", row.Key, err)
	}
	switch {
	case have.State == Free:
		return Claimable, have, nil
	case have.Request == want.Request:
		return Owned, have, nil
	case have.Hash != want.Hash:
		return Mismatch, have, nil
	case have.State == Done:
		return Replay, have, nil
	case now.Before(have.Due):
		return InProgress, have, nil
	}
	return OutcomeUnknown, have, nil
}

// Change is one conditional write of a row.
type Change struct {
	Key string
	// Version is the version that the row must still have; 0 means that the row must not exist.
	Version uint64
	Entry   Entry
}

// Txn is one transaction of several changes. After a lost reply or a conflict, Status determines from one of the rows
// what became of it: the changes take effect together, so one row is enough.
type Txn struct {
	Op      string
	Changes []Change
}

// Encode returns the transaction in the format of the table service.
func (t Txn) Encode() (platform.Txn, error) {
	out := platform.Txn{OperationID: t.Op}
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

// TxnStatus is the status of a transaction.
type TxnStatus uint8

// Statuses of a transaction.
const (
	// Applied means that all changes took effect.
	Applied TxnStatus = iota
	// Undecided means that the row still has the version that the transaction checks: the same transaction may be sent
	// again.
	Undecided
	// Failed means that the row's version has changed, so the transaction can no longer take effect.
	Failed
)

// Status returns the status of the transaction, given a row that was read after it was sent. The transaction may still
// be in flight: while the row has the checked version, the transaction may take effect later, so it hasn't failed yet.
func (t Txn) Status(row platform.Row) TxnStatus {
	if row.Version > 0 && row.OperationID == t.Op {
		return Applied
	}
	for _, c := range t.Changes {
		if c.Key == row.Key && c.Version == row.Version {
			return Undecided
		}
	}
	return Failed
}
