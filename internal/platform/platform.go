// Package platform speaks to the platform that the deployment runs: the transactional table service, the object store
// and the list of instances.
//
// The package keeps no state besides its HTTP connections. Everything that has to last lives in the platform; rows are
// owned by the part of the daemon whose key prefix they carry (see docs/design.md, section 8).
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"sync"
	"time"

	"flamingorudder.example/internal/traffic"
)

// Row is one row of the table service.
type Row struct {
	Key string `json:"key"`
	// Version is the commit number that wrote the row; 0 means that the row is absent.
	Version uint64 `json:"version"`
	// Op is the operation number of the transaction that wrote the row.
	Op    string `json:"op"`
	Value []byte `json:"value,omitempty"`
}

// Check makes a transaction conditional: the row must still be at Version (0: absent).
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets or deletes one row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a transaction: every check holds and every write takes effect, or nothing happens.
type Txn struct {
	// Op identifies the operation across repeats. It is unique for each logical operation.
	Op     string  `json:"op"`
	Checks []Check `json:"checks,omitempty"`
	Writes []Write `json:"writes,omitempty"`
}

// Conflict reports that a check of a transaction failed; nothing was written.
type Conflict struct {
	Key string `json:"key"`
	// Version is the version of the row that was found.
	Version uint64 `json:"version"`
}

func (e *Conflict) Error() string {
	return fmt.Sprintf("row %q is at version %d, not at the one the transaction checked", e.Key, e.Version)
}

// Unavailable reports that the platform refused the operation or could not be reached; nothing was written.
type Unavailable struct{ Err error }

func (e *Unavailable) Error() string { return fmt.Sprintf("platform is unavailable: %v", e.Err) }
func (e *Unavailable) Unwrap() error { return e.Err }

// Unknown reports that a write was sent and its answer was lost: it may or may not have taken effect.
type Unknown struct {
	Op  string
	Err error
}

func (e *Unknown) Error() string {
	return fmt.Sprintf("outcome of operation %s is unknown: %v", e.Op, e.Err)
}
func (e *Unknown) Unwrap() error { return e.Err }

// StatusError is an answer of the platform with an unexpected status.
type StatusError struct {
	Status int
	Body   string
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// InstanceState tells whether the platform keeps an instance or is taking it away.
type InstanceState string

// States of an instance in the platform's list.
const (
	Live    InstanceState = "live"
	Leaving InstanceState = "leaving"
)

// Kinds of instances in the platform's list.
const (
	KindDaemon = "daemon"
	KindEngine = "engine"
	KindPlain  = "plain"
)

// Instance is one entry of the platform's list of instances.
type Instance struct {
	ID   string         `json:"id"`
	Addr netip.AddrPort `json:"addr"`
	Kind string         `json:"kind"`
	// Service is the plain service that the instance runs; empty for engines and daemons.
	Service      string        `json:"service,omitempty"`
	DataCentre   string        `json:"data_centre"`
	Domain       string        `json:"domain,omitempty"`
	Accelerators int           `json:"accelerators,omitempty"`
	State        InstanceState `json:"state"`
}

// Roster is the platform's list of instances as it was at At. It lags behind the truth.
type Roster struct {
	At        time.Time  `json:"at"`
	Instances []Instance `json:"instances"`
}

// Client is a client of the platform. Its methods may be called from several goroutines.
type Client struct {
	base    string
	http    *http.Client
	traffic traffic.Counter

	mu sync.Mutex
	// kept holds answers by their path; they are used again when the platform says that nothing has changed.
	kept map[string]answer
}

// answer is a decoded answer with its entity tag.
type answer struct {
	tag   string
	value any
}

// keptMost bounds the answers kept. A daemon reads some ten paths again and again.
const keptMost = 32

// Dial returns a client of the platform at addr and a function that closes its connections. It does not connect yet.
func Dial(addr netip.AddrPort) (*Client, func()) {
	return DialWith(addr, (&net.Dialer{Timeout: time.Second}).DialContext)
}

// DialWith is Dial with a way to open connections, whose failures are *net.OpError with Op "dial".
func DialWith(addr netip.AddrPort, dial func(ctx context.Context, network, addr string) (net.Conn, error)) (*Client, func()) {
	c := &Client{base: "http://" + addr.String(), kept: map[string]answer{}}
	tr := &http.Transport{
		DialContext:         c.traffic.Dial(dial),
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     30 * time.Second,
	}
	c.http = &http.Client{Transport: tr}
	return c, tr.CloseIdleConnections
}

// Traffic returns the connections and bytes so far.
func (c *Client) Traffic() traffic.Stats { return c.traffic.Stats() }

// Commit runs a transaction and returns the commit number. It fails with *Conflict, *Unavailable or *Unknown.
func (c *Client) Commit(ctx context.Context, t Txn) (uint64, error) {
	body, err := json.Marshal(t)
	if err != nil {
		return 0, fmt.Errorf("encode transaction %s: %w", t.Op, err)
	}
	resp, err := c.send(ctx, http.MethodPost, "/table/txn", body, "")
	if err != nil {
		if refused(err) {
			return 0, &Unavailable{Err: err}
		}
		return 0, &Unknown{Op: t.Op, Err: err}
	}
	switch resp.status {
	case http.StatusOK:
		var v struct {
			Version uint64 `json:"version"`
		}
		if err := json.Unmarshal(resp.body, &v); err != nil {
			return 0, &Unknown{Op: t.Op, Err: err}
		}
		return v.Version, nil
	case http.StatusConflict:
		var k Conflict
		if err := json.Unmarshal(resp.body, &k); err != nil {
			return 0, &Unknown{Op: t.Op, Err: err}
		}
		return 0, &k
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return 0, &Unavailable{Err: resp.fault()}
	}
	return 0, &Unknown{Op: t.Op, Err: resp.fault()}
}

// CommitSure runs a transaction like Commit, but finds out what became of it when the answer is lost: it reads back the
// first row that the transaction writes and checks. If the row has the operation number, the transaction took effect;
// if it is still at the checked version, the same transaction is sent again; otherwise it is a *Conflict. A later
// transaction may have overwritten that row, so after a *Conflict the caller reads its rows again before it decides
// anything. It fails with *Conflict, *Unavailable, or with *Unknown when ctx ends first; retry waits between
// attempts, which it is given the number of.
func (c *Client) CommitSure(ctx context.Context, t Txn, retry func(ctx context.Context, n int) error) (uint64, error) {
	key, checked, ok := t.witness()
	v, err := c.Commit(ctx, t)
	for n := 0; ; n++ {
		var lost *Unknown
		if !errors.As(err, &lost) || !ok {
			return v, err
		}
		if retry(ctx, n) != nil {
			return 0, lost
		}
		row, rerr := c.Read(ctx, key)
		switch {
		case rerr != nil:
			continue
		case row.Version > 0 && row.Op == t.Op:
			return row.Version, nil
		case row.Version != checked:
			return 0, &Conflict{Key: key, Version: row.Version}
		}
		v, err = c.Commit(ctx, t)
		var down *Unavailable
		var conflict *Conflict
		switch {
		case errors.As(err, &down):
			err = lost // The first sending may still take effect.
		case errors.As(err, &conflict):
			// The first sending may have taken effect between the read and the second one.
			if row, rerr := c.Read(ctx, key); rerr != nil {
				err = lost
			} else if row.Version > 0 && row.Op == t.Op {
				return row.Version, nil
			}
		}
	}
}

// witness returns a row that shows whether the transaction took effect, and the version that it had before.
func (t Txn) witness() (key string, version uint64, ok bool) {
	for _, w := range t.Writes {
		for _, c := range t.Checks {
			if c.Key == w.Key && !w.Delete {
				return w.Key, c.Version, true
			}
		}
	}
	return "", 0, false
}

// Read returns one row; an absent row has version 0.
func (c *Client) Read(ctx context.Context, key string) (Row, error) {
	v, err := get[rows](ctx, c, "/table/read?key="+url.QueryEscape(key), false)
	if err != nil || len(v.Rows) == 0 {
		return Row{Key: key}, err
	}
	return v.Rows[0], nil
}

// Scan returns the rows whose keys start with prefix, in order of their keys. They are sent only when they have changed
// since the last time; their values must not be modified.
func (c *Client) Scan(ctx context.Context, prefix string) ([]Row, error) {
	v, err := get[rows](ctx, c, "/table/read?prefix="+url.QueryEscape(prefix), true)
	return slices.Clone(v.Rows), err
}

type rows struct {
	Rows []Row `json:"rows"`
}

// Roster returns the platform's list of instances. It is sent only when it has changed; it must not be modified.
func (c *Client) Roster(ctx context.Context) (Roster, error) {
	return get[Roster](ctx, c, "/roster", true)
}

// PutObject stores an object under a name, replacing an earlier one.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	resp, err := c.send(ctx, http.MethodPut, "/object/"+url.PathEscape(name), data, "")
	if err != nil {
		return &Unavailable{Err: err}
	}
	if resp.status != http.StatusOK {
		return &Unavailable{Err: resp.fault()}
	}
	return nil
}

// GetObject returns an object. An absent one is nil without an error.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	resp, err := c.send(ctx, http.MethodGet, "/object/"+url.PathEscape(name), nil, "")
	if err != nil {
		return nil, &Unavailable{Err: err}
	}
	switch resp.status {
	case http.StatusOK:
		return resp.body, nil
	case http.StatusNotFound:
		return nil, nil
	}
	return nil, &Unavailable{Err: resp.fault()}
}

// get reads and decodes a path. With again it keeps the answer and asks for it only if it has changed (If-None-Match);
// a platform without entity tags answers in full each time.
func get[T any](ctx context.Context, c *Client, path string, again bool) (T, error) {
	var v T
	var old answer
	if again {
		c.mu.Lock()
		old = c.kept[path]
		c.mu.Unlock()
	}
	resp, err := c.send(ctx, http.MethodGet, path, nil, old.tag)
	if err != nil {
		return v, &Unavailable{Err: err}
	}
	if resp.status == http.StatusNotModified && old.tag != "" {
		return old.value.(T), nil
	}
	if resp.status != http.StatusOK {
		return v, &Unavailable{Err: resp.fault()}
	}
	if err := json.Unmarshal(resp.body, &v); err != nil {
		return v, &Unavailable{Err: err}
	}
	if again {
		c.keep(path, answer{resp.tag, v})
	}
	return v, nil
}

func (c *Client) keep(path string, a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.tag == "" {
		delete(c.kept, path)
		return
	}
	if _, ok := c.kept[path]; !ok && len(c.kept) >= keptMost {
		for other := range c.kept {
			delete(c.kept, other)
			break
		}
	}
	c.kept[path] = a
}

type response struct {
	status int
	tag    string
	body   []byte
}

func (r response) fault() error { return &StatusError{Status: r.status, Body: string(r.body)} }

// maxBody bounds an answer of the platform, so that a fault there cannot exhaust the daemon's memory.
const maxBody = 64 << 20

func (c *Client) send(ctx context.Context, method, path string, body []byte, tag string) (response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	// Each byte of a header counts at several requests a second; this one tells the platform nothing.
	req.Header.Set("User-Agent", "")
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return response{}, err
	}
	return response{status: resp.StatusCode, tag: resp.Header.Get("ETag"), body: b}, nil
}

// refused tells whether a request failed before any byte of it could leave.
func refused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
