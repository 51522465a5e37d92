package caller

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"flamingorudder.example/internal/timer"
)

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
		if _, err := LoadCertificate(cert, key); err == nil {
			t.Error("missing files were accepted")
		}
		writeCertificate(t, cert, key, 1)
		c, err := LoadCertificate(cert, key)
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(t.Context())
		var g errgroup.Group
		g.Go(func() error { return c.Watch(ctx, hclog.NewNullLogger()) })
		check := func(want int64) {
			t.Helper()
			_ = timer.Wait(t.Context(), 2*reloadPeriod)
			pair, err := c.Config().GetCertificate(nil)
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
