// Package setting parses the INI settings of a daemon.
//
// Settings are read once at startup and do not change. What operators change at run time is in the release note (package
// note).
package setting

import (
	"net/netip"
	"slices"
	"time"

	"flamingorudder.example/internal/identity"
	"flamingorudder.example/internal/ini"
)

// Daemon holds the settings of one daemon.
type Daemon struct {
	// Name is unique within the deployment.
	Name string
	// DataCentre is the data centre in which the daemon runs.
	DataCentre string
	// Caller, Operator and Peer are the listen addresses for callers, operators and other daemons.
	Caller, Operator, Peer netip.AddrPort
	// Platform is the address of the platform service.
	Platform netip.AddrPort
	// Peers lists the initial peer addresses of other daemons; those that the platform lists are added.
	Peers []netip.AddrPort
	// AddressTTL is how long callers may cache a response of /v1/addresses.
	AddressTTL time.Duration
	// Identity holds the paths of the certificate files that the daemon uses with peers and operators.
	Identity identity.Files
	// Certificate and Key are the paths of the PEM files of the TLS certificate for callers; both are empty without TLS.
	Certificate, Key    string
	LogLevel, LogFormat string
}

// sections lists the known sections.
var sections = []string{"daemon", "listen", "platform", "identity", "tls", "log", "peers"}

// ParseDaemon parses the settings of a daemon. Its error is an *ini.Faults.
func ParseDaemon(file string, text []byte) (Daemon, error) {
	f := ini.Parse(file, text)
	var d Daemon
	s := f.Section("daemon")
	s.Require("name", "data-centre")
	d.Name, d.DataCentre = s.String("name", ""), s.String("data-centre", "")
	d.AddressTTL = s.Duration("hold", 10*time.Second, time.Second)

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
			r.AddFault("addresses", "not an IP address with a port: "+a)
			continue
		}
		d.Peers = append(d.Peers, ap)
	}
	for _, sec := range f.Sections {
		if !slices.Contains(sections, sec.Name) {
			sec.AddFault("", "unknown section"+ini.SuggestWord(sec.Name, sections))
		}
	}
	return d, f.Err()
}
