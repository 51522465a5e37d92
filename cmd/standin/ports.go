package main

import (
	"fmt"
	"net"
	"net/netip"
	"os"
)

// Ports are chosen below the ephemeral range (32768 and up, by default). An outgoing connection can take a free port of
// that range before a daemon listens on it, or while a killed stand-in is down. In a demo run, this left one daemon
// without its port until the end.
const (
	firstPort = 10_000
	lastPort  = 32_000
)

// NoFreePortError reports that no port of the range is free for both TCP and UDP.
type NoFreePortError struct{}

func (*NoFreePortError) Error() string {
	return fmt.Sprintf("no port from %d to %d is free for TCP and UDP on 127.0.0.1", firstPort, lastPort)
}

// ports chooses loopback addresses whose ports are free for TCP and UDP. The search starts at an offset derived from the
// process id, so that fleets started at the same time do not choose the same ports.
type ports struct{ offset int }

func newPorts() *ports {
	const step = 997
	return &ports{offset: os.Getpid() * step % (lastPort - firstPort)}
}

func (p *ports) choose() (netip.AddrPort, error) {
	for range lastPort - firstPort {
		a := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(firstPort+p.offset))
		p.offset = (p.offset + 1) % (lastPort - firstPort)
		if isFree(a) {
			return a, nil
		}
	}
	return netip.AddrPort{}, &NoFreePortError{}
}

func isFree(a netip.AddrPort) bool {
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
