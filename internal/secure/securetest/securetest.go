// Package securetest issues certificates for tests, in place of an operator's
// certificate authority.
package securetest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/url"
	"time"
)

// validity is how long certificates are valid after they are issued.
const validity = time.Hour

// CA is a certificate authority.
type CA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	PEM  []byte // the authority's own certificate
}

// NewCA returns a new authority with a self-signed certificate.
func NewCA(name string) (*CA, error) {
	template := &x509.Certificate{
		Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign,
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	der, err := sign(template, template, key, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &CA{cert: cert, key: key, PEM: encodePEM("CERTIFICATE", der)}, nil
}

// Issue returns a new certificate, signed by ca, and its key, both PEM-encoded. The
// certificate names uri, or the loopback address 127.0.0.1 if uri is nil, and can be
// used by TLS clients and servers.
func (ca *CA) Issue(uri *url.URL) (cert, key []byte, err error) {
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: "parsley"},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	if uri != nil {
		template.URIs = []*url.URL{uri}
	} else {
		template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	}
	leafKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	der, err := sign(template, ca.cert, leafKey, ca.key)
	if err != nil {
		return nil, nil, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(leafKey)
	if err != nil {
		return nil, nil, err
	}
	return encodePEM("CERTIFICATE", der), encodePEM("PRIVATE KEY", keyDER), nil
}

// sign sets the serial number and the validity of template and returns the DER-encoded
// certificate, signed with the parent's key.
func sign(template, parent *x509.Certificate, subjectKey, signerKey *ecdsa.PrivateKey) ([]byte, error) {
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		return nil, err
	}
	template.SerialNumber = serial
	template.NotBefore = time.Now().Add(-time.Minute)
	template.NotAfter = time.Now().Add(validity)
	return x509.CreateCertificate(rand.Reader, template, parent, &subjectKey.PublicKey, signerKey)
}

// encodePEM encodes der as a PEM block.
func encodePEM(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
}
