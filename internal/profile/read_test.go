package profile

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// A file with several mistakes must be rejected with all of them and their
// positions. If only the first one were reported, the operator would have to correct
// and submit the file once for each. If a misspelt field were ignored, the default of
// the intended field would apply unnoticed.
func TestReadReportsEveryMistakeWithPosition(t *testing.T) {
	text, err := os.ReadFile("testdata/mistakes.yaml")
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/mistakes.want")
	if err != nil {
		t.Fatal(err)
	}
	docs, problems := Read("mistakes.yaml", text)
	if got := problems.Error() + "\n"; got != string(want) {
		t.Errorf("problems:\n%s\nwant:\n%s", got, want)
	}
	if len(docs) != 0 {
		t.Errorf("%d of the documents were accepted", len(docs))
	}
}

// Each object is valid by itself, but an organisation names a profile that does not
// exist, a copied file keeps the other organisation's key, and a profile refers to a
// pool that loads another model. If these were accepted, callers would get errors, and
// calls with the shared key would be billed to the other organisation.
func TestReferences(t *testing.T) {
	const text = `{kind: pool, name: notes, model: notes-7b, version: "1"}
---
{kind: profile, name: chat, pool: notes, model: other, deadline: 1s}
---
{kind: profile, name: tags, pool: nots, model: notes-7b, deadline: 1s}
---
{kind: organisation, name: a, profiles: [chats], keys: [{id: k, sha256: HASH}]}
---
{kind: organisation, name: b, profiles: [chat], keys: [{id: k, sha256: HASH}]}
---
{kind: organisation, name: b, profiles: [chat]}
`
	docs, problems := Read("f", []byte(strings.ReplaceAll(text, "HASH", HashKey("k"))))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	want := []string{
		`f:11:28: organisation/b: name: is there twice, first in f line 9: remove one or rename it`,
		`f:3:49: profile/chat: model: pool "notes" does not load it: write "notes-7b" or one of its adapters`,
		`f:5:35: profile/tags: pool: pool "nots" does not exist: write notes`,
		`f:7:42: organisation/a: profiles[0]: profile "chats" does not exist: write chat`,
		`f:9:72: organisation/b: keys[0].sha256: is that of organisation/a too: make a key of its own with parsleyctl key`,
	}
	if got := CheckReferences(docs, nil).Error(); got != strings.Join(want, "\n") {
		t.Errorf("got:\n%s\nwant:\n%s", got, strings.Join(want, "\n"))
	}
	stored := Set{docs[1].Object.Ref(): docs[1].Object}
	if got := CheckReferences(docs[:1], stored); len(got) != 1 || got[0].Ref != docs[1].Object.Ref() {
		t.Errorf("a pool that no longer loads the model of a stored profile: problems %v", got)
	}
}

func drawProfile(t *rapid.T) *Profile {
	milliseconds := func(least, most int, name string) Duration {
		return Duration(time.Duration(rapid.IntRange(least, most).Draw(t, name)) * time.Millisecond)
	}
	p := New(topo.KindProfile).(*Profile)
	p.Name, p.Pool, p.Service = "p", "pool", "service"
	p.Deadline = milliseconds(10, 86_400_000, "deadline")
	p.FirstToken = min(p.Deadline, milliseconds(0, 5000, "first_token"))
	p.Priority = rapid.IntRange(-MaxPriority, MaxPriority).Draw(t, "priority")
	p.RetryBudget = rapid.SampledFrom([]float64{0, 0.1, 1}).Draw(t, "retry_budget")
	p.Idempotent = rapid.Bool().Draw(t, "idempotent")
	p.MaxBody = Size(rapid.Int64Range(1, int64(MaxMaxBody)).Draw(t, "max_body"))
	return p
}

// A profile must be the same after it has been stored and decoded by a router, or
// read from a file, also where a field is set to zero and its default is not zero.
func TestProfileRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawProfile(t)
		value, err := Encode(p)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Decode(p.Ref(), value)
		if err != nil || !reflect.DeepEqual(decoded, Object(p)) {
			t.Fatalf("decoded %+v, %v, want %+v", decoded, err, p)
		}
		docs, problems := Read("f", append([]byte("kind: profile\n---\n"), withKind(value)...))
		if len(docs) != 1 || !reflect.DeepEqual(docs[0].Object, Object(p)) {
			t.Fatalf("read %+v, %v, want %+v", docs, problems, p)
		}
	})
}

// withKind turns a stored profile into a document of a file. JSON is valid YAML.
func withKind(value json.RawMessage) []byte {
	return append([]byte(`{"kind":"profile",`), value[1:]...)
}

// Operators start from the example files, so these must be valid, complete and
// usable with the documented keys.
func TestExamples(t *testing.T) {
	for name, wantProfiles := range map[string]string{
		"atlas":  "overnight-breakdown halftime-notes clip-tags login-check clip-fetch",
		"thamel": "room-search booking-chat check-in key-code payment-hold",
	} {
		dir := filepath.Join("../../examples", name)
		docs, problems, err := Load(dir)
		if err != nil || len(problems) > 0 {
			t.Fatalf("%s: %v\n%s", name, err, problems)
		}
		if p := CheckReferences(docs, nil); len(p) > 0 {
			t.Errorf("%s:\n%s", name, p)
		}
		var profiles []string
		pools := make(map[string]bool)
		for _, d := range docs {
			switch o := d.Object.(type) {
			case *Profile:
				profiles = append(profiles, o.Name)
			case *Pool:
				pools[o.Name] = true
			case *Organisation:
				if o.Keys[0].SHA256 != HashKey("example-"+o.Name) {
					t.Errorf("%s: the key of organisation %s is not the documented one", name, o.Name)
				}
			}
		}
		if got := strings.Join(profiles, " "); got != wantProfiles {
			t.Errorf("%s: profiles %s, want %s", name, got, wantProfiles)
		}
		checkVMs(t, filepath.Join(dir, "vms.json"), pools)
	}
}

// checkVMs checks that a list of VMs has upstreams in each pool and three failure domains.
func checkVMs(t *testing.T, file string, pools map[string]bool) {
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var vms topo.VMs
	if err := json.Unmarshal(text, &vms); err != nil {
		t.Fatal(err)
	}
	domains, filled := make(map[string]bool), make(map[string]bool)
	for _, vm := range vms.Entries {
		domains[vm.FailureDomain] = true
		if vm.Role == topo.RoleUpstream {
			filled[vm.Pool] = true
		}
	}
	if len(domains) != 3 || !reflect.DeepEqual(filled, pools) {
		t.Errorf("%s: failure domains %v, pools %v, want 3 and %v", file, domains, filled, pools)
	}
}

// FuzzRead reads arbitrary files. Every document that is accepted must be valid and
// must be the same after it has been stored and decoded.
func FuzzRead(f *testing.F) {
	for _, glob := range []string{"testdata/*.yaml", "../../examples/*/*.yaml"} {
		files, _ := filepath.Glob(glob)
		for _, name := range files {
			text, err := os.ReadFile(name)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(text)
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		docs, _ := Read("f", text)
		for _, d := range docs {
			value, err := Encode(d.Object)
			if err != nil {
				t.Fatal(err)
			}
			again, err := Decode(d.Object.Ref(), value)
			if err != nil {
				t.Fatalf("accepted from a file, but rejected from the store: %s", err)
			}
			second, _ := Encode(again)
			if string(second) != string(value) {
				t.Fatalf("stored %s, read back %s", value, second)
			}
		}
	})
}
