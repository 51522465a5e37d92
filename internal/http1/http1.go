// Package http1 completes net/http's checks of HTTP/1.1 responses.
//
// net/http accepts statuses below 100 and names of fields that hold a blank, and takes the end of a connection that was reset for the end
// of a response without a length if the reset was reported to the goroutine that writes the request.
package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"

	"flamingorudder.example/internal/netopt"
)

// MalformedError reports a response that is not valid HTTP/1.1. The request may have run.
type MalformedError struct{ Reason string }

func (e *MalformedError) Error() string { return "malformed response: " + e.Reason }

// CheckHead returns a *MalformedError if the head of a response, which may be informational, is not valid. Its body and what follows on
// the connection must not be used then.
func CheckHead(resp *http.Response) error {
	switch {
	case resp.StatusCode < http.StatusContinue:
		return &MalformedError{fmt.Sprintf("status %03d", resp.StatusCode)}
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return &MalformedError{"a switch of protocols that was not requested"}
	}
	return checkNames(resp.Header)
}

// CheckTrailer returns a *MalformedError if the trailer of a response is not valid. It is called at the end of the body.
func CheckTrailer(resp *http.Response) error { return checkNames(resp.Trailer) }

// maxQuoted bounds the part of a name that an error shows.
const maxQuoted = 64

// checkNames rejects the only byte that net/textproto accepts in a name although it is not allowed. It takes "Content-Length " for a
// name of its own, so that the body has another length than was meant.
func checkNames(h http.Header) error {
	for name := range h {
		if strings.Contains(name, " ") {
			return &MalformedError{fmt.Sprintf("name of a field %q", name[:min(len(name), maxQuoted)])}
		}
	}
	return nil
}

// Transport is an http.Transport that fails with *MalformedError for responses that are not valid, and reads no response that was cut
// off by a reset as complete.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport that uses base, whose DialContext it replaces.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	dial = netopt.DialConn(dial)
	base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return newConn(c), nil
	}
	return &Transport{base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok { // a connection with TLS is of another type
			c.expectResponse()
		}
	}}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		_ = resp.Body.Close() // the response is not used
		return nil, err
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &chunkedBody{resp.Body, resp}
	}
	return resp, nil
}

// chunkedBody is the body of a response that may have a trailer.
type chunkedBody struct {
	io.ReadCloser
	resp *http.Response
}

func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if malformed := CheckTrailer(b.resp); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}
