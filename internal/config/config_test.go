package config

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/peer"
	"flamingorudder.example/internal/platform"
	"flamingorudder.example/internal/standin"
	"flamingorudder.example/internal/timeline"
	"flamingorudder.example/internal/timer"
)

// network delivers messages between managers. It drops those from and to an isolated daemon.
type network struct {
	mu       sync.Mutex
	managers map[netip.AddrPort]*Manager
	isolated map[netip.AddrPort]bool
}

type endpoint struct {
	n    *network
	self netip.AddrPort
}

func (p endpoint) reach(to netip.AddrPort) *Manager {
	p.n.mu.Lock()
	defer p.n.mu.Unlock()
	if p.n.isolated[to] || p.n.isolated[p.self] {
		return nil
	}
	return p.n.managers[to]
}

func (p endpoint) Send(to netip.AddrPort, m peer.Message) {
	if k := p.reach(to); k != nil {
		k.Receive(peer.Sender{Addr: p.self}, m)
	}
}

func (p endpoint) Ask(_ context.Context, to netip.AddrPort, m peer.Message) (peer.Message, error) {
	if k := p.reach(to); k != nil {
		return k.HandlePull(m.(*peer.PullRevision)), nil
	}
	return nil, &platform.UnavailableError{Err: context.DeadlineExceeded}
}

func newFleet(t *testing.T, table *standin.Table, n int) (*network, []*Manager) {
	t.Helper()
	net := &network{managers: map[netip.AddrPort]*Manager{}, isolated: map[netip.AddrPort]bool{}}
	var managers []*Manager
	var all []netip.AddrPort
	for i := range n {
		all = append(all, addrOf(i))
	}
	for i := range n {
		self := addrOf(i)
		others := func() []netip.AddrPort {
			return slices.DeleteFunc(slices.Clone(all), func(a netip.AddrPort) bool { return a == self })
		}
		k := New(Deps{
			Table: table, Peers: endpoint{net, self}, LivePeers: others, HelloPeers: others,
			Hello: func() peer.Hello { return peer.Hello{Addr: self} },
			Apply: func(note.Config) {},
			Log:   hclog.NewNullLogger(), Timeline: timeline.NewLog("test", 1024),
			Random: rand.New(rand.NewPCG(1, uint64(i))),
		})
		net.managers[self] = k
		managers = append(managers, k)
	}
	return net, managers
}

func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 9000)
}

func noteText(base int, service string) []byte {
	return fmt.Appendf(nil, "[note]\nbase = %d\nabout = add %s\n\n[added model-service %s]\nmodel = m\nversion = 1\ncopies = 1\ninstances = 1\n", base, service, service)
}

// run starts the managers and returns a function that stops them and fails the test if one returned an error.
func run(t *testing.T, managers ...*Manager) func() {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	g, ctx := errgroup.WithContext(ctx)
	for _, k := range managers {
		g.Go(func() error { return k.Run(ctx) })
	}
	return func() {
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	}
}

func applied(k *Manager) uint64 {
	_, n := k.RevisionNumbers()
	return n
}

// Guards against a note that is accepted twice, or reported as failed although it was accepted, when the response to
// the transaction is lost before or after the transaction took effect.
func TestLostAnswer(t *testing.T) {
	for name, table := range map[string]*standin.Table{"after": {}, "before": {}} {
		synctest.Test(t, func(t *testing.T) {
			if name == "after" {
				table.Set(standin.TableFaults{LoseAfter: 1})
			} else {
				table.Set(standin.TableFaults{LoseBefore: 2})
			}
			_, managers := newFleet(t, table, 1)
			got, err := managers[0].Accept(t.Context(), "op-1", noteText(0, "a"))
			if err != nil || got != 1 {
				t.Fatalf("%s: got revision %d, error %v; want revision 1", name, got, err)
			}
			// The operator retries the call because its own connection broke.
			got, err = managers[0].Accept(t.Context(), "op-1", noteText(0, "a"))
			if err != nil || got != 1 {
				t.Fatalf("%s: retry returned revision %d, error %v", name, got, err)
			}
			if h, _ := managers[0].History(t.Context()); len(h) != 1 {
				t.Fatalf("%s: %d notes in the history, want 1", name, len(h))
			}
		})
	}
}

// Guards against one of two concurrent operators overwriting the other's note. The rejected one must be told what
// changed.
func TestRace(t *testing.T) {
	table := &standin.Table{}
	_, managers := newFleet(t, table, 2)
	table.BeforeCommit(func() {
		if _, err := managers[1].Accept(t.Context(), "op-2", noteText(0, "winner")); err != nil {
			t.Fatal(err)
		}
	})
	_, err := managers[0].Accept(t.Context(), "op-1", noteText(0, "loser"))
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.Current != 1 || conflict.About != "add winner" || len(conflict.Changes) != 1 || conflict.Changes[0].Name != "winner" {
		t.Fatalf("got error %v, want *ConflictError with the change of the accepted note", err)
	}
	if c, _, _ := managers[0].Head(t.Context()); len(c.ModelServices) != 1 || c.ModelServices["winner"].Model != "m" {
		t.Fatalf("got configuration %+v, want the one of the accepted note", c)
	}
}

// Guards against revisions that do not reach every daemon. The target is 2 s with 7 daemons.
func TestInForceEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, managers := newFleet(t, &standin.Table{}, 7)
		defer run(t, managers...)()
		if _, err := managers[0].Accept(t.Context(), "op", noteText(0, "a")); err != nil {
			t.Fatal(err)
		}
		advance(t, 2*time.Second)
		for i, k := range managers {
			if applied(k) != 1 {
				t.Errorf("daemon %d applied revision %d, want 1", i, applied(k))
			}
		}
	})
}

// Guards against a daemon that was isolated and stays on an old revision while the table service is down, and against a
// newly started daemon that cannot get a configuration without the table service.
func TestTableDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &standin.Table{}
		net, managers := newFleet(t, table, 4)
		late := addrOf(3)
		net.isolated[late] = true
		stop := run(t, managers[:3]...)
		defer stop()
		if _, err := managers[0].Accept(t.Context(), "op", noteText(0, "a")); err != nil {
			t.Fatal(err)
		}
		advance(t, 2*time.Second)
		table.Set(standin.TableFaults{Down: true})
		defer run(t, managers[3])()
		advance(t, time.Second)
		if _, ok := managers[3].Config(); ok {
			t.Fatal("a daemon that reaches neither the table service nor peers has a configuration")
		}
		net.mu.Lock()
		net.isolated[late] = false
		net.mu.Unlock()
		advance(t, 2*time.Second)
		if applied(managers[3]) != 1 {
			t.Fatalf("got revision %d from peers, want 1", applied(managers[3]))
		}
	})
}

// advance moves the fake clock of the synctest bubble forward by d.
func advance(t *testing.T, d time.Duration) {
	t.Helper()
	if err := timer.Wait(t.Context(), d); err != nil {
		t.Fatal(err)
	}
}
