// Command ablation runs simulated days of deployments on the operators' bench, with all
// mechanisms of package policy enabled and with each one disabled in turn. It prints a table
// of each mechanism's contribution: the mean over days and seeds of the bench's "worth"
// figure with all mechanisms enabled, minus the mean with that one disabled.
//
//	go run ./bench/ablation -bench BENCH -days trouble-1,scale-1 -seeds 0,1,2 SITE...
//
// It runs only committed code, in clones of the current checkout, and copies the journal
// entries of the runs into the current checkout. Seed 0 stands for the day's own seed.
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

// baseline is the name of the variant with all mechanisms enabled.
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
		slog.Error("ablation failed", "error", err)
		os.Exit(1)
	}
}

func run(sites []string) error {
	dir, err := os.MkdirTemp("", "ablation")
	if err != nil {
		return errors.WithStack(err)
	}
	defer os.RemoveAll(dir)
	means := make(map[string][]float64) // by variant; one element per site
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

// prepareCheckout clones the current checkout into the directory checkout and disables a
// mechanism there.
func prepareCheckout(checkout, disabled string) error {
	if out, err := exec.Command("git", "clone", "--quiet", ".", checkout).CombinedOutput(); err != nil {
		return errors.Wrapf(err, "clone checkout: %s", out)
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
		return errors.Errorf("%s does not contain %q: the mechanism cannot be disabled", path, command)
	}
	return errors.WithStack(os.WriteFile(path, []byte(changed), 0o600))
}

// worthPattern matches the line of the bench's output with the worth of a run.
var worthPattern = regexp.MustCompile(`(?m)^worth ([0-9.]+) = `)

// meanWorth runs all days with all seeds on a site and returns the mean worth. If runs
// fail, it also returns one of their errors.
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

// runDay runs one day on a site and returns its worth.
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
		return 0, errors.Errorf("day %s on site %s without %s: output contains no worth (%v): %s", day, filepath.Base(site), disabled, err, out)
	}
	return strconv.ParseFloat(string(match[1]), 64)
}

// printRow prints a variant's row of the table: the mean worth per site of the baseline,
// the loss of worth per site of others.
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
