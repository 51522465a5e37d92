package main

import (
	"fmt"
	"net"
	"net/netip"
	"os"
)

// Ports are chosen below the range that systems use for outgoing connections (32768 and up, by default). A port of that
// range which is free now can be taken by any outgoing connection before a daemon listens on it or while a killed
// stand-in is down; in a demo that left one daemon without its port for the whole run.
const (
	firstPort = 10_000
	lastPort  = 32_000
)

// NoPort reports that no free port was found.
type NoPort struct{}

func (*NoPort) Error() string {
	return fmt.Sprintf("no port from %d to %d is free for TCP and UDP on 127.0.0.1", firstPort, lastPort)
}

// ports chooses addresses whose ports are free for TCP and UDP. It starts at a place that depends on the process, so that
// fleets which start at the same time do not choose the same ones.
type ports struct{ next int }

func newPorts() *ports {
	const step = 997
	return &ports{next: os.Getpid() * step % (lastPort - firstPort)}
}

func (p *ports) choose() (netip.AddrPort, error) {
	for range lastPort - firstPort {
		a := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(firstPort+p.next))
		p.next = (p.next + 1) % (lastPort - firstPort)
		if free(a) {
			return a, nil
		}
	}
	return netip.AddrPort{}, &NoPort{}
}

func free(a netip.AddrPort) bool {
	t, err := net.Listen("tcp", a.String())
	if err != nil {
		return false
	}
	defer func() { _ = t.Close() }()
	u, err := net.ListenPacket("udp", a.String())
	if err != nil {
		return false
	}
	_ = u.Close()
	return true
}
