package secure

import (
	"bytes"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// maxVerified limits the cache of verified certificate chains: twice the number of
// peers at the target fleet size.
const maxVerified = 8192

// credentials holds the certificate, key and authorities of one version of the files,
// with the TLS sessions and verified chains that depend on them. A reload replaces all
// of it: a session that was started under other authorities, or with a certificate
// that has been replaced, is useless afterwards, since its resumption would be refused.
type credentials struct {
	cert     tls.Certificate
	roots    *x509.CertPool
	sessions tls.ClientSessionCache // with the sidecars that this process dials

	mu       sync.Mutex
	verified map[fingerprint]verifiedChain
}

// verifiedChain is the result of verifying a certificate chain.
type verifiedChain struct {
	peer     Identity
	notAfter time.Time // earliest expiry of its certificates
}

func parseCredentials(contents [][]byte) (*credentials, error) {
	cert, err := tls.X509KeyPair(contents[0], contents[1])
	if err != nil {
		return nil, errors.WithStack(err)
	}
	roots, err := parseCAs(contents[2])
	if err != nil {
		return nil, err
	}
	return &credentials{
		cert:     cert,
		roots:    roots,
		sessions: tls.NewLRUClientSessionCache(maxSessions),
		verified: make(map[fingerprint]verifiedChain),
	}, nil
}

// pemBegin is how a PEM block begins.
const pemBegin = "-----BEGIN "

// parseCAs parses a PEM bundle of authorities. Unlike x509.CertPool it rejects what
// it can't parse, so that a truncated bundle is not accepted as a smaller one.
func parseCAs(b []byte) (*x509.CertPool, error) {
	pool := x509.NewCertPool()
	n, begun := 0, bytes.Count(b, []byte(pemBegin)) // pem.Decode passes over damaged blocks
	for {
		var block *pem.Block
		block, b = pem.Decode(b)
		if block == nil {
			break
		}
		cert, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, errors.Wrap(err, "authority")
		}
		pool.AddCert(cert)
		n++
	}
	if n == 0 || len(bytes.TrimSpace(b)) > 0 {
		return nil, errors.Errorf("bundle must consist of PEM certificates, got %d and then %d other bytes", n, len(b))
	}
	if n != begun {
		return nil, errors.Errorf("bundle must consist of PEM certificates, but %d of %d blocks are damaged", begun-n, begun)
	}
	return pool, nil
}

// verify checks that a certificate chain, leaf first, leads to a trusted authority and
// allows a usage, and returns the identity that the leaf names. Results are cached
// until a certificate of the chain expires: a peer sends the same chain each time, and
// TLS proves that it holds the key.
func (c *credentials) verify(chain []*x509.Certificate, trustDomain string, usage x509.ExtKeyUsage) (Identity, error) {
	now := time.Now()
	key := fingerprintOfChain(chain, usage)
	c.mu.Lock()
	cached, ok := c.verified[key]
	c.mu.Unlock()
	if ok && now.Before(cached.notAfter) {
		return cached.peer, nil
	}
	verified, err := verifyChain(chain, c.roots, trustDomain, usage, now)
	if err != nil {
		return Identity{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.verified) >= maxVerified {
		clear(c.verified)
	}
	c.verified[key] = verified
	return verified.peer, nil
}

// ownIdentity returns the identity that peers read from this process's certificate.
func (c *credentials) ownIdentity(trustDomain string) (Identity, error) {
	chain, err := parseChain(c.cert)
	if err != nil {
		return Identity{}, err
	}
	v, err := verifyChain(chain, c.roots, trustDomain, x509.ExtKeyUsageAny, time.Now())
	return v.peer, err
}

func parseChain(c tls.Certificate) ([]*x509.Certificate, error) {
	chain := make([]*x509.Certificate, len(c.Certificate))
	for i, der := range c.Certificate {
		cert, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		chain[i] = cert
	}
	return chain, nil
}

func verifyChain(chain []*x509.Certificate, roots *x509.CertPool, trustDomain string, usage x509.ExtKeyUsage, now time.Time) (verifiedChain, error) {
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	opts := x509.VerifyOptions{Roots: roots, Intermediates: intermediates, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{usage}}
	chains, err := chain[0].Verify(opts)
	if err != nil {
		return verifiedChain{}, errors.WithStack(err)
	}
	notAfter := chain[0].NotAfter
	for _, c := range chains[0] {
		if c.NotAfter.Before(notAfter) {
			notAfter = c.NotAfter
		}
	}
	peer, err := identityOf(chain[0], trustDomain)
	return verifiedChain{peer: peer, notAfter: notAfter}, err
}

func fingerprintOfChain(chain []*x509.Certificate, usage x509.ExtKeyUsage) fingerprint {
	h := sha256.New()
	for _, c := range chain {
		h.Write(c.Raw)
	}
	h.Write([]byte{byte(usage)})
	return fingerprint(h.Sum(nil))
}
