package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/timer"
)

const (
	headsMemory = 284
	// headsConns is the number of clients, each with one connection at a time; headsBytes is the size of the fields in a head. The configuration allows heads
	// of 16 KiB.
	headsConns = 1300
	headsBytes = 15000
	headsTime  = 30 * time.Second
)

// smallFields returns fields of a few bytes each, of about the given size together.
func smallFields(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		b.WriteByte('z')
		for n, j := i, 0; j < 3; j++ {
			b.WriteByte(letters[n%len(letters)])
			n /= len(letters)
		}
		b.WriteString(":\r\n")
	}
	return b.String()
}

// openBody is the beginning of a chunked body that stops one byte short of the end of its chunk.
const openBody = "10\r\n0123456789abcde"

// holdBody sends a head and a chunked body that stays open, and waits for an answer. It returns its status, or zero.
func holdBody(addr, fields, id string, end time.Time) int {
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(end)
	_, _ = fmt.Fprintf(c, "POST /open/upload HTTP/1.1\r\nHost: %s\r\nX-Flamingorudder-Deadline-Ms: 8000\r\nX-Flamingorudder-Request-Id: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n%s", host, id, fields, openBody)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// heads has clients send heads of many small fields, within the limit, and bodies that stay open. The process must stay within its memory.
func heads(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	if err := f.configure(plainConfig(1)); err != nil {
		return false, err
	}
	for i := range 2 {
		if _, err := f.addPlain(ctx, fmt.Sprintf("s-%d", i+1), "zone-a"); err != nil {
			return false, err
		}
	}
	d, err := f.addDaemon("zone-a", headsMemory)
	if err != nil {
		return false, err
	}
	if err := f.awaitReady(ctx, d); err != nil {
		return false, err
	}
	fields := "X-Filler: " + strings.Repeat("a", headsBytes) + "\r\n"
	if trouble {
		fields = smallFields(headsBytes)
	}
	f.write("%d fields, %d bytes in a head; %d MiB resident before", strings.Count(fields, "\n"), len(fields), d.memory("VmRSS"))
	end := time.Now().Add(headsTime)
	var clients errgroup.Group
	var sent, timedOut, rejected, closed atomic.Int64
	for i := range headsConns {
		clients.Go(func() error {
			_ = timer.Wait(ctx, time.Duration(i)*5*time.Millisecond)
			for n := 0; time.Now().Before(end) && !d.ended.Load(); n++ {
				sent.Add(1)
				switch holdBody(d.caller, fields, fmt.Sprintf("u%d-%d", i, n), end) {
				case 0:
					closed.Add(1)
				case http.StatusRequestTimeout:
					timedOut.Add(1)
				default:
					rejected.Add(1)
				}
				_ = timer.Wait(ctx, 100*time.Millisecond)
			}
			return nil
		})
	}
	peak := 0
	for time.Now().Before(end) && !d.ended.Load() {
		if rss := d.memory("VmRSS"); rss > peak+10 {
			peak = rss
			f.write("%d MiB resident, %d requests sent", rss, sent.Load())
		}
		_ = timer.Wait(ctx, 100*time.Millisecond)
	}
	most := d.memory("VmHWM")
	_ = clients.Wait() // its tasks return no error
	f.write("%d requests sent: %d answered 408, %d otherwise, %d closed without an answer", sent.Load(), timedOut.Load(), rejected.Load(), closed.Load())
	f.write("at most %d MiB resident of %d; ended: %v", most, headsMemory, d.ended.Load())
	return most > headsMemory || d.ended.Load(), nil
}
