package entry

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/gossip"
	"flamingorudder.example/internal/roster"
	"flamingorudder.example/platform"
)

// A backend server that one daemon cannot reach may be reached by others. Before a daemon acts on that for all of them, it asks a few
// others to query the server, of different data centres if possible, so that neither a lost link nor a data centre that is cut off
// decides alone. A daemon that does not reach the server either first makes sure that it reaches others.

const (
	// pathReport is the path for peers under which a daemon queries the state of a backend server for another one.
	pathReport = "/report"
	// maxProbers is how many daemons are asked whether a server is alive: in a small fleet all of them, as most may be cut off from
	// the same servers. maxCrashProbers are asked whether its process has ended, which must be known before the next one crashes.
	maxProbers      = 6
	maxCrashProbers = 4
	// otherSample is how many other servers a daemon asks that does not reach one.
	otherSample = 3
	// indirectTimeout bounds the wait for other daemons: a query and, after it, up to two samples.
	indirectTimeout = reportTimeout + 2*probeTimeout + 50*time.Millisecond
	// maxProbeBytes bounds the response of another daemon.
	maxProbeBytes = 1 << 20
)

// probeResult is what a daemon has found out about a backend server for another one. It knows nothing if no field is set.
type probeResult struct {
	// Report is the state of the server if it was reached.
	Report *platform.Report `cbor:"report,omitempty"`
	// Failed is set if it was not, while others were. Refused is set if nothing listens on its address.
	Failed  bool `cbor:"failed,omitempty"`
	Refused bool `cbor:"refused,omitempty"`
}

// probeIndirectly has up to most other daemons query the state of a backend server. asked is the number of daemons that were asked.
func (d *Daemon) probeIndirectly(ctx context.Context, s *roster.Server, most int) (t probeResult, asked int) {
	peers := d.probers(s.Service, most)
	if len(peers) == 0 {
		return t, 0
	}
	ctx, cancel := context.WithTimeout(ctx, indirectTimeout)
	var queries errgroup.Group
	defer func() {
		cancel()
		_ = queries.Wait() // they return no error
	}()
	answers := make(chan probeResult, len(peers))
	for _, m := range peers {
		queries.Go(func() error {
			answer, err := d.probeThrough(ctx, m, s)
			if err != nil && ctx.Err() == nil {
				d.log.Debug("cannot query a backend server through a peer", "peer", m.Name, "id", s.ID, "error", err)
			}
			answers <- answer
			return nil
		})
	}
	t.Failed, t.Refused = true, true
	for range peers {
		answer := <-answers
		if answer.Report != nil {
			return answer, len(peers)
		}
		t.Failed, t.Refused = t.Failed && answer.Failed, t.Refused && answer.Refused
	}
	return t, len(peers)
}

// probers returns up to most daemons that may reach the backend servers of a service, of different data centres if possible.
func (d *Daemon) probers(service string, most int) []*gossip.Peer {
	peers := d.peersWithPath(service)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	// Orders the daemons by how many of the same data centre come before them.
	before, place := map[string]int{d.settings().DataCentre: 1}, map[string]int{}
	for _, m := range peers {
		place[m.Name] = before[m.DataCentre]
		before[m.DataCentre]++
	}
	slices.SortStableFunc(peers, func(a, b *gossip.Peer) int { return cmp.Compare(place[a.Name], place[b.Name]) })
	return peers[:min(len(peers), most)]
}

// probeThrough has another daemon query the state of a backend server.
func (d *Daemon) probeThrough(ctx context.Context, m *gossip.Peer, s *roster.Server) (t probeResult, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.PeerAddr.String()+pathReport+"?id="+url.QueryEscape(s.ID), nil)
	if err != nil {
		return t, fmt.Errorf("create request: %w", err)
	}
	resp, err := d.feed.peers.Do(req)
	if err != nil {
		return t, err
	}
	defer func() { _ = resp.Body.Close() }() // the body was read or the request failed
	if resp.StatusCode != http.StatusOK {
		return t, &platform.StatusError{Status: resp.StatusCode}
	}
	if err := cbor.NewDecoder(io.LimitReader(resp.Body, maxProbeBytes)).Decode(&t); err != nil {
		return probeResult{}, fmt.Errorf("decode response: %w", err)
	}
	return t, nil
}

// serveReport queries the state of a backend server for another daemon.
func (d *Daemon) serveReport(w http.ResponseWriter, r *http.Request) {
	v, id := d.view.Load(), r.URL.Query().Get("id")
	s := v.Servers[id]
	if s == nil {
		s = v.Departed[id]
	}
	if s == nil {
		w.WriteHeader(http.StatusNotFound) // this daemon knows less than the one that asks
		return
	}
	text, err := cbor.Marshal(d.probeServer(r.Context(), s))
	if err != nil {
		d.log.Error("cannot encode the state of a backend server", "error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if _, err := w.Write(text); err != nil {
		d.log.Debug("cannot write the response to a peer", "error", err)
	}
}

// probeServer queries the state of a backend server.
func (d *Daemon) probeServer(ctx context.Context, s *roster.Server) (t probeResult) {
	report, err := call(ctx, reportTimeout, func(ctx context.Context) (platform.Report, error) { return d.servers.Report(ctx, s) })
	if err == nil {
		return probeResult{Report: &report}
	}
	if platform.Responded(err) {
		return t // it is alive, but does not say in what state
	}
	if !d.reachesOthers(ctx, s) {
		return t
	}
	return probeResult{Failed: true, Refused: errors.Is(err, syscall.ECONNREFUSED)}
}

// reachesOthers reports whether this daemon reaches other backend servers than one that it does not reach. A plain service has few
// servers, and all of them may be down at once, for example while a request crashes them, so then servers of other services count.
func (d *Daemon) reachesOthers(ctx context.Context, s *roster.Server) bool {
	if !d.paths.lost(s.Service) {
		if d.paths.anyResponds(ctx, d.view.Load().Listed(s.Service), otherSample) {
			return true
		}
		d.paths.doubt(s.Service)
	}
	c := d.config.Load()
	if c == nil {
		return false
	}
	if service := c.Service(s.Service); service == nil || service.Engine != nil {
		return false
	}
	var others []*roster.Server
	for i := range c.Services {
		if c.Services[i].Name != s.Service {
			others = append(others, d.view.Load().Listed(c.Services[i].Name)...)
		}
	}
	return d.paths.anyResponds(ctx, others, otherSample)
}

// hasEnded reports whether the process of a backend server has ended: new connections to it are refused, also those of other
// daemons if there are any.
func (d *Daemon) hasEnded(ctx context.Context, s *roster.Server) bool {
	ended, _, _ := d.probes.Do(s.ID, func() (any, error) {
		ctx := context.WithoutCancel(ctx)
		if !d.pool.RefusesConnections(ctx, s.Addr) {
			return false, nil
		}
		t, asked := d.probeIndirectly(ctx, s, maxCrashProbers)
		return asked == 0 || t.Refused, nil
	})
	return ended.(bool)
}
