package secure

import (
	"crypto/tls"
	"sync/atomic"

	"github.com/pkg/errors"
)

// CallerTLS provides TLS for callers, who authenticate with API keys instead of
// certificates.
type CallerTLS struct {
	watcher *FileWatcher
	cert    atomic.Pointer[tls.Certificate]
}

// NewCallerTLS loads a certificate and its key from files.
func NewCallerTLS(cert, key string) (*CallerTLS, error) {
	s := &CallerTLS{}
	var err error
	s.watcher, err = WatchFiles([]string{cert, key}, s.load)
	return s, errors.Wrap(err, "secure: certificate for callers")
}

// Watcher returns the watcher of the files. The caller must run it, otherwise changes
// are not loaded.
func (s *CallerTLS) Watcher() *FileWatcher {
	return s.watcher
}

func (s *CallerTLS) load(contents [][]byte) error {
	cert, err := tls.X509KeyPair(contents[0], contents[1])
	if err == nil {
		s.cert.Store(&cert)
	}
	return errors.WithStack(err)
}

// Config returns the TLS configuration for a server of HTTP/1.1.
func (s *CallerTLS) Config() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.cert.Load(), nil },
		NextProtos:     []string{"http/1.1"},
	}
}

// PlatformTLS provides TLS for connections to the platform.
type PlatformTLS struct {
	watcher *FileWatcher
	config  atomic.Pointer[tls.Config]
}

// NewPlatformTLS loads the authorities that sign the platform's certificate from a file.
func NewPlatformTLS(ca string) (*PlatformTLS, error) {
	c := &PlatformTLS{}
	var err error
	c.watcher, err = WatchFiles([]string{ca}, c.load)
	return c, errors.Wrap(err, "secure: authorities of the platform")
}

// Watcher returns the watcher of the files. The caller must run it, otherwise changes
// are not loaded.
func (c *PlatformTLS) Watcher() *FileWatcher {
	return c.watcher
}

func (c *PlatformTLS) load(contents [][]byte) error {
	roots, err := parseCAs(contents[0])
	if err != nil {
		return err
	}
	c.config.Store(&tls.Config{MinVersion: tls.VersionTLS12, RootCAs: roots})
	return nil
}

// Config returns the current TLS configuration, for new connections.
func (c *PlatformTLS) Config() *tls.Config {
	return c.config.Load()
}
