// Package platform is a client of the platform that the deployment provides: a transactional table service, an object
// store and the list of instances.
//
// The package keeps no state besides its HTTP connections and a cache of responses. Everything durable is stored in the
// platform. Each row belongs to the component of the daemon that owns its key prefix (see docs/design.md, section 8).
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

	"flamingorudder.example/internal/http1"
	"flamingorudder.example/internal/traffic"
)

// Row is one row of the table service.
type Row struct {
	Key string `json:"key"`
	// Version is the number of the commit that wrote the row; 0 means that the row does not exist.
	Version uint64 `json:"version"`
	// OperationID is the operation ID of the transaction that wrote the row.
	OperationID string `json:"op"`
	Value       []byte `json:"value,omitempty"`
}

// Check is a precondition of a transaction: the row must be at Version, or must not exist if Version is 0.
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

// Txn is a transaction. Its writes are applied atomically, and only if all checks hold.
type Txn struct {
	// OperationID is the operation ID. It is unique for each logical operation, and retries reuse it.
	OperationID string  `json:"op"`
	Checks      []Check `json:"checks,omitempty"`
	Writes      []Write `json:"writes,omitempty"`
}

// ConflictError reports that a check of a transaction failed and nothing was written.
type ConflictError struct {
	Key string `json:"key"`
	// Version is the current version of the row.
	Version uint64 `json:"version"`
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %q is at version %d, which is not the version that the transaction expected", e.Key, e.Version)
}

// UnavailableError reports that the platform rejected the operation or could not be reached, and that nothing was written.
type UnavailableError struct{ Err error }

func (e *UnavailableError) Error() string { return fmt.Sprintf("platform is unavailable: %v", e.Err) }
func (e *UnavailableError) Unwrap() error { return e.Err }

// UnknownOutcomeError reports that a transaction was sent but its response was lost, so it may or may not have been committed.
type UnknownOutcomeError struct {
	OperationID string
	Err         error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of operation %s is unknown: %v", e.OperationID, e.Err)
}
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// StatusError reports a response of the platform with an unexpected status code.
type StatusError struct {
	Status int
	Body   string
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// InstanceState tells whether an instance stays in service or the platform is about to remove it.
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

// Roster is the platform's list of instances as of At. It is eventually consistent and may be out of date.
type Roster struct {
	At        time.Time  `json:"at"`
	Instances []Instance `json:"instances"`
}

// Client is a client of the platform. It is safe for concurrent use.
type Client struct {
	base    string
	http    *http.Client
	traffic traffic.Counter

	mu sync.Mutex
	// cache holds responses by path; they are reused when the platform answers 304 Not Modified.
	cache map[string]cachedResponse
}

// cachedResponse is a decoded response with its entity tag.
type cachedResponse struct {
	tag   string
	value any
}

// maxCachedResponses bounds the response cache. A daemon polls about ten paths.
const maxCachedResponses = 32

// NewClient returns a client of the platform at addr and a function that closes its idle connections. Connections are opened
// on demand.
func NewClient(addr netip.AddrPort) (*Client, func()) {
	return NewClientWithDialer(addr, (&net.Dialer{Timeout: time.Second}).DialContext)
}

// NewClientWithDialer is like NewClient, but opens connections with dial. Errors of dial must be a *net.OpError with Op "dial".
func NewClientWithDialer(addr netip.AddrPort, dial func(ctx context.Context, network, addr string) (net.Conn, error)) (*Client, func()) {
	c := &Client{base: "http://" + addr.String(), cache: map[string]cachedResponse{}}
	tr := http1.NewTransport(&http.Transport{
		DialContext:         c.traffic.Dial(dial),
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     30 * time.Second,
	})
	c.http = &http.Client{Transport: tr}
	return c, tr.CloseIdleConnections
}

// Traffic returns the number of connections opened and bytes transferred so far.
func (c *Client) Traffic() traffic.Stats { return c.traffic.Stats() }

// Commit runs a transaction and returns the commit number. It fails with *ConflictError, *UnavailableError or *UnknownOutcomeError.
func (c *Client) Commit(ctx context.Context, t Txn) (uint64, error) {
	body, err := json.Marshal(t)
	if err != nil {
		return 0, fmt.Errorf("encode transaction %s: %w", t.OperationID, err)
	}
	resp, err := c.send(ctx, http.MethodPost, "/table/txn", body, "")
	if err != nil {
		if dialFailed(err) {
			return 0, &UnavailableError{Err: err}
		}
		return 0, &UnknownOutcomeError{OperationID: t.OperationID, Err: err}
	}
	switch resp.status {
	case http.StatusOK:
		var v struct {
			Version uint64 `json:"version"`
		}
		if err := json.Unmarshal(resp.body, &v); err != nil {
			return 0, &UnknownOutcomeError{OperationID: t.OperationID, Err: err}
		}
		return v.Version, nil
	case http.StatusConflict:
		var k ConflictError
		if err := json.Unmarshal(resp.body, &k); err != nil {
			return 0, &UnknownOutcomeError{OperationID: t.OperationID, Err: err}
		}
		return 0, &k
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return 0, &UnavailableError{Err: resp.statusError()}
	}
	return 0, &UnknownOutcomeError{OperationID: t.OperationID, Err: resp.statusError()}
}

// CommitWithRetry runs a transaction like Commit, but determines the outcome if the response is lost. It reads back the first
// row that the transaction both checks and writes: if the row carries the operation ID, the transaction was committed; if
// it is still at the checked version, the transaction is sent again; otherwise the result is a *ConflictError. A later
// transaction may have overwritten that row, so after a *ConflictError the caller must read its rows again before it acts on
// them. wait is called with the attempt number before each retry. CommitWithRetry fails with *ConflictError, *UnavailableError, or with
// *UnknownOutcomeError if wait returns an error, as it does when ctx is done, or if no written row is also checked.
func (c *Client) CommitWithRetry(ctx context.Context, t Txn, wait func(ctx context.Context, n int) error) (uint64, error) {
	key, checked, ok := t.outcomeRow()
	v, err := c.Commit(ctx, t)
	for n := 0; ; n++ {
		var unknown *UnknownOutcomeError
		if !errors.As(err, &unknown) || !ok {
			return v, err
		}
		if wait(ctx, n) != nil {
			return 0, unknown
		}
		row, readErr := c.Read(ctx, key)
		switch {
		case readErr != nil:
			continue
		case row.Version > 0 && row.OperationID == t.OperationID:
			return row.Version, nil
		case row.Version != checked:
			return 0, &ConflictError{Key: key, Version: row.Version}
		}
		v, err = c.Commit(ctx, t)
		var unavailable *UnavailableError
		var conflict *ConflictError
		switch {
		case errors.As(err, &unavailable):
			err = unknown // An earlier request may still be committed.
		case errors.As(err, &conflict):
			// An earlier request may have been committed between the read and this one.
			if row, readErr := c.Read(ctx, key); readErr != nil {
				err = unknown
			} else if row.Version > 0 && row.OperationID == t.OperationID {
				return row.Version, nil
			}
		}
	}
}

// outcomeRow returns the key of a row that shows whether the transaction was committed, and the version that the transaction
// expects it to have.
func (t Txn) outcomeRow() (key string, version uint64, ok bool) {
	for _, w := range t.Writes {
		for _, c := range t.Checks {
			if c.Key == w.Key && !w.Delete {
				return w.Key, c.Version, true
			}
		}
	}
	return "", 0, false
}

// Read returns one row. A row that does not exist has version 0.
func (c *Client) Read(ctx context.Context, key string) (Row, error) {
	v, err := get[rows](ctx, c, "/table/read?key="+url.QueryEscape(key), false)
	if err != nil || len(v.Rows) == 0 {
		return Row{Key: key}, err
	}
	return v.Rows[0], nil
}

// Scan returns the rows whose keys start with prefix, in key order. Unchanged rows are served from the cache after a
// conditional request, so callers must not modify the values.
func (c *Client) Scan(ctx context.Context, prefix string) ([]Row, error) {
	v, err := get[rows](ctx, c, "/table/read?prefix="+url.QueryEscape(prefix), true)
	return slices.Clone(v.Rows), err
}

type rows struct {
	Rows []Row `json:"rows"`
}

// Roster returns the platform's list of instances. An unchanged list is served from the cache after a conditional request,
// so callers must not modify it.
func (c *Client) Roster(ctx context.Context) (Roster, error) {
	return get[Roster](ctx, c, "/roster", true)
}

// PutObject stores an object, replacing any object of the same name.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	resp, err := c.send(ctx, http.MethodPut, "/object/"+url.PathEscape(name), data, "")
	if err != nil {
		return &UnavailableError{Err: err}
	}
	if resp.status != http.StatusOK {
		return &UnavailableError{Err: resp.statusError()}
	}
	return nil
}

// GetObject returns an object, or nil and no error if it does not exist.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	resp, err := c.send(ctx, http.MethodGet, "/object/"+url.PathEscape(name), nil, "")
	if err != nil {
		return nil, &UnavailableError{Err: err}
	}
	switch resp.status {
	case http.StatusOK:
		return resp.body, nil
	case http.StatusNotFound:
		return nil, nil
	}
	return nil, &UnavailableError{Err: resp.statusError()}
}

// get requests a path and decodes the response. If cacheable is set, it caches the response and makes later requests
// conditional (If-None-Match). A platform that sends no entity tags returns the full response each time.
func get[T any](ctx context.Context, c *Client, path string, cacheable bool) (T, error) {
	var v T
	var cached cachedResponse
	if cacheable {
		c.mu.Lock()
		cached = c.cache[path]
		c.mu.Unlock()
	}
	resp, err := c.send(ctx, http.MethodGet, path, nil, cached.tag)
	if err != nil {
		return v, &UnavailableError{Err: err}
	}
	if resp.status == http.StatusNotModified && cached.tag != "" {
		return cached.value.(T), nil
	}
	if resp.status != http.StatusOK {
		return v, &UnavailableError{Err: resp.statusError()}
	}
	if err := json.Unmarshal(resp.body, &v); err != nil {
		return v, &UnavailableError{Err: err}
	}
	if cacheable {
		c.store(path, cachedResponse{resp.tag, v})
	}
	return v, nil
}

// store caches a response. When the cache is full it evicts an arbitrary one.
func (c *Client) store(path string, r cachedResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.tag == "" {
		delete(c.cache, path)
		return
	}
	if _, ok := c.cache[path]; !ok && len(c.cache) >= maxCachedResponses {
		for other := range c.cache {
			delete(c.cache, other)
			break
		}
	}
	c.cache[path] = r
}

type response struct {
	status int
	tag    string
	body   []byte
}

func (r response) statusError() error { return &StatusError{Status: r.status, Body: string(r.body)} }

// maxBody bounds the size of a response, so that a fault of the platform cannot exhaust the memory of the daemon.
const maxBody = 64 << 20

func (c *Client) send(ctx context.Context, method, path string, body []byte, tag string) (response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	// The platform does not use User-Agent, and at several requests per second the header costs bandwidth.
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

// dialFailed reports whether a request failed while dialing, that is, before any of it was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
