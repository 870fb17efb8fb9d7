package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func quarantinedServer(t *testing.T, cases string) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /quarantined", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(cases)) })
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// Guards against a list that loses the name of a part because the router with most crashes does not know it, or a
// router that does not answer being taken for one that knows nothing.
func TestCrashesMergesWhatRoutersKnow(t *testing.T) {
	first := quarantinedServer(t, `[{"fingerprint": "8f", "part": "bad0", "state": "trial", "crashes": 3, "upstreams": ["c"]}]`)
	second := quarantinedServer(t, `[{"fingerprint": "02", "state": "suspect", "crashes": 2}, {"fingerprint": "8f", "state": "convicted", "crashes": 4, "upstreams": ["a", "b"]}]`)
	var out, errOut bytes.Buffer
	if code := Run(context.Background(), []string{"crashes", "-o", "json", first, second}, &out, &errOut); code != ExitOK {
		t.Fatalf("code %d: %s", code, errOut.String())
	}
	var list crashList
	if err := json.Unmarshal(out.Bytes(), &list); err != nil {
		t.Fatal(err)
	}
	if len(list.Cases) != 2 {
		t.Fatalf("%s", out.String())
	}
	if c := list.Cases[0]; c.Part != "bad0" || c.State != "convicted" || c.Crashes != 4 || strings.Join(c.Upstreams, " ") != "a b c" || len(c.Routers) != 2 {
		t.Errorf("%+v", c)
	}

	out.Reset()
	if code := Run(context.Background(), []string{"crashes", first, "127.0.0.1:1"}, &out, &errOut); code != ExitFailed || !strings.Contains(out.String(), "127.0.0.1:1") || !strings.Contains(out.String(), "bad0") {
		t.Errorf("code %d, %s", code, out.String())
	}
}
