package ctl

import (
	"testing"

	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// Guards against text values that change their type when the output of get is
// applied. A version such as 1.10 or a model named null must be read back as
// text, not as a number or null; otherwise the upstreams would load another
// version.
func TestDocumentRoundTrip(t *testing.T) {
	for _, text := range []string{"1", "1.10", "0x1f", "1e5", "true", "null", "~", "2026-03-01", "a:b", "#x", "-", "*a", "&a", "!t", "[", "{", "'", `"`, "%x", "@x", "|", ">", "?", "no", "=", ".inf", ".nan", "-.Inf", "1_000", "0o7", "+1", "1:30"} {
		pool := profile.New(topo.KindPool).(*profile.Pool)
		pool.Name, pool.Model, pool.Version, pool.Adapters = "p", text, text, []string{text}
		spec, err := profile.Encode(pool)
		if err != nil {
			t.Fatal(err)
		}
		doc, err := document(topo.KindPool, "CHANGE", spec)
		if err != nil {
			t.Fatal(err)
		}
		docs, problems := profile.Read("f", []byte(doc))
		if len(problems) > 0 || len(docs) != 1 {
			t.Errorf("%q: %s\n%s", text, problems, doc)
			continue
		}
		if back, _ := profile.Encode(docs[0].Object); string(back) != string(spec) || docs[0].Change != "CHANGE" {
			t.Errorf("%q: came back as %s, want %s", text, back, spec)
		}
	}
}
