package experiment

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const smallExperiment = `
name: small
about: "two policies <b>side by side</b>"
seeds: [1, 2]
policies:
  - {name: all, without: ""}
  - {name: "no <donors>", without: donors}
model:
  length: 4s
  routers: 2
  pool:
    upstreams: 4
    failure_domains: 2
    load_multiple: 2
    tells_load: true
    engine: {batch: 8, queue: 16, step: 4ms, first: 10ms, prefill_per_ms: 60, memory: 100000, move_setup: 4ms, move_per_ms: 100}
  callers: {per_second: 20, sessions: 20, prompt: 2000, new_tokens: 100, answer_tokens: 20, objective: 300ms, patience: 5s, attempts: 2, tries: 2, retry_ratio: 0.1, retry_slack: 10}
`

func read(t *testing.T, text string) *File {
	t.Helper()
	f, err := Read(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// The report must contain each policy and all plots, and escape the texts of the file.
func TestReportComparesThePolicies(t *testing.T) {
	f := read(t, smallExperiment)
	runs, err := RunAll(f)
	if err != nil {
		t.Fatal(err)
	}
	if len(runs) != 4 || runs[1].Policy != "all" || runs[1].Seed != 2 || runs[2].Policy != "no <donors>" {
		t.Fatalf("%d runs, want 4 in the order of the file", len(runs))
	}
	var page bytes.Buffer
	if err := WriteReport(&page, f, runs); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(page.String(), "<svg"); n != 6 {
		t.Errorf("%d plots, want 6", n)
	}
	for _, bad := range []string{"<b>", "<donors>"} {
		if strings.Contains(page.String(), bad) {
			t.Errorf("the report contains %s unescaped", bad)
		}
	}
	for _, s := range Summarise(f, runs) {
		if s.InTime.Mean <= 0.5 || s.InTime.Low > s.InTime.Mean || s.InTime.High < s.InTime.Mean || s.P95.Mean < s.P50.Mean {
			t.Errorf("%s: %+v", s.Policy, s)
		}
	}
}

// Scripts read the runs: each must be one line of JSON that includes its seconds.
func TestLinesAreJSON(t *testing.T) {
	f := read(t, smallExperiment)
	runs, err := RunAll(f)
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := WriteJSONLines(&b, runs); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	if len(lines) != len(runs) {
		t.Fatalf("%d lines for %d runs", len(lines), len(runs))
	}
	var r Run
	if err := json.Unmarshal([]byte(lines[3]), &r); err != nil {
		t.Fatal(err)
	}
	if r.Experiment != "small" || r.Seed != 2 || len(r.Seconds) != 5 || r.Sum.Arrived == 0 {
		t.Errorf("line 4 is %+v", r)
	}
}

// Misspelt names and invalid values must be rejected, with an error that names them.
func TestInvalidFilesAreRejected(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"length: 4s", "lenght: 4s", "lenght"},
		{"length: 4s", "length: 0s", "length"},
		{"without: donors", "without: donor", "donor"},
		{"name: all,", `name: "no <donors>",`, "policies[1]"},
		{"seeds: [1, 2]", "seeds: []", "seeds"},
		{"upstreams: 4", "upstreams: 0", "upstreams"},
		{"batch: 8", "batch: 0", "engine"},
		{"per_second: 20", "per_second: 0", "per_second"},
		{"  routers: 2", "  routers: 2\n  faults: [{kind: tired, at: 1s, for: 1s, share: 0.5}]", "tired"},
		{"  routers: 2", "  routers: 2\n  faults: [{kind: slow, at: 1s, for: 1s, share: 0.5}]", "times"},
		{"  routers: 2", "  routers: 2\n  surges: [{at: 1s, for: 1s, times: 1}]", "surges[0]"},
	} {
		text := strings.Replace(smallExperiment, c.old, c.new, 1)
		if text == smallExperiment {
			t.Fatalf("%q is not in the file", c.old)
		}
		if _, err := Read(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("with %q: %v, want an error that names %q", c.new, err, c.want)
		}
	}
}

// The experiments in deploy/experiments must be valid and runnable.
func TestShippedExperimentsRun(t *testing.T) {
	paths, err := filepath.Glob("../../deploy/experiments/*.yaml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("%d experiments, %v", len(paths), err)
	}
	for _, path := range paths {
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		f, err := Read(bytes.NewReader(b))
		if err != nil {
			t.Errorf("%s: %v", path, err)
			continue
		}
		f.Seeds, f.Policies, f.Model.Length = f.Seeds[:1], f.Policies[:1], 2*time.Second
		runs, err := RunAll(f)
		if err != nil || runs[0].Sum.Arrived == 0 {
			t.Errorf("%s: %+v, %v", path, runs, err)
		}
	}
}
