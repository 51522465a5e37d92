package caller

import (
	"context"
	"crypto/tls"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"flamingorudder.example/internal/timer"
)

// Certificate is the server's certificate, read from two files and again when they change.
type Certificate struct {
	cert, key string
	// seen is the state of the files that were read last; only Watch uses it after the start.
	seen    [2]fileState
	current atomic.Pointer[tls.Certificate]
}

type fileState struct {
	at   time.Time
	size int64
}

// LoadCertificate reads a certificate and its key, both in PEM.
func LoadCertificate(cert, key string) (*Certificate, error) {
	c := &Certificate{cert: cert, key: key}
	_, err := c.reload()
	return c, err
}

// Config returns the settings of a TLS server that uses the certificate as it is at each handshake.
func (c *Certificate) Config() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.current.Load(), nil },
	}
}

// reloadPeriod is how often the files are looked at.
const reloadPeriod = 5 * time.Second

// Watch reads the files again when they change, until ctx ends. Files that cannot be used leave the certificate as it
// is; a pair that was caught between the two writes is read again in the next period.
func (c *Certificate) Watch(ctx context.Context, log hclog.Logger) error {
	tick, stop := timer.Every(reloadPeriod, 0.2)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick:
		}
		switch changed, err := c.reload(); {
		case err != nil:
			log.Error("certificate could not be read again; the old one stays in use", "error", err)
		case changed:
			log.Info("certificate read again", "file", c.cert)
		}
	}
}

func (c *Certificate) reload() (changed bool, err error) {
	var now [2]fileState
	for i, name := range []string{c.cert, c.key} {
		st, err := os.Stat(name)
		if err != nil {
			return false, fmt.Errorf("certificate: %w", err)
		}
		now[i] = fileState{st.ModTime(), st.Size()}
	}
	if now == c.seen {
		return false, nil
	}
	pair, err := tls.LoadX509KeyPair(c.cert, c.key)
	if err != nil {
		return false, fmt.Errorf("certificate %s with key %s: %w", c.cert, c.key, err)
	}
	c.seen = now
	c.current.Store(&pair)
	return true, nil
}
