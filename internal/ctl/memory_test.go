package ctl

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against an operator who is not told whose requests take a router's memory, or that a router has not answered.
func TestMemoryNamesWhoHoldsItAndWhoDoesNotAnswer(t *testing.T) {
	router := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/memory" {
			t.Errorf("path %s", r.URL.Path)
		}
		_, _ = w.Write([]byte(`{"limit_bytes": 41943040, "held_bytes": 21000000, "connections": {"max": 1378, "open": {"silent": 900, "work": 7}},
			"parties": [{"organisation": "club", "held_bytes": 20971520}, {"organisation": "", "held_bytes": 28480}]}`))
	}))
	defer router.Close()
	earlier := httptest.NewServer(http.NotFoundHandler())
	defer earlier.Close()
	at, gone := strings.TrimPrefix(router.URL, "http://"), strings.TrimPrefix(earlier.URL, "http://")
	var out, errOut bytes.Buffer
	code := Run(context.Background(), []string{"memory", at, gone}, &out, &errOut)
	if code != ExitFailed || !strings.Contains(errOut.String(), "1 of 2 routers did not answer") {
		t.Errorf("code %d: %s", code, errOut.String())
	}
	text := strings.Join(strings.Fields(out.String()), " ")
	for _, want := range []string{at + " (all) 20507 40960", at + " club 20480", at + " (not known) 27", at + " silent 900 1378", at + " work 7 1378", gone + " no answer"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in\n%s", want, out.String())
		}
	}
}
