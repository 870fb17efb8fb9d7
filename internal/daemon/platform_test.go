package daemon

import (
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/secure/securetest"
	"github.com/parsleyfront/parsleyfront/internal/settings"
	"github.com/parsleyfront/parsleyfront/internal/standin"
)

// The platform's certificate is signed by its own authority. A process with that authority
// in its settings must connect. One without it must not send requests for the
// configuration, since the server could be an impostor.
func TestPlatformOverTLS(t *testing.T) {
	ca, err := securetest.NewCA("platform")
	if err != nil {
		t.Fatal(err)
	}
	cert, key, err := ca.Issue(nil)
	if err != nil {
		t.Fatal(err)
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	standin.NewVMList().Register(mux)
	server := httptest.NewUnstartedServer(mux)
	server.TLS = &tls.Config{Certificates: []tls.Certificate{pair}}
	server.StartTLS()
	defer server.Close()
	path := filepath.Join(t.TempDir(), "ca.pem")
	if err := os.WriteFile(path, ca.PEM, 0o600); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		ca     string
		wantOK bool
	}{"with its authority": {path, true}, "without": {"", false}} {
		p, err := platformClient(t.Context(), settings.Platform{URL: settings.URL(server.URL), CA: c.ca}, time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := p.VMs(t.Context(), ""); (err == nil) != c.wantOK {
			t.Errorf("%s: %v", name, err)
		}
	}
}
