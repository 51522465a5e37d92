// Package snapshot encodes what a new daemon needs to start while the table service is down and no other daemon responds:
// the configuration, the last known group rows, and the addresses of the other daemons.
//
// One object in the object store holds the latest snapshot. The daemon that ranks first by rendezvous hashing of the
// object name writes it when its content has changed. Daemons may temporarily disagree on which one that is, so a writer
// reads the stored snapshot first and does not replace one of a higher revision. A reader treats a snapshot like a
// revision received from another daemon: package revision rejects a revision lower than the current one.
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
	// ObjectName is the name of the object in the object store.
	ObjectName = "fleet-snapshot"
	// FormatVersion is the version of the format. Other versions are rejected.
	FormatVersion = 1
	// MinWriteInterval is the minimum interval between two write attempts of a daemon.
	MinWriteInterval = 30 * time.Second
	// ReadDelay is how long a new daemon waits for the table service or another daemon before it reads the snapshot.
	ReadDelay = time.Second
)

// Snapshot is the state from which a new daemon can start.
type Snapshot struct {
	CreatedAt time.Time `cbor:"1,keyasint"`
	// Revision is the revision of the configuration in Config.
	Revision uint64 `cbor:"2,keyasint"`
	Config   []byte `cbor:"3,keyasint"`
	// Groups holds the rows of the table service whose keys begin with "group/".
	Groups  []platform.Row   `cbor:"4,keyasint"`
	Daemons []registry.Entry `cbor:"5,keyasint"`
}

// envelope is the stored form of a snapshot.
type envelope struct {
	Version uint64 `cbor:"1,keyasint"`
	// Sum is the SHA-256 hash of Body.
	Sum  []byte `cbor:"2,keyasint"`
	Body []byte `cbor:"3,keyasint"`
}

// CorruptError is the error for a stored snapshot that is corrupt. Err is nil if the checksum does not match.
type CorruptError struct{ Err error }

func (e *CorruptError) Error() string {
	if e.Err == nil {
		return "snapshot does not match its checksum"
	}
	return fmt.Sprintf("decode snapshot: %v", e.Err)
}
func (e *CorruptError) Unwrap() error { return e.Err }

// VersionError is the error for a snapshot in another version of the format.
type VersionError struct{ Version uint64 }

func (e *VersionError) Error() string {
	return fmt.Sprintf("snapshot has format version %d, want %d", e.Version, FormatVersion)
}

// StaleError is the error for a snapshot that is older than the stored one and therefore not written.
type StaleError struct{ Have, Stored uint64 }

func (e *StaleError) Error() string {
	return fmt.Sprintf("stored snapshot has revision %d, newer than revision %d of this daemon", e.Stored, e.Have)
}

// Encode returns the stored form of the snapshot.
func (s Snapshot) Encode() ([]byte, error) {
	body, err := cbor.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	sum := sha256.Sum256(body)
	b, err := cbor.Marshal(envelope{Version: FormatVersion, Sum: sum[:], Body: body})
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return b, nil
}

// Decode parses the stored form of a snapshot. Errors are of type *CorruptError or *VersionError.
func Decode(b []byte) (Snapshot, error) {
	var e envelope
	var s Snapshot
	if err := cbor.Unmarshal(b, &e); err != nil {
		return s, &CorruptError{Err: err}
	}
	if e.Version != FormatVersion {
		return s, &VersionError{Version: e.Version}
	}
	if sum := sha256.Sum256(e.Body); string(sum[:]) != string(e.Sum) {
		return s, &CorruptError{}
	}
	if err := cbor.Unmarshal(e.Body, &s); err != nil {
		return Snapshot{}, &CorruptError{Err: err}
	}
	return s, nil
}

// Writer decides when a daemon writes the snapshot. The zero value is ready to use.
type Writer struct {
	lastAttempt  time.Time
	storedDigest [sha256.Size]byte
}

// Due reports whether the daemon self should compare and write the snapshot now.
func (w *Writer) Due(now time.Time, self string, daemons []string) bool {
	return member.Home(ObjectName, daemons) == self && (w.lastAttempt.IsZero() || now.Sub(w.lastAttempt) >= MinWriteInterval)
}

// Prepare returns the bytes to store, or nil if nothing has changed since the last successful write or there is no
// configuration yet. stored is the content of the object store, or nil if there is none; a corrupt snapshot or one of
// another version is replaced. The error is *StaleError if stored has a higher revision. The caller calls MarkWritten once
// the bytes are stored.
func (w *Writer) Prepare(now time.Time, s Snapshot, stored []byte) ([]byte, error) {
	w.lastAttempt = now
	if s.Revision == 0 || stored != nil && contentDigest(s) == w.storedDigest {
		return nil, nil
	}
	if old, err := Decode(stored); err == nil {
		if old.Revision > s.Revision {
			return nil, &StaleError{Have: s.Revision, Stored: old.Revision}
		}
		if contentDigest(old) == contentDigest(s) {
			w.storedDigest = contentDigest(s)
			return nil, nil
		}
	}
	s.CreatedAt = now
	return s.Encode()
}

// MarkWritten records that a snapshot has been stored.
func (w *Writer) MarkWritten(s Snapshot) { w.storedDigest = contentDigest(s) }

// contentDigest returns a hash of the snapshot without its creation time.
func contentDigest(s Snapshot) [sha256.Size]byte {
	s.CreatedAt = time.Time{}
	b, err := cbor.Marshal(s)
	if err != nil {
		return [sha256.Size]byte{}
	}
	return sha256.Sum256(b)
}
