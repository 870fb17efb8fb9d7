// Command ablation plays days of deployments on the operators' bench, with all mechanisms
// of package policy and with each switched off in turn, and writes a table of what each
// is worth: the mean over days and seeds of the figure that the bench calls worth, with
// all on less with that one off.
//
//	go run ./bench/ablation -bench BENCH -days trouble-1,scale-1 -seeds 0,1,2 SITE...
//
// It plays committed code only, in copies of the checkout, and puts the journal entries
// of the runs into this one. Seed 0 is the day's own.
package main

import (
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/policy"
)

// nothing is the name of the variant with all mechanisms on.
const nothing = "nothing"

var (
	bench      = flag.String("bench", "", "path of the bench's program")
	days       = flag.String("days", "quiet-1,trouble-1,scale-1,trouble-2,scale-2,trouble-3", "days to play")
	seeds      = flag.String("seeds", "0,1,2", "seeds to play each with")
	mechanisms = flag.String("mechanisms", strings.Join(policy.Names(), ","), "mechanisms to switch off in turn")
	jobs       = flag.Int("jobs", 4, "runs at a time")
)

func main() {
	flag.Parse()
	if err := run(flag.Args()); err != nil {
		slog.Error("the ablation failed", "error", err)
		os.Exit(1)
	}
}

func run(sites []string) error {
	dir, err := os.MkdirTemp("", "ablation")
	if err != nil {
		return errors.WithStack(err)
	}
	defer os.RemoveAll(dir)
	means := make(map[string][]float64) // by variant, a site each
	for _, off := range append([]string{nothing}, strings.Split(*mechanisms, ",")...) {
		checkout := filepath.Join(dir, off)
		if err := prepare(checkout, off); err != nil {
			return err
		}
		for _, site := range sites {
			mean, err := play(checkout, site, off)
			if err != nil {
				return err
			}
			means[off] = append(means[off], mean)
		}
		if err := os.CopyFS("journal", newer{os.DirFS(filepath.Join(checkout, "journal"))}); err != nil {
			return errors.WithStack(err)
		}
		report(off, means)
	}
	return nil
}

// prepare makes a copy of the checkout in which a mechanism is off.
func prepare(checkout, off string) error {
	if out, err := exec.Command("git", "clone", "--quiet", ".", checkout).CombinedOutput(); err != nil {
		return errors.Wrapf(err, "copy: %s", out)
	}
	if off == nothing {
		return nil
	}
	path := filepath.Join(checkout, "deploy", "system.toml")
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.WithStack(err)
	}
	const role = "parsleyd entry "
	changed := strings.Replace(string(text), role, role+"--without "+off+" ", 1)
	if changed == string(text) {
		return errors.Errorf("%s does not run %q: nothing would be switched off", path, role)
	}
	return errors.WithStack(os.WriteFile(path, []byte(changed), 0o600))
}

// worth is how the bench tells the figure of a run.
var worth = regexp.MustCompile(`(?m)^worth ([0-9.]+) = `)

// play returns the mean worth of a site's days.
func play(checkout, site, off string) (float64, error) {
	var (
		mu      sync.Mutex
		sum     float64
		n       int
		failure error
		open    sync.WaitGroup
	)
	slots := make(chan struct{}, *jobs)
	for _, day := range strings.Split(*days, ",") {
		for _, seed := range strings.Split(*seeds, ",") {
			slots <- struct{}{}
			open.Go(func() {
				defer func() { <-slots }()
				got, err := playDay(checkout, site, day, seed, off)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					failure = err
					return
				}
				sum, n = sum+got, n+1
			})
		}
	}
	open.Wait()
	if n == 0 {
		return 0, failure
	}
	return sum / float64(n), failure
}

func playDay(checkout, site, day, seed, off string) (float64, error) {
	args := []string{"run", site, day, "--jobs", "1", "--why", "ablation: without " + off}
	if seed != "0" {
		args = append(args, "--seed", seed)
	}
	cmd := exec.Command(*bench, args...)
	cmd.Dir = checkout
	out, err := cmd.CombinedOutput()
	found := worth.FindSubmatch(out)
	if found == nil {
		return 0, errors.Errorf("%s of %s without %s gave no figure (%v): %s", day, filepath.Base(site), off, err, out)
	}
	return strconv.ParseFloat(string(found[1]), 64)
}

// report writes a row of the table.
func report(off string, means map[string][]float64) {
	fmt.Printf("| %s |", off)
	for i, mean := range means[off] {
		if off == nothing {
			fmt.Printf(" %.4f |", mean)
		} else {
			fmt.Printf(" %+.4f |", means[nothing][i]-mean)
		}
	}
	fmt.Println()
}
