package fakeplatform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"flamingorudder.example/internal/timer"
	"flamingorudder.example/platform"
)

// Ask is a request of a caller.
type Ask struct {
	ID, Method, Host, Path string
	Key, Model             string
	// Left is how long the caller waits.
	Left time.Duration
	Body []byte
	// After is the event after which a stream goes on; 0 for a new one.
	After int
	// Pause is how long a caller that reads slowly waits before each readSize bytes; 0 for one that does not.
	Pause time.Duration
}

// readSize is how much a caller that reads slowly reads at once.
const readSize = 16 << 10

// Reply is what a caller got.
type Reply struct {
	Status int
	// ID is that of the request that the answer says it is for.
	ID string
	// Signed answers are a backend server's own.
	Signed bool
	// ComeBack is when the caller is told to return; 0 when it is not.
	ComeBack time.Duration
	Body     []byte
	// Err is set when there was no answer, or it ended before it was complete.
	Err error
}

// Do sends a request to a daemon and reads the whole answer.
func (a Ask) Do(ctx context.Context, c *http.Client, addr netip.AddrPort) Reply {
	ctx, cancel := context.WithTimeout(ctx, a.Left)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, a.Method, "http://"+addr.String()+a.Path, bytes.NewReader(a.Body))
	if err != nil {
		return Reply{Err: fmt.Errorf("make request: %w", err)}
	}
	if len(a.Body) == 0 {
		// The client repeats a request of this method on a connection that ends without an answer, unless it may have a body. The
		// caller is to see that end.
		req.Body, req.GetBody = struct{ io.ReadCloser }{http.NoBody}, nil
	}
	req.Host = a.Host
	call := platform.RequestInfo{ID: a.ID, Timeout: a.Left, Key: a.Key, Model: a.Model, PromptTokens: tokens, MaxTokens: max(tokens, Length(a.ID))}
	if a.After > 0 {
		call.LastEvent = strconv.Itoa(a.After)
	}
	req.Header = platform.EncodeRequestInfo(call)
	resp, err := c.Do(req)
	if err != nil {
		return Reply{Err: err}
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read or the connection is given up
	told := platform.ParseResponseInfo(resp.StatusCode, resp.Header)
	r := Reply{Status: resp.StatusCode, ID: told.ID, Signed: told.Signed, ComeBack: platform.RetryAfter(resp.Header)}
	if a.Pause == 0 {
		r.Body, r.Err = io.ReadAll(resp.Body)
		return r
	}
	var b bytes.Buffer
	for r.Err == nil {
		if r.Err = timer.Wait(ctx, a.Pause); r.Err == nil {
			_, r.Err = io.CopyN(&b, resp.Body, readSize)
		}
	}
	if r.Body = b.Bytes(); errors.Is(r.Err, io.EOF) {
		r.Err = nil
	}
	return r
}

// tokens is the size of each prompt, and the most of each answer that is not slow.
const tokens = 100

// Resolve asks a daemon where to connect.
func Resolve(ctx context.Context, c *http.Client, directory netip.AddrPort, host, dataCentre string) ([]netip.AddrPort, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, platform.ResolveURL(directory, host, dataCentre), nil)
	if err != nil {
		return nil, 0, fmt.Errorf("make question: %w", err)
	}
	resp, err := c.Do(req)
	if err != nil {
		return nil, 0, fmt.Errorf("ask for addresses: %w", err)
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read or the connection is given up
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, 0, fmt.Errorf("read addresses: %w", err)
	}
	return platform.DecodeAddresses(text)
}
