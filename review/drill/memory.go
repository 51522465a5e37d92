package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"flamingorudder.example/internal/route"
	"flamingorudder.example/internal/timer"
	"flamingorudder.example/platform"
)

// maxBody is the bound of a body in the configuration.
const maxBody = 4 << 20

// memory lets consumers send bodies within the limit of the configuration to two daemons, and ends a daemon whose memory exceeds its
// limit, as the platform does.
func memory(ctx context.Context, f *fleet, trouble bool) (int, error) {
	if err := f.startStore(ctx); err != nil {
		return unable, err
	}
	c := &route.Config{
		Version: 1, MaxBody: maxBody,
		Routes: []route.Route{{
			Name: "scan", Host: hostName, Prefix: "/scan/", Kind: route.Safe, Timeout: 10 * time.Second, Objective: 8 * time.Second,
			Split: []route.Weighted{{Service: plainService, Weight: 1}}, MaxAttempts: 2,
		}},
		Services:      []route.Service{{Name: plainService, MaxConnections: 400}},
		Organisations: []route.Organisation{{Name: "north", Keys: []string{apiKey}, Rank: -1}},
	}
	if err := f.putConfig(ctx, c); err != nil {
		return unable, err
	}
	for i := range 3 {
		addr, err := f.free()
		if err != nil {
			return unable, err
		}
		if _, err := f.startServer(serverOptions{id: "i-" + strconv.Itoa(i), service: plainService, slots: 64, work: 30 * time.Millisecond}, addr); err != nil {
			return unable, err
		}
	}
	for i := range 2 {
		if _, err := f.addDaemon(i, "z", f.serves); err != nil {
			return unable, err
		}
	}
	for _, d := range f.daemons {
		if err := f.awaitReady(ctx, d); err != nil {
			return unable, err
		}
	}
	users := 40
	if v, err := strconv.Atoi(os.Getenv("USERS")); err == nil {
		users = v
	} else if trouble {
		users = 96
	}
	var mu sync.Mutex
	exceeded, peak := map[string]int{}, map[string]int{}
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	var watchers sync.WaitGroup
	for _, d := range f.daemons {
		watchers.Go(func() {
			for timer.Wait(watching, 5*time.Millisecond) == nil {
				p := d.process()
				mb := residentMB(p.cmd.Process.Pid)
				mu.Lock()
				peak[d.name] = max(peak[d.name], mb)
				mu.Unlock()
				if mb <= memoryMB || !p.running() {
					continue
				}
				f.record.add("%s uses %d MiB of %d and is killed, as the platform does", d.name, mb, memoryMB)
				_ = p.cmd.Process.Signal(syscall.SIGKILL)
				<-p.done
				mu.Lock()
				exceeded[d.name]++
				mu.Unlock()
				_ = timer.Wait(watching, 500*time.Millisecond)
				if f.startDaemon(d) != nil {
					return
				}
			}
		})
	}
	const waves = 3
	statuses := map[string]int{}
	for wave := range waves {
		for _, d := range f.daemons {
			if err := f.awaitReady(ctx, d); err != nil {
				return unable, err
			}
		}
		_ = timer.Wait(ctx, 2*time.Second)
		var clients sync.WaitGroup
		for _, d := range f.daemons {
			for i := range users {
				clients.Go(func() {
					id := fmt.Sprintf("r%d-%s-%d", wave, d.name, i)
					status := upload(ctx, d, id, users)
					f.record.add("request %s: %s", id, status)
					mu.Lock()
					statuses[status]++
					mu.Unlock()
				})
			}
		}
		clients.Wait()
		_ = timer.Wait(ctx, time.Second)
	}
	stopWatching()
	watchers.Wait()
	f.record.add("answers: %v; peaks in MiB: %v; over the limit: %v", statuses, peak, exceeded)
	for _, d := range f.daemons {
		if exceeded[d.name] < waves {
			return held, nil
		}
	}
	return broken, nil
}

// uploadTime is how long a body is on its way: all users of a wave share a link of 1,000 Mbit/s.
func uploadTime(users int) time.Duration {
	return time.Duration(float64(users) * maxBody * 8 / 1e9 * float64(time.Second))
}

// upload sends one request with a body of the largest allowed size and returns what came of it.
func upload(ctx context.Context, d *daemon, id string, users int) string {
	c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp4", d.caller.String())
	if err != nil {
		return "no connection"
	}
	defer func() { _ = c.Close() }() // everything has been read, or the request is given up
	_ = c.SetDeadline(time.Now().Add(12 * time.Second))
	info := platform.EncodeRequestInfo(platform.RequestInfo{ID: id, Key: apiKey, Timeout: 12 * time.Second})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+hostName+"/scan/"+id, nil)
	if err != nil {
		return "no request"
	}
	head := "POST /scan/" + id + " HTTP/1.1\r\nHost: " + hostName + "\r\nContent-Length: " + strconv.Itoa(maxBody) + "\r\n"
	for name, values := range info {
		head += name + ": " + values[0] + "\r\n"
	}
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		return "cut while sending"
	}
	const piece = 32 << 10
	b := make([]byte, piece)
	for i := range b {
		b[i] = byte('a' + i%26)
	}
	answered := make(chan string, 1)
	go func() {
		resp, err := http.ReadResponse(bufio.NewReader(c), req)
		if err != nil {
			answered <- "channel closed without an answer"
			return
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			answered <- "answer cut off"
			return
		}
		answered <- strconv.Itoa(resp.StatusCode)
	}()
	start, total := time.Now(), uploadTime(users)
	for sent := 0; sent < maxBody; sent += piece {
		select {
		case s := <-answered:
			return s
		default:
		}
		due := start.Add(time.Duration(float64(total) * float64(sent) / maxBody))
		_ = timer.Wait(ctx, time.Until(due))
		if _, err := c.Write(b); err != nil {
			break
		}
	}
	return <-answered
}
