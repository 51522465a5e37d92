// Package setting reads the settings of a daemon from INI.
//
// Settings are read once at the start and do not change; what operators change while the fleet runs is in the release
// note (package note).
package setting

import (
	"net/netip"
	"slices"
	"time"

	"flamingorudder.example/internal/identity"
	"flamingorudder.example/internal/ini"
)

// Daemon is the settings of one daemon.
type Daemon struct {
	// Name identifies the daemon among those of its deployment.
	Name string
	// DataCentre is where the daemon runs.
	DataCentre string
	// Caller, Operator and Peer are the addresses that the daemon listens on.
	Caller, Operator, Peer netip.AddrPort
	// Platform is the address of the platform's service.
	Platform netip.AddrPort
	// Peers lists the peer addresses of other daemons to start from; the platform's list adds to them.
	Peers []netip.AddrPort
	// Hold is how long callers may keep an answer of /v1/addresses.
	Hold time.Duration
	// Identity names the files of the daemon's certificate, for peers and operators.
	Identity identity.Files
	// Certificate and Key are the files, in PEM, of the TLS certificate shown to callers; both are empty without TLS.
	Certificate, Key string
	// LogLevel and LogFormat choose what is logged and how.
	LogLevel, LogFormat string
}

// sections lists the sections of a daemon's settings.
var sections = []string{"daemon", "listen", "platform", "identity", "tls", "log", "peers"}

// ParseDaemon reads the settings of a daemon. It fails with *ini.Faults.
func ParseDaemon(file string, text []byte) (Daemon, error) {
	f := ini.Parse(file, text)
	var d Daemon
	s := f.Section("daemon")
	s.Require("name", "data-centre")
	d.Name, d.DataCentre = s.String("name", ""), s.String("data-centre", "")
	d.Hold = s.Duration("hold", 10*time.Second, time.Second)

	l := f.Section("listen")
	l.Require("caller", "operator", "peer")
	d.Caller, d.Operator, d.Peer = l.Addr("caller", d.Caller), l.Addr("operator", d.Operator), l.Addr("peer", d.Peer)

	p := f.Section("platform")
	p.Require("address")
	d.Platform = p.Addr("address", d.Platform)

	id := f.Section("identity")
	id.Require("authority", "certificate", "key")
	d.Identity = identity.Files{Authority: id.String("authority", ""), Certificate: id.String("certificate", ""), Key: id.String("key", "")}

	g := f.Section("log")
	d.LogLevel = g.Choice("level", "info", "trace", "debug", "info", "warn", "error")
	d.LogFormat = g.Choice("format", "text", "text", "json")

	if slices.ContainsFunc(f.Sections, func(s *ini.Section) bool { return s.Name == "tls" }) {
		t := f.Section("tls")
		t.Require("certificate", "key")
		d.Certificate, d.Key = t.String("certificate", ""), t.String("key", "")
	}

	r := f.Section("peers")
	for _, a := range r.List("addresses") {
		ap, err := netip.ParseAddrPort(a)
		if err != nil {
			r.Fault("addresses", "not an IP address with a port: "+a)
			continue
		}
		d.Peers = append(d.Peers, ap)
	}
	for _, sec := range f.Sections {
		if !slices.Contains(sections, sec.Name) {
			sec.Fault("", "unknown section"+ini.Hint(sec.Name, sections))
		}
	}
	return d, f.Err()
}
