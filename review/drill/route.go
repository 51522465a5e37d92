package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"flamingorudder.example/internal/fakeplatform"
	"flamingorudder.example/internal/route"
	"flamingorudder.example/internal/timer"
	"flamingorudder.example/platform"
)

// adminService is the service of the route that is added.
const adminService = "admin"

// nested adds a route below another one, and sends requests whose path has an escaped slash after the shorter prefix.
func nested(ctx context.Context, f *fleet, trouble bool) (int, error) {
	var mu sync.Mutex
	ranAt := map[string]string{}
	f.events = func(e fakeplatform.Event) {
		if e.Kind == fakeplatform.Run {
			mu.Lock()
			defer mu.Unlock()
			ranAt[e.ID] = e.Server
		}
	}
	if err := f.startStore(ctx); err != nil {
		return unable, err
	}
	to := func(prefix, service string) route.Route {
		return route.Route{
			Name: "r" + strings.ReplaceAll(prefix, "/", "-"), Host: hostName, Prefix: prefix, Kind: route.Unsafe, Timeout: 3 * time.Second, Objective: 300 * time.Millisecond,
			Split: []route.Weighted{{Service: service, Weight: 1}}, MaxAttempts: 1,
		}
	}
	c := &route.Config{
		Version: 1, MaxBody: maxBody, Routes: []route.Route{to("/shop/", plainService)},
		Services:      []route.Service{{Name: plainService, MaxConnections: 100}, {Name: adminService, MaxConnections: 100}},
		Organisations: []route.Organisation{{Name: "north", Keys: []string{apiKey}, Rank: -1}},
	}
	if err := f.putConfig(ctx, c); err != nil {
		return unable, err
	}
	for i, service := range []string{plainService, plainService, adminService, adminService} {
		addr, err := f.free()
		if err != nil {
			return unable, err
		}
		if _, err := f.startServer(serverOptions{id: service + "-" + strconv.Itoa(i), service: service, slots: 16, work: 30 * time.Millisecond}, addr); err != nil {
			return unable, err
		}
	}
	for i := range 3 {
		if _, err := f.addDaemon(i, "z"+strconv.Itoa(i), f.serves); err != nil {
			return unable, err
		}
	}
	for _, d := range f.daemons {
		if err := f.awaitReady(ctx, d); err != nil {
			return unable, err
		}
	}
	_ = timer.Wait(ctx, 2*time.Second)
	count := func(phase, path, want string) (wrong int) {
		for i, d := range f.daemons {
			for j := range 10 {
				id := fmt.Sprintf("%s-%d-%d", phase, i, j)
				status := post(ctx, d, id, path+id)
				_ = timer.Wait(ctx, 20*time.Millisecond) // until the server's line has been read
				mu.Lock()
				at := ranAt[id]
				mu.Unlock()
				f.record.add("request %s POST %s: %s, run by %q", id, path+id, status, at)
				if at != "" && !strings.HasPrefix(at, want+"-") {
					wrong++
				}
			}
		}
		f.record.add("%s: %d of %d were run by another service than %s", phase, wrong, 10*len(f.daemons), want)
		return wrong
	}
	wrong := count("before-escaped", "/shop/admin%2F", plainService)
	if trouble {
		c.Version, c.Routes = 2, append(c.Routes, to("/shop/admin/", adminService))
		if err := f.putConfig(ctx, c); err != nil {
			return unable, err
		}
		f.record.add("version 2 adds the route /shop/admin/ to service %s", adminService)
	}
	_ = timer.Wait(ctx, applyTime+time.Second)
	wrong += count("after-escaped", "/shop/admin%2F", plainService)
	wrong += count("after-other", "/shop/other%2Fadmin%2F", plainService)
	if trouble {
		wrong += count("after-plain", "/shop/admin/", adminService)
	}
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}

// post sends a request without a body on a channel of its own and returns what came of it.
func post(ctx context.Context, d *daemon, id, path string) string {
	c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp4", d.caller.String())
	if err != nil {
		return "no connection"
	}
	defer func() { _ = c.Close() }() // everything has been read
	_ = c.SetDeadline(time.Now().Add(4 * time.Second))
	head := "POST " + path + " HTTP/1.1\r\nHost: " + hostName + "\r\nContent-Length: 0\r\n"
	for name, values := range platform.EncodeRequestInfo(platform.RequestInfo{ID: id, Key: apiKey, Timeout: 3 * time.Second}) {
		head += name + ": " + values[0] + "\r\n"
	}
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		return "cut while sending"
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "channel closed without an answer"
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return "answer cut off"
	}
	return strconv.Itoa(resp.StatusCode)
}
