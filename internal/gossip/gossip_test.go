package gossip

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

var addr = netip.MustParseAddrPort("127.0.0.1:7340")

func digest(name string, boot int64, seq uint64) Digest {
	return Digest{Name: name, Boot: boot, Seq: seq, PeerAddr: addr, Ready: true}
}

// TestRowThenDigest guards against ignoring the digests of a daemon that was found in the store first.
func TestRowThenDigest(t *testing.T) {
	m := NewPeerSet("self", "dc", 1)
	now := time.Now()
	m.AddFromRow(now, digest("a", 5, 0))
	if len(m.Live(now)) != 0 {
		t.Error("a daemon without any digest is live")
	}
	m.Receive(now, digest("a", 5, 1))
	if len(m.Live(now)) != 1 {
		t.Error("the first digest was not processed")
	}
}

// TestOldDigests guards against accepting late datagrams: those of an earlier lifetime, or older ones of the same
// lifetime.
func TestOldDigests(t *testing.T) {
	m := NewPeerSet("self", "dc", 1)
	now := time.Now()
	m.Receive(now, digest("a", 5, 10))
	late := digest("a", 5, 9)
	late.ConfigVersion = 99
	m.Receive(now, late)
	m.Receive(now, digest("a", 4, 50))
	if l := m.Live(now); len(l) != 1 || l[0].ConfigVersion == 99 || l[0].Boot != 5 {
		t.Errorf("live %+v, want boot 5 from the latest digest", l)
	}
	if !m.Receive(now, digest("a", 6, 1)) {
		t.Error("a new lifetime is not reported as new")
	}
}

// TestSilentDaemonIsNotLive guards against sending callers to dead daemons.
func TestSilentDaemonIsNotLive(t *testing.T) {
	m := NewPeerSet("self", "dc", 1)
	now := time.Now()
	m.Receive(now, digest("a", 1, 1))
	if len(m.Live(now.Add(minSilence))) != 1 || len(m.Live(now.Add(minSilence+time.Millisecond))) != 0 {
		t.Error("a daemon must be live until minSilence has passed, and not longer")
	}
	m.All(now.Add(forgetAfter + time.Second))
	if len(m.byName) != 0 {
		t.Error("a silent daemon is never forgotten")
	}
}

// FuzzDecode guards against datagrams that crash the daemon.
func FuzzDecode(f *testing.F) {
	b, err := cbor.Marshal(digest("a", 1, 1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{0xbf})
	f.Fuzz(func(_ *testing.T, b []byte) {
		d, err := Decode(b)
		if err == nil {
			NewPeerSet("self", "dc", 1).Receive(time.Now(), d)
		}
	})
}

// TestOddRowNamesNoDaemon guards against a row of another writer that ends the daemon or is taken for another one.
func TestOddRowNamesNoDaemon(t *testing.T) {
	good, err := cbor.Marshal(digest("a", 5, 1))
	if err != nil {
		t.Fatal(err)
	}
	for name, row := range map[string]string{
		"empty": "", "text": "odd", "nested": strings.Repeat("\x81", 60_000), "huge array": "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", "huge map": "\xbb\x7f\xff\xff\xff\xff\xff\xff\xff",
		"huge text": "\x7b\x7f\xff\xff\xff\xff\xff\xff\xff", "number too large": "\xa1\x64boot\x1b\xff\xff\xff\xff\xff\xff\xff\xff", "cut off": string(good[:len(good)-1]), "name of another type": "\xa1\x64name\x07",
		"address of another type": "\xa1\x64peer\x43\x01\x02\x03",
	} {
		if d, err := Decode([]byte(row)); err == nil {
			t.Errorf("%s: %+v", name, d)
		}
	}
	m := NewPeerSet("self", "dc", 1)
	now := time.Now()
	noAddr := digest("b", 5, 1)
	noAddr.PeerAddr = netip.AddrPort{}
	for _, d := range []Digest{digest("self", 9, 9), noAddr} {
		m.AddFromRow(now, d)
	}
	if all := m.All(now); len(all) != 0 {
		t.Errorf("daemons %+v", all)
	}
}

// TestStartedFraction guards against taking daemons for idle that have run for long, or that do not tell for how long.
func TestStartedFraction(t *testing.T) {
	m := NewPeerSet("self", "dc", 1)
	now := time.Now()
	if got := m.StartedFraction(now, time.Second); got != 0 {
		t.Errorf("without peers: %v", got)
	}
	for i, uptime := range []time.Duration{0, 100 * time.Millisecond, 800 * time.Millisecond, time.Hour} {
		d := digest(string(rune('a'+i)), 1, 1)
		d.Uptime = uptime
		m.Receive(now, d)
	}
	if got := m.StartedFraction(now, time.Second); got != 0.5 {
		t.Errorf("got %v, want 0.5", got)
	}
	if got := m.StartedFraction(now.Add(500*time.Millisecond), time.Second); got != 0.25 {
		t.Errorf("later: got %v, want 0.25", got)
	}
}
