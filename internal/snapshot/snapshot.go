// Package snapshot holds what a fresh daemon needs to start while the table service is down and no other daemon answers:
// the configuration, the group rows as last seen, and where the other daemons are.
//
// One object in the object store holds the newest snapshot. The daemon that is first in rendezvous order of the object's
// name writes it when something has changed. Daemons may disagree for a while about who that is, so a writer looks at
// the stored snapshot first and does not replace one of a higher revision. A reader takes a snapshot only as something
// it has heard: the state of package revision refuses a lower revision than the one it has.
package snapshot

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"flamingorudder.example/internal/member"
	"flamingorudder.example/internal/platform"
	"flamingorudder.example/internal/registry"
)

const (
	// Name is the object's name.
	Name = "fleet-snapshot"
	// Version is that of the format; others are refused.
	Version = 1
	// Period is the least time between two attempts to write.
	Period = 30 * time.Second
	// Patience is how long a fresh daemon waits for the table service or another daemon before it reads the snapshot.
	Patience = time.Second
)

// Snapshot is what a fresh daemon needs.
type Snapshot struct {
	Made time.Time `cbor:"1,keyasint"`
	// Revision is the number of the configuration in Body.
	Revision uint64 `cbor:"2,keyasint"`
	Body     []byte `cbor:"3,keyasint"`
	// Groups holds the rows of the table service with the prefix "group/".
	Groups  []platform.Row   `cbor:"4,keyasint"`
	Daemons []registry.Entry `cbor:"5,keyasint"`
}

// envelope is the stored form.
type envelope struct {
	Version uint64 `cbor:"1,keyasint"`
	// Sum is the SHA-256 sum of Body.
	Sum  []byte `cbor:"2,keyasint"`
	Body []byte `cbor:"3,keyasint"`
}

// Damaged reports a stored snapshot that is not what was written.
type Damaged struct{ Err error }

func (e *Damaged) Error() string {
	if e.Err == nil {
		return "snapshot does not match its checksum"
	}
	return fmt.Sprintf("snapshot does not decode: %v", e.Err)
}
func (e *Damaged) Unwrap() error { return e.Err }

// OtherVersion reports a snapshot in another format.
type OtherVersion struct{ Version uint64 }

func (e *OtherVersion) Error() string {
	return fmt.Sprintf("snapshot has format %d, not %d", e.Version, Version)
}

// Older reports a stored snapshot that is newer than the one to be written.
type Older struct{ Have, Stored uint64 }

func (e *Older) Error() string {
	return fmt.Sprintf("stored snapshot holds revision %d, this daemon has %d", e.Stored, e.Have)
}

// Encode returns the stored form.
func (s Snapshot) Encode() ([]byte, error) {
	body, err := cbor.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	sum := sha256.Sum256(body)
	b, err := cbor.Marshal(envelope{Version: Version, Sum: sum[:], Body: body})
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return b, nil
}

// Decode reads the stored form. It fails with *Damaged or *OtherVersion.
func Decode(b []byte) (Snapshot, error) {
	var e envelope
	var s Snapshot
	if err := cbor.Unmarshal(b, &e); err != nil {
		return s, &Damaged{Err: err}
	}
	if e.Version != Version {
		return s, &OtherVersion{Version: e.Version}
	}
	if sum := sha256.Sum256(e.Body); string(sum[:]) != string(e.Sum) {
		return s, &Damaged{}
	}
	if err := cbor.Unmarshal(e.Body, &s); err != nil {
		return Snapshot{}, &Damaged{Err: err}
	}
	return s, nil
}

// Writer decides when a daemon writes the snapshot. The zero value is ready.
type Writer struct {
	tried   time.Time
	written [sha256.Size]byte
}

// Due is whether it is this daemon's turn to compare and write.
func (w *Writer) Due(now time.Time, self string, daemons []string) bool {
	return member.Home(Name, daemons) == self && (w.tried.IsZero() || now.Sub(w.tried) >= Period)
}

// Write returns what to store: nil when nothing has changed since the last successful write or when there is no
// configuration yet. stored is what the object store holds, nil when there is none; a damaged one or one of another
// version is replaced. It fails with *Older when stored has a higher revision. Wrote is called after the write.
func (w *Writer) Write(now time.Time, s Snapshot, stored []byte) ([]byte, error) {
	w.tried = now
	if s.Revision == 0 || stored != nil && digest(s) == w.written {
		return nil, nil
	}
	if old, err := Decode(stored); err == nil {
		if old.Revision > s.Revision {
			return nil, &Older{Have: s.Revision, Stored: old.Revision}
		}
		if digest(old) == digest(s) {
			w.written = digest(s)
			return nil, nil
		}
	}
	s.Made = now
	return s.Encode()
}

// Wrote tells that a snapshot is stored.
func (w *Writer) Wrote(s Snapshot) { w.written = digest(s) }

// digest identifies the contents, whenever they were written.
func digest(s Snapshot) [sha256.Size]byte {
	s.Made = time.Time{}
	b, err := cbor.Marshal(s)
	if err != nil {
		return [sha256.Size]byte{}
	}
	return sha256.Sum256(b)
}
