package setting

import (
	"strings"
	"testing"
)

const baseSettings = "[daemon]\nname = a\ndata-centre = b\n[listen]\ncaller = 10.0.0.1:1\noperator = 10.0.0.1:2\npeer = 10.0.0.1:3\n[platform]\naddress = 10.0.0.2:1\n[identity]\nauthority = ca.pem\ncertificate = id.pem\nkey = id.key\n[log]\n[peers]\n"

// TestTLS guards against a daemon that serves without TLS because one of its TLS settings is missing.
func TestTLS(t *testing.T) {
	d, err := ParseDaemon("a.ini", []byte(baseSettings+"[tls]\ncertificate = c.pem\nkey = k.pem\n"))
	if err != nil || d.Certificate != "c.pem" || d.Key != "k.pem" {
		t.Errorf("certificate %q and key %q: %v", d.Certificate, d.Key, err)
	}
	if _, err := ParseDaemon("a.ini", []byte(baseSettings)); err != nil {
		t.Errorf("without TLS: %v", err)
	}
	if _, err := ParseDaemon("a.ini", []byte(baseSettings+"[tls]\ncertificate = c.pem\n")); err == nil || !strings.Contains(err.Error(), "[tls] key") {
		t.Errorf("without a key: %v", err)
	}
}
