package snapshot

import (
	"errors"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"flamingorudder.example/internal/member"
	"flamingorudder.example/internal/platform"
	"flamingorudder.example/internal/registry"
)

func sample(revision uint64) Snapshot {
	addr := netip.MustParseAddrPort("10.0.0.1:9000")
	return Snapshot{
		Revision: revision, Config: []byte(`{"revision":7}`),
		Groups:  []platform.Row{{Key: "group/model-desk/1", Version: 12, OperationID: "x", Value: []byte("row")}},
		Daemons: []registry.Entry{{Name: "craigmhor-1", PeerAddr: addr, CallerAddr: addr, DataCentre: "stirling", Boot: 1 << 60}},
	}
}

// Guards against a daemon that starts from a snapshot that is corrupt or has another version of the format.
func TestDecodeRefuses(t *testing.T) {
	s := sample(7)
	b, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Decode(b); err != nil || !reflect.DeepEqual(got, s) {
		t.Fatalf("got %+v, %v", got, err)
	}
	var corrupt *CorruptError
	var other *VersionError
	for i := range b {
		for _, flip := range []byte{1, 0x80} {
			c := append([]byte(nil), b...)
			c[i] ^= flip
			if _, err := Decode(c); !errors.As(err, &corrupt) && !errors.As(err, &other) {
				t.Fatalf("bit flipped in byte %d: got error %v", i, err)
			}
		}
		if _, err := Decode(b[:i]); !errors.As(err, &corrupt) {
			t.Fatalf("truncated to %d bytes: got error %v", i, err)
		}
	}
	next, err := cbor.Marshal(envelope{Version: FormatVersion + 1})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decode(next); !errors.As(err, &other) || other.Version != FormatVersion+1 {
		t.Fatalf("next format version: got error %v", err)
	}
}

// Guards against a writer that replaces a newer snapshot, writes without a change or a configuration, or never replaces
// a corrupt snapshot.
func TestWriter(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	stored, err := sample(7).Encode()
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		name   string
		s      Snapshot
		stored []byte
		writes bool
		older  bool
	}{
		{"first", sample(7), nil, true, false},
		{"no configuration", Snapshot{}, nil, false, false},
		{"same", sample(7), stored, false, false},
		{"newer", sample(8), stored, true, false},
		{"older", sample(6), stored, false, true},
		{"other daemons", Snapshot{Revision: 7, Config: []byte("x")}, stored, true, false},
		{"damaged", sample(6), stored[:20], true, false},
	} {
		var w Writer
		var older *StaleError
		b, err := w.Prepare(now, x.s, x.stored)
		if (b != nil) != x.writes || errors.As(err, &older) != x.older {
			t.Errorf("%s: %d bytes, %v", x.name, len(b), err)
		}
		if b == nil {
			continue
		}
		w.MarkWritten(x.s)
		if b, err := w.Prepare(now, x.s, b); b != nil || err != nil {
			t.Errorf("%s: unchanged snapshot written again, error %v", x.name, err)
		}
	}
}

// Guards against several daemons writing the snapshot, and against one writing it more than once per MinWriteInterval.
func TestTurn(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	daemons := []string{"a", "b", "c", "d"}
	first := member.RendezvousOrder(ObjectName, daemons)[0]
	for _, self := range daemons {
		var w Writer
		if w.Due(now, self, daemons) != (self == first) {
			t.Errorf("%s: Due is %v, but %s ranks first", self, w.Due(now, self, daemons), first)
		}
		if _, err := w.Prepare(now, sample(1), nil); err != nil {
			t.Fatal(err)
		}
		if w.Due(now.Add(MinWriteInterval-1), self, daemons) || w.Due(now.Add(MinWriteInterval), self, daemons) != (self == first) {
			t.Errorf("%s: Due is wrong after a write", self)
		}
	}
}
