package secure

import (
	"crypto/tls"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Server is TLS towards callers, who bring API keys instead of certificates.
type Server struct {
	files *Files
	cert  atomic.Pointer[tls.Certificate]
}

// NewServer reads the files of a certificate and its key.
func NewServer(cert, key string) (*Server, error) {
	s := &Server{}
	var err error
	s.files, err = Follow([]string{cert, key}, s.take)
	return s, errors.Wrap(err, "secure: certificate for callers")
}

// Files returns the files to follow.
func (s *Server) Files() *Files {
	return s.files
}

func (s *Server) take(contents [][]byte) error {
	cert, err := tls.X509KeyPair(contents[0], contents[1])
	if err == nil {
		s.cert.Store(&cert)
	}
	return errors.WithStack(err)
}

// Config returns the configuration for an HTTP server.
func (s *Server) Config() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.cert.Load(), nil },
		NextProtos:     []string{"h2", "http/1.1"},
	}
}

// Client is TLS towards the platform.
type Client struct {
	files  *Files
	config atomic.Pointer[tls.Config]
}

// NewClient reads the authorities that sign the platform's certificate.
func NewClient(ca string) (*Client, error) {
	c := &Client{}
	var err error
	c.files, err = Follow([]string{ca}, c.take)
	return c, errors.Wrap(err, "secure: authorities of the platform")
}

// Files returns the files to follow.
func (c *Client) Files() *Files {
	return c.files
}

func (c *Client) take(contents [][]byte) error {
	roots, err := parseCAs(contents[0])
	if err != nil {
		return err
	}
	c.config.Store(&tls.Config{MinVersion: tls.VersionTLS12, RootCAs: roots})
	return nil
}

// Config returns the configuration for connections opened from now on.
func (c *Client) Config() *tls.Config {
	return c.config.Load()
}
