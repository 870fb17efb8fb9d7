package secure

import (
	"crypto/x509"
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

// Role is the role of a process, as named in its certificate.
type Role string

// Roles of processes.
const (
	RoleRouter  Role = "router"
	RoleSidecar Role = "sidecar"
)

// Identity is the identity of a process, as named in a certificate of the fleet.
type Identity struct {
	Role Role
	VM   string // id of the VM in the platform's list of VMs
}

// spiffeScheme is the URI scheme of SPIFFE ids, the common form of workload identities.
const spiffeScheme = "spiffe"

// URI returns the identity as a SPIFFE id of a trust domain, such as
// spiffe://fleet.example/sidecar/vm-7. It must be the only URI in the subject
// alternative names of the process's certificate.
func (i Identity) URI(trustDomain string) *url.URL {
	return &url.URL{Scheme: spiffeScheme, Host: trustDomain, Path: "/" + string(i.Role) + "/" + i.VM}
}

// ErrIdentity means that a certificate names no valid identity, or another one than
// expected.
var ErrIdentity = errors.New("secure: not whom the certificate must name")

// identityOf returns the identity that a certificate names. Its errors are ErrIdentity.
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
