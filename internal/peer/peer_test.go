package peer

import (
	"bytes"
	"fmt"
	"net/netip"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"flamingorudder.example/internal/identity"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/timeline"
)

var addr = netip.MustParseAddrPort("10.0.0.1:9000")

func sampleMessages() []Message {
	return []Message{
		&Hello{Boot: 7, DataCentre: "stirling", Addr: addr, Revision: 3, Leaving: true, Operator: addr},
		&Demand{Groups: []GroupDemand{{Group: "model-desk/g1", Generation: 2, Revision: 3, Seq: 4, Turn: 1, Borrowers: 7, Lines: []DemandLine{{Rank: note.RankLive, Org: 1, Waiting: 2, Running: 3}}}}},
		&Grant{Groups: []GroupGrant{{Group: "model-desk/g1", Generation: 2, Caps: [3]int{4, 2, 1}, Floors: [3]int{0, 1, 1}, Extra: 1, TTLMillis: 1500, Seq: 4, Turn: 2, Borrowers: 7}}},
		&Withdrawal{Group: "model-desk/g1", Generation: 2, Instance: "stirling-1-01"},
		&Revision{Number: 3, Digest: []byte{1, 2}, Body: []byte("body"), Hops: 1},
		&PullRevision{Have: 2},
		&Timeline{Since: 9, Events: []timeline.Event{{Kind: timeline.AttemptSent, Request: "r", Attempt: "r.1"}}, Next: 10, Lost: 1},
	}
}

// Guards against a field that is lost or changed between encoding and decoding.
func TestEncodeDecode(t *testing.T) {
	at := timeline.Stamp{Wall: 12, Logical: 3}
	for _, m := range sampleMessages() {
		b, err := Encode(m, at)
		if err != nil {
			t.Fatal(err)
		}
		got, stamp, err := Decode(b)
		if err != nil || stamp != at || !reflect.DeepEqual(got, m) {
			t.Errorf("%s: got %+v at %v, error %v; want %+v", m.kind(), got, stamp, err, m)
		}
	}
}

// fullDemand returns the largest demand of a daemon to one home, as in an overload: all organisations at all ranks.
func fullDemand(groups, orgs int) *Demand {
	d := &Demand{}
	for g := range groups {
		w := GroupDemand{Group: fmt.Sprintf("asistente-tallas/%d", g), Generation: 1000, Revision: 40_000, Seq: 1 << 62, Turn: 1 << 20, Borrowers: 30}
		for r := range note.NumRanks {
			for o := range orgs {
				w.Lines = append(w.Lines, DemandLine{Rank: note.Rank(r), Org: o, Waiting: 200, Running: 12})
			}
		}
		d.Groups = append(d.Groups, w)
	}
	return d
}

// Guards against messages that exceed their size budget. A daemon uses 6 groups. With 370 daemons and 75 groups, the
// homes of these are 6 different daemons, so a demand holds one group; with 7 daemons it usually holds at most two.
func TestMessageBudget(t *testing.T) {
	for _, c := range []struct {
		name string
		m    Message
		max  int
	}{
		{"demand for one group, 10 organisations at 3 ranks", fullDemand(1, 10), 280},
		{"demand for two groups, 10 organisations at 3 ranks", fullDemand(2, 10), 520},
		{"grant of one group", &Grant{Groups: []GroupGrant{{Group: "asistente-tallas/1", Generation: 1000, Caps: [3]int{128, 128, 128}, Floors: [3]int{128, 128, 128}, Extra: 3, TTLMillis: 1500, Seq: 1 << 62, Turn: 1 << 20, Borrowers: 30}}}, 80},
		{"hello", &Hello{Boot: 1 << 62, DataCentre: "rosario-a", Addr: addr, Operator: addr, Revision: 40_000}, 80},
		{"gone", &Withdrawal{Group: "asistente-tallas/rosario-a-1-01", Generation: 1000, Instance: "rosario-a-1-01"}, 100},
	} {
		b, err := Encode(c.m, timeline.Stamp{Wall: time.Date(2028, 1, 1, 0, 0, 0, 0, time.UTC).UnixMicro(), Logical: 1})
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: %d bytes", c.name, len(b))
		if len(b) > c.max {
			t.Errorf("%s: %d bytes exceed the budget of %d", c.name, len(b), c.max)
		}
	}
}

// Guards against messages that crash the decoder or do not survive a round trip.
func FuzzDecode(f *testing.F) {
	for _, m := range sampleMessages() {
		b, err := Encode(m, timeline.Stamp{Wall: 1})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, at, err := Decode(b)
		if err != nil {
			return
		}
		out, err := Encode(m, at)
		if err != nil {
			t.Fatalf("cannot encode decoded message: %v", err)
		}
		again, _, err := Decode(out)
		if err != nil {
			t.Fatalf("cannot decode encoded message: %v", err)
		}
		out2, _ := Encode(again, at)
		if !bytes.Equal(out, out2) {
			t.Fatalf("encodings differ: %x and %x", out, out2)
		}
	})
}

type inbox struct {
	got    chan Message
	from   chan Sender
	answer Message
}

func (i *inbox) Receive(f Sender, m Message)        { i.from <- f; i.got <- m }
func (i *inbox) Answer(_ Sender, _ Message) Message { return i.answer }

func newInbox() *inbox { return &inbox{got: make(chan Message, 16), from: make(chan Sender, 16)} }

func startNode(t *testing.T, ca *identity.Authority, name string, h Handler) *Node {
	t.Helper()
	dir := t.TempDir()
	f := identity.Files{Authority: filepath.Join(dir, "ca.pem"), Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	if err := ca.Issue(f, name); err != nil {
		t.Fatal(err)
	}
	id, err := identity.Load(f)
	if err != nil {
		t.Fatal(err)
	}
	n, stop, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), id, &timeline.Clock{}, hclog.NewNullLogger(), h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return n
}

func newAuthority(t *testing.T) *identity.Authority {
	t.Helper()
	ca, err := identity.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return ca
}

// Guards against messages that are not delivered, are attributed to the wrong sender, or are lost after a reset of the
// connection.
func TestSendAndReset(t *testing.T) {
	ca, in := newAuthority(t), newInbox()
	a, b := startNode(t, ca, "a", newInbox()), startNode(t, ca, "b", in)
	for _, m := range []Message{&PullRevision{Have: 1}, &Revision{Number: 2, Body: make([]byte, 4*MaxDatagram)}} {
		a.Send(b.Addr(), m)
		if got := <-in.got; !reflect.DeepEqual(got, m) {
			t.Fatalf("got %+v", got)
		}
		if f := <-in.from; f.Name != "a" || f.Addr != a.Addr() {
			t.Fatalf("sender is %+v", f)
		}
	}
	a.Reset(b.Addr())
	a.Send(b.Addr(), &PullRevision{Have: 3})
	if got := (<-in.got).(*PullRevision); got.Have != 3 {
		t.Fatalf("got %+v after the reset", got)
	}
}

// Guards against two connections between daemons that send to each other, which cost an extra acknowledgement for each
// message, and against replies on a connection that the peer has reset because it got no response.
func TestConnectionIsShared(t *testing.T) {
	ca, in, back := newAuthority(t), newInbox(), newInbox()
	a, b := startNode(t, ca, "a", back), startNode(t, ca, "b", in)
	for i := range uint64(3) {
		a.Send(b.Addr(), &PullRevision{Have: i})
		if got := (<-in.got).(*PullRevision); got.Have != i {
			t.Fatalf("got %+v, want %d", got, i)
		}
		b.Send(a.Addr(), &PullRevision{Have: i})
		if got := (<-back.got).(*PullRevision); got.Have != i {
			t.Fatalf("got reply %+v, want %d", got, i)
		}
		if f := <-back.from; f.Name != "b" || f.Addr != b.Addr() {
			t.Fatalf("sender of the reply is %+v", f)
		}
		if n := a.Stats().Wire.Opened; n != i+1 {
			t.Fatalf("%d connections were opened, want %d", n, i+1)
		}
		a.Reset(b.Addr())
	}
}

// Guards against a request that gets the wrong response or none, and against an error for an empty response.
func TestAsk(t *testing.T) {
	ca, in := newAuthority(t), newInbox()
	in.answer = &Revision{Number: 5, Body: bytes.Repeat([]byte("x"), 100_000)}
	a, b := startNode(t, ca, "a", newInbox()), startNode(t, ca, "b", in)
	got, err := a.Ask(t.Context(), b.Addr(), &PullRevision{})
	if err != nil || !reflect.DeepEqual(got, in.answer) {
		t.Fatalf("got %T, error %v", got, err)
	}
	silent := startNode(t, ca, "c", newInbox())
	if got, err := a.Ask(t.Context(), silent.Addr(), &PullRevision{}); got != nil || err != nil {
		t.Fatalf("got %v, error %v, want neither", got, err)
	}
}

// Guards against accepting a daemon of another deployment, whose certificates are from another authority.
func TestOtherAuthorityIsRefused(t *testing.T) {
	in := newInbox()
	a, b := startNode(t, newAuthority(t), "a", newInbox()), startNode(t, newAuthority(t), "b", in)
	if got, err := a.Ask(t.Context(), b.Addr(), &PullRevision{}); err == nil {
		t.Fatalf("got %v from a daemon whose certificate is from another authority", got)
	}
}
