package test

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/parsleyfront/parsleyfront/internal/secure"
	"github.com/parsleyfront/parsleyfront/internal/secure/securetest"
)

const trustDomain = "fleet.test"

// reloadInterval is how often the processes look at their files.
const reloadInterval = "50ms"

// trust is the files by which the processes of a fleet know each other.
type trust struct {
	dir     string
	ca      *securetest.CA
	bundle  []byte // of authorities
	secrets string // file of the token secrets
}

func newTrust() *trust {
	GinkgoHelper()
	t := &trust{dir: GinkgoT().TempDir()}
	t.ca = newAuthority()
	t.bundle = t.ca.PEM
	t.secrets = filepath.Join(t.dir, "secrets")
	replace(t.secrets, []byte(tokenSecret+"\n"))
	return t
}

func newAuthority() *securetest.CA {
	GinkgoHelper()
	ca, err := securetest.NewCA("fleet")
	Expect(err).NotTo(HaveOccurred())
	return ca
}

// replace writes a file in one step, as a careful deploy tool does.
func replace(path string, b []byte) {
	GinkgoHelper()
	Expect(os.WriteFile(path+".new", b, 0o600)).To(Succeed())
	Expect(os.Rename(path+".new", path)).To(Succeed())
}

// issue writes the certificate, key and authorities of a process.
func (t *trust) issue(id secure.Identity) secure.Paths {
	GinkgoHelper()
	cert, key, err := t.ca.Issue(id.URI(trustDomain))
	Expect(err).NotTo(HaveOccurred())
	base := filepath.Join(t.dir, string(id.Role)+"-"+id.VM)
	p := secure.Paths{Cert: base + ".crt", Key: base + ".key", CA: base + ".ca"}
	replace(p.Cert, cert)
	replace(p.Key, key)
	replace(p.CA, t.bundle)
	return p
}

// flags returns the settings of a process that is to be id.
func (t *trust) flags(id secure.Identity) []string {
	GinkgoHelper()
	p := t.issue(id)
	return []string{
		"--vm", id.VM, "--trust-domain", trustDomain, "--reload-interval", reloadInterval,
		"--fleet-cert", p.Cert, "--fleet-key", p.Key, "--fleet-ca", p.CA,
	}
}
