// Package operator is the HTTP interface towards operators: the server in each daemon and the client that the command
// line and the experiment tool use.
//
// Any daemon answers for the whole fleet where the table service holds the answer (notes, groups), and for itself where
// it does not (events, its own view of the others). Errors are typed on both sides: a Fault carries the kind of error
// and the text for the operator.
package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"flamingorudder.example/internal/config"
	"flamingorudder.example/internal/ini"
	"flamingorudder.example/internal/note"
	"flamingorudder.example/internal/platform"
	"flamingorudder.example/internal/registry"
	"flamingorudder.example/internal/timeline"
)

// HeaderOp identifies an operator's call across repeats.
const HeaderOp = "X-Operation"

// Kinds of faults.
const (
	FaultNote     = "note"     // the release note is wrong
	FaultStale    = "stale"    // it is written against an older revision
	FaultRaced    = "raced"    // another operator's note was accepted meanwhile
	FaultPlatform = "platform" // the platform did not answer; nothing was changed
	FaultUnknown  = "unknown"  // the platform's answer was lost; repeat the call with the same operation number
	FaultRequest  = "request"  // the call itself is wrong
)

// Fault is an error as the interface reports it.
type Fault struct {
	Status int    `json:"-"`
	Kind   string `json:"kind"`
	Text   string `json:"text"`
}

func (e *Fault) Error() string { return e.Text }

// Group is the state of one model group.
type Group struct {
	Service    string   `json:"service"`
	Group      string   `json:"group"`
	Generation uint64   `json:"generation"`
	State      string   `json:"state"`
	DataCentre string   `json:"data_centre"`
	Domain     string   `json:"domain"`
	Members    []string `json:"members,omitempty"`
	// Present is whether this daemon has a proof that every member is present.
	Present bool `json:"present"`
}

// Status is the state of the fleet as one daemon sees it.
type Status struct {
	Daemon string `json:"daemon"`
	// Received and Applied are the revisions of this daemon.
	Received uint64            `json:"received"`
	Applied  uint64            `json:"applied"`
	Leaving  bool              `json:"leaving"`
	Daemons  []registry.Status `json:"daemons"`
	Groups   []Group           `json:"groups"`
	// Missing counts, by model service, the copies of the release note that are not serving.
	Missing map[string]int `json:"missing"`
	// Stranded counts accelerators outside a serving group, by fabric domain.
	Stranded map[string]int `json:"stranded"`
}

// Events is a part of a daemon's timeline.
type Events struct {
	Daemon string           `json:"daemon"`
	Events []timeline.Event `json:"events"`
	// Next is the sequence number to go on from; Lost counts events that were overwritten before they were read.
	Next uint64 `json:"next"`
	Lost uint64 `json:"lost"`
	// Head is the number that follows the newest event; above Next when the answer was cut to a page.
	Head uint64 `json:"head"`
}

// Fleet is what the server needs of the daemon.
type Fleet interface {
	Accept(ctx context.Context, op string, text []byte) (uint64, error)
	Head(ctx context.Context) (note.Config, platform.Row, error)
	History(ctx context.Context) ([]config.HistoryEntry, error)
	Status() Status
	Events(since uint64) Events
	Drain()
}

// Server answers operators.
type Server struct {
	fleet Fleet
	mux   *http.ServeMux
}

// New returns a server. metrics serves /metrics.
func New(f Fleet, metrics http.Handler) *Server {
	s := &Server{fleet: f, mux: http.NewServeMux()}
	s.mux.Handle("GET /metrics", metrics)
	s.mux.HandleFunc("POST /note", s.apply)
	s.mux.HandleFunc("POST /plan", s.plan)
	s.mux.HandleFunc("GET /config", s.config)
	s.mux.HandleFunc("GET /history", s.history)
	s.mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, f.Status()) })
	s.mux.HandleFunc("GET /timeline", s.timeline)
	s.mux.HandleFunc("POST /drain", func(w http.ResponseWriter, _ *http.Request) {
		f.Drain()
		reply(w, http.StatusAccepted, struct{}{})
	})
	return s
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// maxNote bounds the text of a release note.
const maxNote = 4 << 20

func (s *Server) text(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxNote))
	if err != nil {
		reply(w, http.StatusRequestEntityTooLarge, &Fault{Kind: FaultRequest, Text: err.Error()})
		return nil, false
	}
	return text, true
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	text, ok := s.text(w, r)
	if !ok {
		return
	}
	revision, err := s.fleet.Accept(r.Context(), r.Header.Get(HeaderOp), text)
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, http.StatusOK, map[string]uint64{"revision": revision})
}

// plan tells what a note would change without accepting it.
func (s *Server) plan(w http.ResponseWriter, r *http.Request) {
	text, ok := s.text(w, r)
	if !ok {
		return
	}
	changes, err := s.changes(r.Context(), text)
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, http.StatusOK, changes)
}

func (s *Server) changes(ctx context.Context, text []byte) ([]note.Change, error) {
	n, err := note.Parse("note", text)
	if err != nil {
		return nil, err
	}
	cur, _, err := s.fleet.Head(ctx)
	if err != nil {
		return nil, err
	}
	next, err := cur.Apply(n)
	if err != nil {
		return nil, err
	}
	return note.Diff(cur, next), nil
}

func (s *Server) config(w http.ResponseWriter, r *http.Request) {
	c, _, err := s.fleet.Head(r.Context())
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, http.StatusOK, c)
}

func (s *Server) history(w http.ResponseWriter, r *http.Request) {
	past, err := s.fleet.History(r.Context())
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, http.StatusOK, past)
}

func (s *Server) timeline(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil && r.URL.Query().Has("since") {
		reply(w, http.StatusBadRequest, &Fault{Kind: FaultRequest, Text: "since is not a whole number"})
		return
	}
	filter, fault := parseFilter(r.URL.Query())
	if fault != nil {
		reply(w, http.StatusBadRequest, fault)
		return
	}
	reply(w, http.StatusOK, filter.page(s.fleet.Events(since)))
}

func fail(w http.ResponseWriter, err error) {
	var faults *ini.Faults
	var stale *note.Stale
	var raced *config.ConflictError
	var unknown *platform.Unknown
	var conflict *platform.Conflict
	f := &Fault{Status: http.StatusServiceUnavailable, Kind: FaultPlatform, Text: err.Error()}
	switch {
	case errors.As(err, &faults):
		f.Status, f.Kind = http.StatusBadRequest, FaultNote
	case errors.As(err, &stale):
		f.Status, f.Kind = http.StatusConflict, FaultStale
	case errors.As(err, &raced):
		f.Status, f.Kind = http.StatusConflict, FaultRaced
	case errors.As(err, &unknown), errors.As(err, &conflict):
		// A conflict that was not settled by reading back may stem from the call's own first transaction.
		f.Kind = FaultUnknown
	}
	reply(w, f.Status, f)
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Client speaks to the operator interface of one daemon.
type Client struct {
	base string
	http *http.Client
}

// Dial returns a client and a function that closes its connections. tls is nil for a daemon without an identity.
func Dial(addr netip.AddrPort, tls *tls.Config) (*Client, func()) {
	tr := &http.Transport{TLSClientConfig: tls, IdleConnTimeout: 30 * time.Second}
	scheme := "http://"
	if tls != nil {
		scheme = "https://"
	}
	return NewClient(scheme+addr.String(), tr), tr.CloseIdleConnections
}

// callTime bounds one call, answer included.
const callTime = 30 * time.Second

// NewClient returns a client that sends its calls for the base URL through a transport.
func NewClient(base string, tr http.RoundTripper) *Client {
	return &Client{base: base, http: &http.Client{Transport: tr, Timeout: callTime}}
}

// Apply makes a note the configuration of the fleet and returns its revision. op identifies the call across repeats.
func (c *Client) Apply(ctx context.Context, op string, text []byte) (uint64, error) {
	var v struct {
		Revision uint64 `json:"revision"`
	}
	err := c.call(ctx, http.MethodPost, "/note", op, text, &v)
	return v.Revision, err
}

// Plan returns what a note would change.
func (c *Client) Plan(ctx context.Context, text []byte) ([]note.Change, error) {
	var v []note.Change
	err := c.call(ctx, http.MethodPost, "/plan", "", text, &v)
	return v, err
}

// Config returns the configuration accepted last.
func (c *Client) Config(ctx context.Context) (note.Config, error) {
	var v note.Config
	err := c.call(ctx, http.MethodGet, "/config", "", nil, &v)
	return v, err
}

// History returns the accepted notes, oldest first.
func (c *Client) History(ctx context.Context) ([]config.HistoryEntry, error) {
	var v []config.HistoryEntry
	err := c.call(ctx, http.MethodGet, "/history", "", nil, &v)
	return v, err
}

// Status returns the state of the fleet as the daemon sees it.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var v Status
	err := c.call(ctx, http.MethodGet, "/status", "", nil, &v)
	return v, err
}

// Events returns the daemon's events from a sequence number on.
func (c *Client) Events(ctx context.Context, since uint64) (Events, error) {
	var v Events
	err := c.call(ctx, http.MethodGet, "/timeline?"+url.Values{"since": {strconv.FormatUint(since, 10)}}.Encode(), "", nil, &v)
	return v, err
}

// Timeline returns the events that pass a filter. Without one it reads page by page up to the newest event at the
// first answer, so that a busy daemon does not keep it reading.
func (c *Client) Timeline(ctx context.Context, f Filter) (Events, error) {
	var all Events
	q := f.query()
	for head := uint64(1); all.Next < head; {
		q.Set("since", strconv.FormatUint(all.Next, 10))
		var page Events
		if err := c.call(ctx, http.MethodGet, "/timeline?"+q.Encode(), "", nil, &page); err != nil {
			return all, err
		}
		if all.Next == 0 {
			head = page.Head
		}
		all = Events{Daemon: page.Daemon, Events: append(all.Events, page.Events...), Next: page.Next, Lost: all.Lost + page.Lost, Head: head}
		if page.Next == 0 {
			break // The daemon has no event yet.
		}
	}
	return all, nil
}

// Drain makes the daemon leave: it is no longer named to callers, finishes what it has, and takes no new duties.
func (c *Client) Drain(ctx context.Context) error {
	return c.call(ctx, http.MethodPost, "/drain", "", nil, nil)
}

func (c *Client) call(ctx context.Context, method, path, op string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	if op != "" {
		req.Header.Set(HeaderOp, op)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		var u *url.Error
		if errors.As(err, &u) {
			err = u.Err // The method and the address are named already, here and by the caller.
		}
		return fmt.Errorf("%s %s: %w", method, req.URL.Path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		f := &Fault{Status: resp.StatusCode}
		if err := json.NewDecoder(resp.Body).Decode(f); err != nil {
			return fmt.Errorf("%s %s: status %d: %w", method, path, resp.StatusCode, err)
		}
		return f
	}
	if into == nil {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return fmt.Errorf("%s %s: decode: %w", method, path, err)
	}
	return nil
}
