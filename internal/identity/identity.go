// Package identity holds a process's certificate and the certificate authority of its deployment, for mutual TLS between
// daemons and with operators.
//
// The files are read again when they change, so that certificates are renewed without a restart. A renewed pair that
// does not load, for example between the writes of its two files, leaves the old one in use. The certificate shown to
// callers is kept the same way.
package identity

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"flamingorudder.example/internal/timer"
)

// Files names the PEM files of an identity.
type Files struct {
	// Authority holds the certificates of the deployment's certificate authority. More than one may stand in it while
	// the authority is being replaced. It is empty for a certificate that is only shown to the public.
	Authority string
	// Certificate and Key are the process's own.
	Certificate, Key string
}

// BadFile reports a PEM file that could not be used.
type BadFile struct {
	File string
	Err  error
}

func (e *BadFile) Error() string { return fmt.Sprintf("identity file %s: %v", e.File, e.Err) }
func (e *BadFile) Unwrap() error { return e.Err }

// NoCertificate reports a file without a certificate in PEM form.
type NoCertificate struct{}

func (*NoCertificate) Error() string { return "holds no certificate in PEM form" }

// Identity is the identity of a process. Its methods may be called from several goroutines.
type Identity struct {
	files Files
	now   atomic.Pointer[loaded]
}

type loaded struct {
	cert  tls.Certificate
	pool  *x509.CertPool
	stamp string
}

// Load reads an identity. It fails with *BadFile.
func Load(f Files) (*Identity, error) {
	id := &Identity{files: f}
	if _, err := id.reload(); err != nil {
		return nil, err
	}
	return id, nil
}

// Watch reads the files again when they change, until ctx ends.
func (id *Identity) Watch(ctx context.Context, period time.Duration, log hclog.Logger) error {
	tick, stop := timer.Every(period, 0)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick:
		}
		changed, err := id.reload()
		switch {
		case err != nil:
			log.Error("renewed certificate cannot be used; the old one stays in use", "error", err)
		case changed:
			log.Info("certificate renewed", "expires", id.now.Load().cert.Leaf.NotAfter)
		}
	}
}

func (id *Identity) reload() (changed bool, err error) {
	stamp := ""
	for _, f := range []string{id.files.Authority, id.files.Certificate, id.files.Key} {
		if f == "" {
			continue
		}
		st, err := os.Stat(f)
		if err != nil {
			return false, &BadFile{File: f, Err: err}
		}
		stamp += fmt.Sprintf("%d %d ", st.ModTime().UnixNano(), st.Size())
	}
	if have := id.now.Load(); have != nil && have.stamp == stamp {
		return false, nil
	}
	pool := x509.NewCertPool()
	if f := id.files.Authority; f != "" {
		ca, err := os.ReadFile(f)
		if err != nil {
			return false, &BadFile{File: f, Err: err}
		}
		if !pool.AppendCertsFromPEM(ca) {
			return false, &BadFile{File: f, Err: &NoCertificate{}}
		}
	}
	cert, err := tls.LoadX509KeyPair(id.files.Certificate, id.files.Key)
	if err != nil {
		return false, &BadFile{File: id.files.Certificate, Err: err}
	}
	id.now.Store(&loaded{cert: cert, pool: pool, stamp: stamp})
	return true, nil
}

// Server returns a configuration for servers that demand a certificate of the deployment from their clients.
func (id *Identity) Server(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			l := id.now.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{l.cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    l.pool,
				NextProtos:   protocols,
			}, nil
		},
		NextProtos: protocols,
	}
}

// Public returns a configuration for servers that ask their clients for no certificate.
func (id *Identity) Public() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &id.now.Load().cert, nil },
	}
}

// Client returns a configuration for connections to servers of the deployment. The server is known by its authority and
// not by its address, since instances are replaced and addresses reused.
func (id *Identity) Client(protocols ...string) *tls.Config {
	l := id.now.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{l.cert},
		NextProtos:   protocols,
		// The usual check compares the host name; verify replaces it with a check of the chain alone.
		InsecureSkipVerify: true,
		VerifyConnection:   func(s tls.ConnectionState) error { return verify(l.pool, s) },
	}
}

func verify(pool *x509.CertPool, s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return &NoCertificate{}
	}
	o := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}
	for _, c := range s.PeerCertificates[1:] {
		o.Intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(o)
	return err
}

// Name is the name in the certificate that the other end of a connection showed, or empty.
func Name(s tls.ConnectionState) string {
	if len(s.PeerCertificates) == 0 {
		return ""
	}
	return s.PeerCertificates[0].Subject.CommonName
}

// Authority is a certificate authority for tests and demonstrations; a deployment brings its own.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns a new authority whose certificates hold for a day.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key: %w", err)
	}
	t := template("flamingorudder test authority")
	t.IsCA, t.BasicConstraintsValid, t.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("sign authority: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse authority: %w", err)
	}
	return &Authority{cert: cert, key: key}, nil
}

func template(name string) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, big.NewInt(1<<62))
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(24 * time.Hour),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

// Issue writes the authority, a certificate for a name that holds for the given addresses, and its key as PEM files.
func (a *Authority) Issue(f Files, name string, addrs ...netip.Addr) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("generate key: %w", err)
	}
	t := template(name)
	for _, ip := range addrs {
		t.IPAddresses = append(t.IPAddresses, ip.AsSlice())
	}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return fmt.Errorf("sign certificate of %s: %w", name, err)
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("encode key of %s: %w", name, err)
	}
	for _, out := range []struct {
		file, kind string
		der        []byte
	}{{f.Authority, "CERTIFICATE", a.cert.Raw}, {f.Certificate, "CERTIFICATE", der}, {f.Key, "PRIVATE KEY", secret}} {
		if err := os.WriteFile(out.file, pem.EncodeToMemory(&pem.Block{Type: out.kind, Bytes: out.der}), 0o600); err != nil {
			return &BadFile{File: out.file, Err: err}
		}
	}
	return nil
}
