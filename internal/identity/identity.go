// Package identity loads the certificate of a process and the certificate authority of its deployment, for mutual TLS
// between daemons and with operators. It also loads the certificate that is presented to callers.
//
// The files are reloaded when they change, so that certificates can be renewed without a restart. If a renewed pair fails
// to load, for example because only one of its two files has been written, the old pair stays in use.
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

// Files holds the paths of the PEM files of an identity.
type Files struct {
	// Authority contains the certificates of the deployment's certificate authority, more than one while the authority
	// is being replaced. The path is empty for a certificate that is only presented to callers.
	Authority string
	// Certificate and Key contain the certificate and private key of the process.
	Certificate, Key string
}

// FileError is the error for a PEM file that cannot be read or parsed.
type FileError struct {
	File string
	Err  error
}

func (e *FileError) Error() string { return fmt.Sprintf("identity file %s: %v", e.File, e.Err) }
func (e *FileError) Unwrap() error { return e.Err }

// NoCertificateError is the error for a file without a PEM certificate, and for a server that presents no certificate.
type NoCertificateError struct{}

func (*NoCertificateError) Error() string { return "no PEM certificate found" }

// Identity is the TLS identity of a process. It is safe for concurrent use.
type Identity struct {
	files   Files
	current atomic.Pointer[credentials]
}

// credentials are the loaded contents of the files.
type credentials struct {
	cert tls.Certificate
	pool *x509.CertPool
	// fileState is the modification times and sizes of the files, to detect changes.
	fileState string
}

// Load reads the files of an identity. It fails with *FileError.
func Load(f Files) (*Identity, error) {
	id := &Identity{files: f}
	if _, err := id.reload(); err != nil {
		return nil, err
	}
	return id, nil
}

// Watch checks the files for changes every period and reloads them, until ctx is done.
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
			log.Info("certificate renewed", "expires", id.current.Load().cert.Leaf.NotAfter)
		}
	}
}

func (id *Identity) reload() (changed bool, err error) {
	fileState := ""
	for _, f := range []string{id.files.Authority, id.files.Certificate, id.files.Key} {
		if f == "" {
			continue
		}
		info, err := os.Stat(f)
		if err != nil {
			return false, &FileError{File: f, Err: err}
		}
		fileState += fmt.Sprintf("%d %d ", info.ModTime().UnixNano(), info.Size())
	}
	if old := id.current.Load(); old != nil && old.fileState == fileState {
		return false, nil
	}
	pool := x509.NewCertPool()
	if f := id.files.Authority; f != "" {
		ca, err := os.ReadFile(f)
		if err != nil {
			return false, &FileError{File: f, Err: err}
		}
		if !pool.AppendCertsFromPEM(ca) {
			return false, &FileError{File: f, Err: &NoCertificateError{}}
		}
	}
	cert, err := tls.LoadX509KeyPair(id.files.Certificate, id.files.Key)
	if err != nil {
		return false, &FileError{File: id.files.Certificate, Err: err}
	}
	id.current.Store(&credentials{cert: cert, pool: pool, fileState: fileState})
	return true, nil
}

// ServerConfig returns a TLS configuration for servers that require clients to present a certificate of the deployment.
func (id *Identity) ServerConfig(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			creds := id.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{creds.cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    creds.pool,
				NextProtos:   protocols,
			}, nil
		},
		NextProtos: protocols,
	}
}

// PublicServerConfig returns a TLS configuration for servers that request no client certificate.
func (id *Identity) PublicServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &id.current.Load().cert, nil },
	}
}

// ClientConfig returns a TLS configuration for connections to servers of the deployment. The server's certificate is verified
// against the authority and not against the server's address, because instances are replaced and addresses reused.
func (id *Identity) ClientConfig(protocols ...string) *tls.Config {
	creds := id.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{creds.cert},
		NextProtos:   protocols,
		// Disables the standard verification, which includes the host name; verifyChain checks the chain only.
		InsecureSkipVerify: true,
		VerifyConnection:   func(s tls.ConnectionState) error { return verifyChain(creds.pool, s) },
	}
}

func verifyChain(pool *x509.CertPool, s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return &NoCertificateError{}
	}
	o := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}
	for _, c := range s.PeerCertificates[1:] {
		o.Intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(o)
	return err
}

// PeerName returns the common name of the peer's certificate, or an empty string if the peer presented none.
func PeerName(s tls.ConnectionState) string {
	if len(s.PeerCertificates) == 0 {
		return ""
	}
	return s.PeerCertificates[0].Subject.CommonName
}

// Authority is a certificate authority for tests and demonstrations. A production deployment has its own.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns a new authority. Its certificates are valid for 24 hours.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key: %w", err)
	}
	t := certTemplate("flamingorudder test authority")
	t.IsCA, t.BasicConstraintsValid, t.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("sign certificate of the authority: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse certificate of the authority: %w", err)
	}
	return &Authority{cert: cert, key: key}, nil
}

func certTemplate(name string) *x509.Certificate {
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

// Issue creates a key and a certificate for a common name and IP addresses, and writes them and the authority's
// certificate to the files f.
func (a *Authority) Issue(f Files, name string, addrs ...netip.Addr) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("generate key: %w", err)
	}
	t := certTemplate(name)
	for _, ip := range addrs {
		t.IPAddresses = append(t.IPAddresses, ip.AsSlice())
	}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return fmt.Errorf("sign certificate of %s: %w", name, err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("encode key of %s: %w", name, err)
	}
	for _, out := range []struct {
		file, kind string
		der        []byte
	}{{f.Authority, "CERTIFICATE", a.cert.Raw}, {f.Certificate, "CERTIFICATE", der}, {f.Key, "PRIVATE KEY", keyDER}} {
		if err := os.WriteFile(out.file, pem.EncodeToMemory(&pem.Block{Type: out.kind, Bytes: out.der}), 0o600); err != nil {
			return &FileError{File: out.file, Err: err}
		}
	}
	return nil
}
