package benchtool

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const tinyExperiment = `
name: tiny
seeds: [1]
policies:
  - {name: all, without: ""}
model:
  length: 2s
  routers: 1
  pool: {upstreams: 2, failure_domains: 1, plain: {slots: 2, queue: 4, work: 20ms}}
  callers: {per_second: 20, objective: 100ms, patience: 2s, attempts: 1, tries: 1}
`

func run(args ...string) (ExitCode, string, string) {
	var out, errOut bytes.Buffer
	code := Run(context.Background(), args, &out, &errOut)
	return code, out.String(), errOut.String()
}

// Run must write both files of an experiment and a table that contains its policies.
func TestRunWritesLinesAndReport(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "tiny.yaml")
	if err := os.WriteFile(file, []byte(tinyExperiment), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, _, errOut := run("check", file); code != ExitOK {
		t.Fatalf("check: %d, %s", code, errOut)
	}
	code, out, errOut := run("run", file, "-o", dir)
	if code != ExitOK || !strings.Contains(out, "all") || !strings.Contains(out, "tiny.html") {
		t.Fatalf("run: %d, %s%s", code, out, errOut)
	}
	for _, name := range []string{"tiny.jsonl", "tiny.html"} {
		if info, err := os.Stat(filepath.Join(dir, name)); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Scripts distinguish a wrong command line from an invalid file by the exit code.
func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	if err := os.WriteFile(bad, []byte(strings.Replace(tinyExperiment, "seeds", "seed", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		want ExitCode
	}{
		{[]string{"--help"}, ExitOK},
		{nil, ExitUsage},
		{[]string{"play"}, ExitUsage},
		{[]string{"run"}, ExitUsage},
		{[]string{"check", bad}, ExitFailed},
		{[]string{"check", "missing.yaml"}, ExitFailed},
		{[]string{"load", "--url", "http://localhost", "--per-second", "0"}, ExitFailed},
	} {
		if code, _, errOut := run(c.args...); code != c.want || code != ExitOK && errOut == "" {
			t.Errorf("%v: exit code %d, want %d; %q", c.args, code, c.want, errOut)
		}
	}
}
