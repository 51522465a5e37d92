package gossip

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"flamingorudder.example/internal/balance"
)

var addr = netip.MustParseAddrPort("127.0.0.1:7340")

func digest(name string, boot int64, seq uint64) Digest {
	return Digest{Name: name, Boot: boot, Seq: seq, Peer: addr, Ready: true}
}

// TestRowsThenDigests guards against a daemon that is known by its row never being heard.
func TestRowsThenDigests(t *testing.T) {
	m := NewMembers("self")
	now := time.Now()
	m.Introduce(now, digest("a", 5, 0))
	if len(m.Live(now)) != 0 {
		t.Error("a daemon that was never heard is live")
	}
	m.Hear(now, digest("a", 5, 1))
	if len(m.Live(now)) != 1 {
		t.Error("its first digest is not taken")
	}
}

// TestOldDigests guards against late datagrams: of an earlier lifetime, or overtaken ones.
func TestOldDigests(t *testing.T) {
	m := NewMembers("self")
	now := time.Now()
	m.Hear(now, digest("a", 5, 10))
	late := digest("a", 5, 9)
	late.Config = 99
	m.Hear(now, late)
	m.Hear(now, digest("a", 4, 50))
	if l := m.Live(now); len(l) != 1 || l[0].Config == 99 || l[0].Boot != 5 {
		t.Errorf("live %+v", l)
	}
	if !m.Hear(now, digest("a", 6, 1)) {
		t.Error("a new lifetime is not told from the old one")
	}
}

// TestSilentDaemonsAreNotLive guards against callers being sent to dead daemons.
func TestSilentDaemonsAreNotLive(t *testing.T) {
	m := NewMembers("self")
	now := time.Now()
	m.Hear(now, digest("a", 1, 1))
	if len(m.Live(now.Add(silence))) != 1 || len(m.Live(now.Add(silence+time.Millisecond))) != 0 {
		t.Error("a daemon is not live for just the time of silence")
	}
	m.All(now.Add(forget + time.Second))
	if len(m.all) != 0 {
		t.Error("silent daemons are remembered for ever")
	}
}

// TestDigestFits guards against digests that no datagram carries: at 600 groups the smallest loads are left out.
func TestDigestFits(t *testing.T) {
	d := digest("front-stirling-1", 1796362296397, 12345678)
	for i := range 600 {
		d.Work = append(d.Work, Work{Group: fmt.Sprintf("g%d/%d", 1048576+i, 1048576+i), Requests: i, Unread: 1000 * i})
	}
	b, err := Encode(d)
	if err != nil || len(b) > maxDigest {
		t.Fatalf("%d bytes, %v", len(b), err)
	}
	got, err := Decode(b)
	if err != nil || len(got.Work) == 0 || got.Work[0].Requests != 599 {
		t.Errorf("decoded %d loads, %v", len(got.Work), err)
	}
}

// TestRate guards against digests growing with the square of the fleet: what a daemon receives in a second is bounded.
func TestRate(t *testing.T) {
	m := NewMembers("self")
	now := time.Now()
	for i := range 370 {
		m.Hear(now, digest(fmt.Sprint("d", i), 1, 1))
	}
	if perSecond := 370 / m.Period().Seconds(); perSecond > 250 {
		t.Errorf("%.0f digests a second", perSecond)
	}
}

// TestOthers guards against the work of a dead daemon holding places.
func TestOthers(t *testing.T) {
	m := NewMembers("self")
	now := time.Now()
	a, b := digest("a", 1, 1), digest("b", 1, 1)
	a.Work, b.Work = []Work{{Group: "g/1", Requests: 3, Unread: 50}}, []Work{{Group: "g/1", Requests: 2, Unread: 10}}
	m.Hear(now, a)
	m.Hear(now.Add(2*time.Second), b)
	if got := Others(m.Live(now.Add(2 * time.Second)))["g/1"]; got != (balance.Load{Requests: 2, Unread: 10}) {
		t.Errorf("load %+v", got)
	}
}

// FuzzDecode guards against a datagram that ends the daemon.
func FuzzDecode(f *testing.F) {
	b, err := Encode(digest("a", 1, 1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{0xbf})
	f.Fuzz(func(_ *testing.T, b []byte) {
		d, err := Decode(b)
		if err == nil {
			NewMembers("self").Hear(time.Now(), d)
		}
	})
}
