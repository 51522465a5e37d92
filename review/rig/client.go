package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// reply is what a client got.
type reply struct {
	status   int
	signed   bool
	body     string
	complete bool
	err      error
}

// talk sends a request on a connection of its own.
func talk(addr, path, id, fields string, timeout time.Duration) reply {
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = c.Close() }()
	return talkOn(c, bufio.NewReader(c), path, id, fields, timeout)
}

// talkOn sends a request on a connection.
func talkOn(c net.Conn, from *bufio.Reader, path, id, fields string, timeout time.Duration) reply {
	_ = c.SetDeadline(time.Now().Add(timeout + time.Second))
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nX-Flamingorudder-Request-Id: %s\r\nX-Flamingorudder-Deadline-Ms: %d\r\n%sContent-Length: 2\r\n\r\nhi",
		path, host, key, id, timeout.Milliseconds(), fields)
	resp, err := http.ReadResponse(from, nil)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{
		status: resp.StatusCode, signed: resp.Header.Get("X-Flamingorudder-Response-Signature") != "", body: string(body),
		complete: err == nil && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0), err: err,
	}
}

// modelFields are the fields of a request to the model.
func modelFields(session string) string {
	return "X-Flamingorudder-Model: " + model + "\r\nX-Flamingorudder-Token-Usage: 500,80\r\nX-Flamingorudder-Prompt-Prefix: 5c1e07a2:40," + session + ":460\r\n"
}
