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

// baseline is the name of the variant with all mechanisms on.
const baseline = "nothing"

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
	for _, disabled := range append([]string{baseline}, strings.Split(*mechanisms, ",")...) {
		checkout := filepath.Join(dir, disabled)
		if err := prepareCheckout(checkout, disabled); err != nil {
			return err
		}
		for _, site := range sites {
			mean, err := meanWorth(checkout, site, disabled)
			if err != nil {
				return err
			}
			means[disabled] = append(means[disabled], mean)
		}
		if err := os.CopyFS("journal", missingFS{os.DirFS(filepath.Join(checkout, "journal"))}); err != nil {
			return errors.WithStack(err)
		}
		printRow(disabled, means)
	}
	return nil
}

// prepareCheckout makes a copy of the checkout in which a mechanism is off.
func prepareCheckout(checkout, disabled string) error {
	if out, err := exec.Command("git", "clone", "--quiet", ".", checkout).CombinedOutput(); err != nil {
		return errors.Wrapf(err, "copy: %s", out)
	}
	if disabled == baseline {
		return nil
	}
	path := filepath.Join(checkout, "deploy", "system.toml")
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.WithStack(err)
	}
	const command = "parsleyd entry "
	changed := strings.Replace(string(text), command, command+"--without "+disabled+" ", 1)
	if changed == string(text) {
		return errors.Errorf("%s does not run %q: nothing would be switched off", path, command)
	}
	return errors.WithStack(os.WriteFile(path, []byte(changed), 0o600))
}

// worthPattern is how the bench tells the figure of a run.
var worthPattern = regexp.MustCompile(`(?m)^worth ([0-9.]+) = `)

// meanWorth returns the mean worth of a site's days.
func meanWorth(checkout, site, disabled string) (float64, error) {
	var (
		mu      sync.Mutex
		sum     float64
		n       int
		failure error
		wg      sync.WaitGroup
	)
	slots := make(chan struct{}, *jobs)
	for _, day := range strings.Split(*days, ",") {
		for _, seed := range strings.Split(*seeds, ",") {
			slots <- struct{}{}
			wg.Go(func() {
				defer func() { <-slots }()
				got, err := runDay(checkout, site, day, seed, disabled)
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
	wg.Wait()
	if n == 0 {
		return 0, failure
	}
	return sum / float64(n), failure
}

func runDay(checkout, site, day, seed, disabled string) (float64, error) {
	args := []string{"run", site, day, "--jobs", "1", "--why", "ablation: without " + disabled}
	if seed != "0" {
		args = append(args, "--seed", seed)
	}
	cmd := exec.Command(*bench, args...)
	cmd.Dir = checkout
	out, err := cmd.CombinedOutput()
	match := worthPattern.FindSubmatch(out)
	if match == nil {
		return 0, errors.Errorf("%s of %s without %s gave no figure (%v): %s", day, filepath.Base(site), disabled, err, out)
	}
	return strconv.ParseFloat(string(match[1]), 64)
}

// printRow writes a row of the table.
func printRow(disabled string, means map[string][]float64) {
	fmt.Printf("| %s |", disabled)
	for i, mean := range means[disabled] {
		if disabled == baseline {
			fmt.Printf(" %.4f |", mean)
		} else {
			fmt.Printf(" %+.4f |", means[baseline][i]-mean)
		}
	}
	fmt.Println()
}
