package caller

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/identity"
	"flamingorudder.example/internal/timer"
)

const reloadPeriod = 5 * time.Second

// writeCertificate writes a certificate with a serial number, and its key.
func writeCertificate(t *testing.T, cert, key string, serial int64) {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), DNSNames: []string{"daemon"}}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, k.Public(), k)
	if err != nil {
		t.Fatal(err)
	}
	b, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		t.Fatal(err)
	}
	for file, block := range map[string]*pem.Block{cert: {Type: "CERTIFICATE", Bytes: der}, key: {Type: "PRIVATE KEY", Bytes: b}} {
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	at := time.Now().Add(time.Duration(serial) * time.Hour) // Two writes may fall into one tick of the file system's clock.
	if err := os.Chtimes(cert, at, at); err != nil {
		t.Fatal(err)
	}
}

// Guards against a new certificate that needs a restart, and against a half-written one that takes the server down.
func TestCertificateReload(t *testing.T) {
	dir := t.TempDir()
	cert, key := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	synctest.Test(t, func(t *testing.T) {
		if _, err := identity.Load(identity.Files{Certificate: cert, Key: key}); err == nil {
			t.Error("missing files were accepted")
		}
		writeCertificate(t, cert, key, 1)
		c, err := identity.Load(identity.Files{Certificate: cert, Key: key})
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(t.Context())
		var g errgroup.Group
		g.Go(func() error { return c.Watch(ctx, reloadPeriod, hclog.NewNullLogger()) })
		check := func(want int64) {
			t.Helper()
			_ = timer.Wait(t.Context(), 2*reloadPeriod)
			pair, err := c.PublicServerConfig().GetCertificate(nil)
			if err != nil || pair.Leaf.SerialNumber.Int64() != want {
				t.Errorf("serial number %v, %v; want %d", pair.Leaf.SerialNumber, err, want)
			}
		}
		check(1)
		if err := os.WriteFile(cert, []byte("half"), 0o600); err != nil {
			t.Fatal(err)
		}
		check(1)
		writeCertificate(t, cert, key, 2)
		check(2)
		stop()
		_ = g.Wait()
	})
}

// Guards against a new certificate that cuts off open connections, is not shown to new ones, or is shown without its own
// key, in handshakes that verify it.
func TestCertificateReplacedUnderConnections(t *testing.T) {
	dir := t.TempDir()
	cert, key := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	run(t, func(t *testing.T, f *fleet) {
		writeCertificate(t, cert, key, 1)
		c, err := identity.Load(identity.Files{Certificate: cert, Key: key})
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		f.group.Go(func() error { return c.Watch(ctx, reloadPeriod, hclog.NewNullLogger()) })
		secure := netip.MustParseAddrPort("10.0.0.1:443")
		srv := &http.Server{Handler: f.server}
		f.servers[secure] = srv
		l := tls.NewListener(f.net.listen(secure.String()), c.PublicServerConfig())
		f.group.Go(func() error { _ = srv.Serve(l); return nil })
		// trust returns a client that accepts the certificate as it is in the file now, and no other.
		trust := func() *http.Client {
			b, err := os.ReadFile(cert)
			if err != nil {
				t.Fatal(err)
			}
			roots := x509.NewCertPool()
			roots.AppendCertsFromPEM(b)
			tr := &http.Transport{DialContext: f.net.dial, TLSClientConfig: &tls.Config{RootCAs: roots, ServerName: "daemon", MinVersion: tls.VersionTLS12}}
			t.Cleanup(tr.CloseIdleConnections)
			return &http.Client{Transport: tr}
		}
		chat := func(client *http.Client) (serial int64, text string, err error) {
			f := &fleet{t: t, client: client}
			a, err := f.ask(secure, "/v1/chat/completions", strings.NewReader(chatBody(true)), HeaderDeadline, "30s")
			return a.serial, fmt.Sprint(a.text, a.done), err
		}
		f.steps(engines[0], tokens(0, 600, true, nil), tokens(0, 2, true, nil))
		f.steps(engines[1], tokens(0, 2, true, nil))
		old := trust()
		f.group.Go(func() error {
			serial, text, err := chat(old)
			if err != nil || serial != 1 || !strings.Contains(text, "w599") || !strings.Contains(text, "true") {
				t.Errorf("stream across the change: serial %d, %v, %d bytes", serial, err, len(text))
			}
			return nil
		})
		_ = timer.Wait(t.Context(), time.Second)
		writeCertificate(t, cert, key, 2)
		_ = timer.Wait(t.Context(), 2*reloadPeriod)
		if serial, text, err := chat(trust()); err != nil || serial != 2 || !strings.Contains(text, "true") {
			t.Errorf("new connection: serial %d, %v: %s", serial, err, text)
		}
		_ = timer.Wait(t.Context(), 5*time.Second)
		if serial, text, err := chat(old); err != nil || serial != 1 || !strings.Contains(text, "true") {
			t.Errorf("kept connection: serial %d, %v: %s", serial, err, text)
		}
		old.CloseIdleConnections()
		var unknown *tls.CertificateVerificationError
		if _, _, err := chat(old); !errors.As(err, &unknown) {
			t.Errorf("a client that trusts only the old certificate: %v", err)
		}
	})
}
