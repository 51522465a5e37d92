// Package operator implements the HTTP API for operators: the server in each daemon, and the client used by the command
// line tool and the benchmark.
//
// Any daemon serves data of the whole fleet that is in the table service (notes, groups). Other data (events, the view of
// other daemons) is that of the daemon that serves the call. Server and client share the error type Fault, which carries
// the kind of the error and a text for the operator.
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

// HeaderOperationID is the request header with the operation ID, which is the same when an operator repeats a call.
const HeaderOperationID = "X-Operation"

// Values of Fault.Kind.
const (
	FaultInvalidNote    = "note"     // the release note is invalid
	FaultStale          = "stale"    // the note is based on an older revision
	FaultConflict       = "raced"    // another note was accepted concurrently
	FaultPlatform       = "platform" // the platform is unavailable; nothing was changed
	FaultOutcomeUnknown = "unknown"  // the response of the platform was lost; repeat the call with the same operation ID
	FaultBadRequest     = "request"  // the request is invalid
)

// Fault is an error response of the API.
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
	// Present reports whether this daemon has proof that every member is present.
	Present bool `json:"present"`
}

// Status is the state of the fleet from the view of one daemon.
type Status struct {
	Daemon string `json:"daemon"`
	// ReceivedRevision and AppliedRevision are the latest configuration revisions that this daemon received and applied.
	ReceivedRevision uint64            `json:"received"`
	AppliedRevision  uint64            `json:"applied"`
	Leaving          bool              `json:"leaving"`
	Daemons          []registry.Status `json:"daemons"`
	Groups           []Group           `json:"groups"`
	// MissingCopies is, by model service, the number of copies in the release note that are not serving.
	MissingCopies map[string]int `json:"missing"`
	// StrandedAccelerators is, by fabric domain, the number of accelerators that are not part of a serving group.
	StrandedAccelerators map[string]int `json:"stranded"`
}

// Events is a range of a daemon's timeline.
type Events struct {
	Daemon string           `json:"daemon"`
	Events []timeline.Event `json:"events"`
	// Next is the sequence number at which to continue. Lost is the number of events that were overwritten before they
	// could be read.
	Next uint64 `json:"next"`
	Lost uint64 `json:"lost"`
	// Head is the sequence number after the latest event. It is greater than Next if the response is only a page.
	Head uint64 `json:"head"`
}

// Daemon is the part of the daemon that the server uses.
type Daemon interface {
	Accept(ctx context.Context, op string, text []byte) (uint64, error)
	Head(ctx context.Context) (note.Config, platform.Row, error)
	History(ctx context.Context) ([]config.HistoryEntry, error)
	Status() Status
	Events(since uint64) Events
	Drain()
}

// Server serves the operator API.
type Server struct {
	daemon Daemon
	mux    *http.ServeMux
}

// NewServer returns a server for the daemon f. metrics handles /metrics.
func NewServer(f Daemon, metrics http.Handler) *Server {
	s := &Server{daemon: f, mux: http.NewServeMux()}
	s.mux.Handle("GET /metrics", metrics)
	s.mux.HandleFunc("POST /note", s.apply)
	s.mux.HandleFunc("POST /plan", s.plan)
	s.mux.HandleFunc("GET /config", s.config)
	s.mux.HandleFunc("GET /history", s.history)
	s.mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, f.Status()) })
	s.mux.HandleFunc("GET /timeline", s.timeline)
	s.mux.HandleFunc("POST /drain", func(w http.ResponseWriter, _ *http.Request) {
		f.Drain()
		writeJSON(w, http.StatusAccepted, struct{}{})
	})
	return s
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// maxNoteBytes limits the size of a release note.
const maxNoteBytes = 4 << 20

func (s *Server) readNote(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxNoteBytes))
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, &Fault{Kind: FaultBadRequest, Text: err.Error()})
		return nil, false
	}
	return text, true
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	text, ok := s.readNote(w, r)
	if !ok {
		return
	}
	revision, err := s.daemon.Accept(r.Context(), r.Header.Get(HeaderOperationID), text)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, map[string]uint64{"revision": revision})
}

// plan responds with what a note would change, without accepting the note.
func (s *Server) plan(w http.ResponseWriter, r *http.Request) {
	text, ok := s.readNote(w, r)
	if !ok {
		return
	}
	changes, err := s.planChanges(r.Context(), text)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, changes)
}

func (s *Server) planChanges(ctx context.Context, text []byte) ([]note.Change, error) {
	n, err := note.Parse("note", text)
	if err != nil {
		return nil, err
	}
	cur, _, err := s.daemon.Head(ctx)
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
	c, _, err := s.daemon.Head(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, c)
}

func (s *Server) history(w http.ResponseWriter, r *http.Request) {
	past, err := s.daemon.History(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, past)
}

func (s *Server) timeline(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil && r.URL.Query().Has("since") {
		writeJSON(w, http.StatusBadRequest, &Fault{Kind: FaultBadRequest, Text: "since is not a whole number"})
		return
	}
	filter, fault := parseFilter(r.URL.Query())
	if fault != nil {
		writeJSON(w, http.StatusBadRequest, fault)
		return
	}
	writeJSON(w, http.StatusOK, filter.paginate(s.daemon.Events(since)))
}

func writeError(w http.ResponseWriter, err error) {
	var faults *ini.Faults
	var stale *note.StaleBaseError
	var raced *config.ConflictError
	var unknown *platform.UnknownOutcomeError
	var conflict *platform.ConflictError
	f := &Fault{Status: http.StatusServiceUnavailable, Kind: FaultPlatform, Text: err.Error()}
	switch {
	case errors.As(err, &faults):
		f.Status, f.Kind = http.StatusBadRequest, FaultInvalidNote
	case errors.As(err, &stale):
		f.Status, f.Kind = http.StatusConflict, FaultStale
	case errors.As(err, &raced):
		f.Status, f.Kind = http.StatusConflict, FaultConflict
	case errors.As(err, &unknown), errors.As(err, &conflict):
		// A conflict that reading back did not resolve may be with the first transaction of the same call.
		f.Kind = FaultOutcomeUnknown
	}
	writeJSON(w, f.Status, f)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Client calls the operator API of one daemon.
type Client struct {
	base string
	http *http.Client
}

// Dial returns a client and a function that closes its idle connections. It does not connect. tls is nil for a daemon
// without a certificate.
func Dial(addr netip.AddrPort, tls *tls.Config) (*Client, func()) {
	tr := &http.Transport{TLSClientConfig: tls, IdleConnTimeout: 30 * time.Second}
	scheme := "http://"
	if tls != nil {
		scheme = "https://"
	}
	return NewClient(scheme+addr.String(), tr), tr.CloseIdleConnections
}

// callTimeout limits one call, including reading the response.
const callTimeout = 30 * time.Second

// NewClient returns a client that calls the API at a base URL through a transport.
func NewClient(base string, tr http.RoundTripper) *Client {
	return &Client{base: base, http: &http.Client{Transport: tr, Timeout: callTimeout}}
}

// Apply applies a note to the configuration of the fleet and returns the new revision. op is the operation ID, which must
// be the same when the call is repeated.
func (c *Client) Apply(ctx context.Context, op string, text []byte) (uint64, error) {
	var v struct {
		Revision uint64 `json:"revision"`
	}
	err := c.call(ctx, http.MethodPost, "/note", op, text, &v)
	return v.Revision, err
}

// Plan returns the changes that a note would make.
func (c *Client) Plan(ctx context.Context, text []byte) ([]note.Change, error) {
	var v []note.Change
	err := c.call(ctx, http.MethodPost, "/plan", "", text, &v)
	return v, err
}

// Config returns the configuration that was accepted last.
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

// Status returns the state of the fleet from the view of the daemon.
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

// Timeline returns the events that match a filter. Without a filter it reads page by page, up to the latest event at the
// time of the first response, so that it terminates even if the daemon keeps recording events.
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
			break // The daemon has no events yet.
		}
	}
	return all, nil
}

// Drain makes the daemon drain: callers no longer get its address, it completes its requests and takes no new tasks.
func (c *Client) Drain(ctx context.Context) error {
	return c.call(ctx, http.MethodPost, "/drain", "", nil, nil)
}

func (c *Client) call(ctx context.Context, method, path, op string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	if op != "" {
		req.Header.Set(HeaderOperationID, op)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		var u *url.Error
		if errors.As(err, &u) {
			err = u.Err // The caller and the error below already name the method and the address.
		}
		return fmt.Errorf("%s %s: %w", method, req.URL.Path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		f := &Fault{Status: resp.StatusCode}
		if err := json.NewDecoder(resp.Body).Decode(f); err != nil {
			return fmt.Errorf("%s %s: decode error response with status %d: %w", method, path, resp.StatusCode, err)
		}
		return f
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return fmt.Errorf("%s %s: decode response: %w", method, path, err)
	}
	return nil
}
