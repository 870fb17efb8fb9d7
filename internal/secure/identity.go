package secure

import (
	"crypto/x509"
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

// Role is what a certificate says its holder is.
type Role string

// Roles of processes.
const (
	RoleRouter  Role = "router"
	RoleSidecar Role = "sidecar"
)

// Identity is whom a certificate of the fleet names.
type Identity struct {
	Role Role
	VM   string // id of the VM in the platform's list
}

// spiffeScheme is that of SPIFFE ids, the usual form of workload identities.
const spiffeScheme = "spiffe"

// URI returns the identity as a SPIFFE id of a trust domain, such as
// spiffe://fleet.example/sidecar/vm-7. It is the one URI in the subject
// alternative names of the holder's certificate.
func (i Identity) URI(trustDomain string) *url.URL {
	return &url.URL{Scheme: spiffeScheme, Host: trustDomain, Path: "/" + string(i.Role) + "/" + i.VM}
}

// ErrIdentity is a certificate that does not say who its holder is, or says
// that it is someone else.
var ErrIdentity = errors.New("secure: not whom the certificate must name")

// identityOf reads the identity in a certificate.
func identityOf(cert *x509.Certificate, trustDomain string) (Identity, error) {
	if len(cert.URIs) != 1 {
		return Identity{}, errors.Wrapf(ErrIdentity, "%d URIs, want one", len(cert.URIs))
	}
	u := cert.URIs[0]
	role, vm, ok := strings.Cut(strings.TrimPrefix(u.Path, "/"), "/")
	id := Identity{Role: Role(role), VM: vm}
	if !ok || vm == "" || u.String() != id.URI(trustDomain).String() {
		return Identity{}, errors.Wrapf(ErrIdentity, "%s is no %s://%s/<role>/<vm>", u.Redacted(), spiffeScheme, trustDomain)
	}
	return id, nil
}
