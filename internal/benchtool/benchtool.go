// Package benchtool implements parsleybench, the command that compares policies on a modelled pool
// (package experiment), plays what control costs fleets of several sizes (package fleetmodel), and
// sends load to a running fleet (package openloop).
//
// Results are written to standard output and to the files that it lists there; errors are written
// to standard error.
package benchtool

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/experiment"
	"github.com/parsleyfront/parsleyfront/internal/fleetmodel"
	"github.com/parsleyfront/parsleyfront/internal/openloop"
)

const program = "parsleybench"

// ExitCode is the exit code of the command.
type ExitCode int

// Exit codes.
const (
	ExitOK     ExitCode = 0
	ExitFailed ExitCode = 1
	ExitUsage  ExitCode = 2
)

// Options holds the commands and their options.
type Options struct {
	Check CheckCommand     `command:"check" description:"Say what is wrong with an experiment's file"`
	Run   RunCommand       `command:"run" description:"Play an experiment and compare its policies"`
	Fleet FleetCommand     `command:"fleet" description:"Play what control costs fleets of several sizes"`
	Load  openloop.Options `command:"load" description:"Play load against a fleet that runs"`
}

// CheckCommand holds the arguments of the check command.
type CheckCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// RunCommand holds the options and arguments of the run command.
type RunCommand struct {
	Out  string `short:"o" long:"out" value-name:"DIR" default:"." description:"Folder for NAME.jsonl and NAME.html"`
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// FleetCommand holds the arguments of the fleet command.
type FleetCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Run executes one command line, without the name of the program, and returns its exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) ExitCode {
	var o Options
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &o); err != nil {
		fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	_, err := parser.ParseArgs(args)
	if flags.WroteHelp(err) {
		fmt.Fprintln(out, err)
		return ExitOK
	}
	if err != nil {
		fmt.Fprintf(errOut, "%s: %s\nadvice: see %s --help\n", program, err, program)
		return ExitUsage
	}
	if err := o.dispatch(ctx, parser.Active.Name, out); err != nil {
		fmt.Fprintf(errOut, "%s: %s\n", program, err)
		return ExitFailed
	}
	return ExitOK
}

func (o *Options) dispatch(ctx context.Context, command string, out io.Writer) error {
	switch command {
	case "check":
		_, err := readExperiment(o.Check.Args.File)
		return err
	case "run":
		return o.Run.run(out)
	case "fleet":
		return o.Fleet.run(out)
	case "load":
		return openloop.Run(ctx, o.Load, out)
	}
	return errors.Errorf("no command %q", command)
}

func readExperiment(path string) (*experiment.File, error) {
	r, err := os.Open(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer r.Close() // an error does not matter: the file was only read
	f, err := experiment.Read(r)
	return f, errors.Wrap(err, path)
}

// run plays the fleets of a file and writes a table to out.
func (c *FleetCommand) run(out io.Writer) error {
	r, err := os.Open(c.Args.File)
	if err != nil {
		return errors.WithStack(err)
	}
	defer r.Close() // an error does not matter: the file was only read
	fleets, err := fleetmodel.Read(r)
	if err != nil {
		return errors.Wrap(err, c.Args.File)
	}
	return fleetmodel.Write(out, fleetmodel.Play(fleets))
}

// run runs an experiment and writes its runs and its report to files and a table to out.
func (c *RunCommand) run(out io.Writer) error {
	f, err := readExperiment(c.Args.File)
	if err != nil {
		return err
	}
	runs, err := experiment.RunAll(f)
	if err != nil {
		return err
	}
	linesPath := filepath.Join(c.Out, f.Name+".jsonl")
	if err := writeFile(linesPath, func(w io.Writer) error { return experiment.WriteJSONLines(w, runs) }); err != nil {
		return err
	}
	pagePath := filepath.Join(c.Out, f.Name+".html")
	if err := writeFile(pagePath, func(w io.Writer) error { return experiment.WriteReport(w, f, runs) }); err != nil {
		return err
	}
	return writeTable(out, experiment.Summarise(f, runs), linesPath, pagePath)
}

func writeFile(path string, content func(io.Writer) error) error {
	w, err := os.Create(path)
	if err != nil {
		return errors.WithStack(err)
	}
	if err := content(w); err != nil {
		_ = w.Close() // the error of the write matters more
		return err
	}
	return errors.WithStack(w.Close())
}

func writeTable(out io.Writer, summaries []experiment.Summary, files ...string) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "policy\tin time %\tlate %\trefused %\tfailed %\tturned away %\tfound %\tread M\tmoved M\tskew\tp50 ms\tp95 ms\tp99 ms\t")
	for _, s := range summaries {
		fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t%.0f\t\n", s.Policy,
			100*s.InTime.Mean, 100*s.Late.Mean, 100*s.Refused.Mean, 100*s.Failed.Mean, 100*s.Rejections.Mean, 100*s.Reuse.Mean,
			s.PrefilledTokens.Mean/million, s.TransferredTokens.Mean/million, s.Skew.Mean, s.P50.Mean, s.P95.Mean, s.P99.Mean)
	}
	if err := w.Flush(); err != nil {
		return errors.WithStack(err)
	}
	for _, f := range files {
		fmt.Fprintln(out, f)
	}
	return nil
}

const million = 1e6
