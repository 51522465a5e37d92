// Package http1 completes net/http's checks of HTTP/1.1 responses.
//
// net/http takes the end of a connection that was reset for
// the end of a response without a length if the reset was reported to the goroutine that writes the request.
package http1

import (
	"net"
	"net/http"

	"flamingorudder.example/internal/netopt"
)

// Transport is an http.Transport that reads no response that was cut off by a reset as complete.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport that uses base, whose DialContext it replaces.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = netopt.DialConn(dial)
	return &Transport{base}
}
