// Package ctl implements parsleyctl, the operators' command. It writes
// configuration to the platform's store and queries routers for their state.
//
// Results are written to standard output in a form that scripts can rely on;
// errors and advice are written to standard error. The exit code states the
// outcome of a change.
package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/parsleyfront/parsleyfront/internal/config/change"
	"github.com/parsleyfront/parsleyfront/internal/secure"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

const program = "parsleyctl"

// app is the state of one run of the command.
type app struct {
	options Options
	out     io.Writer
	errOut  io.Writer
	http    *topo.HTTP
	editor  *change.Editor
	token   string // token of the routers' admin API
}

// handler is the implementation of a command.
type handler struct {
	name          string
	run           func(*app, context.Context) error
	needsPlatform bool // requires the platform's URL
}

var handlers = []handler{
	{"validate", (*app).validate, false},
	{"diff", (*app).diff, true},
	{"apply", (*app).apply, true},
	{"get", (*app).get, true},
	{"list", (*app).list, true},
	{"history", (*app).history, true},
	{"rollback", (*app).rollback, true},
	{"delete", (*app).delete, true},
	{"status", (*app).status, false},
	{"budget", (*app).budget, false},
	{"crashes", (*app).crashes, false},
	{"shares", (*app).shares, false},
	{"memory", (*app).memory, false},
	{"drain", (*app).drain, true},
	{"undrain", (*app).undrain, true},
	{"explain", (*app).explain, false},
	{"key new", (*app).keyNew, false},
	{"key add", (*app).keyAdd, true},
	{"key remove", (*app).keyRemove, true},
	{"completion", (*app).completion, false},
}

// Run executes one command line and returns its exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) Code {
	a := &app{out: out, errOut: errOut}
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &a.options); err != nil {
		fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	rest, err := parser.ParseArgs(args)
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("unexpected argument %q", rest[0])
	}
	if flags.WroteHelp(err) {
		fmt.Fprintln(out, err)
		return ExitOK
	}
	if err != nil {
		fmt.Fprintf(errOut, "%s: %s\nadvice: see %s --help\n", program, err, program)
		return ExitUsage
	}
	if err := a.dispatch(ctx, commandName(parser.Command)); err != nil {
		code, advice := classify(err)
		a.printError(err, advice)
		return code
	}
	return ExitOK
}

// commandName returns the name of the active command, followed by that of its
// subcommand.
func commandName(c *flags.Command) string {
	name := c.Active.Name
	if sub := c.Active.Active; sub != nil {
		name += " " + sub.Name
	}
	return name
}

func (a *app) dispatch(ctx context.Context, name string) error {
	for _, h := range handlers {
		if h.name != name {
			continue
		}
		if err := a.configureClients(); err != nil {
			return err
		}
		if h.needsPlatform && a.http == nil {
			return newExitError(ExitUsage, "set --platform or PARSLEYCTL_PLATFORM", "%s needs the platform's URL", name)
		}
		return h.run(a, ctx)
	}
	return newExitError(ExitUsage, "", "no command %q", name)
}

// configureClients sets up the clients for the platform and for the routers'
// admin API.
func (a *app) configureClients() error {
	if file := a.options.AdminToken; file != "" {
		text, err := os.ReadFile(file)
		if err != nil {
			return newExitError(ExitUsage, "", "--admin-token-file: %s", err)
		}
		a.token = strings.TrimSpace(string(text))
	}
	if a.options.Platform == "" {
		return nil
	}
	a.http = topo.NewHTTP(a.options.Platform)
	if file := a.options.PlatformCA; file != "" {
		client, err := secure.NewPlatformTLS(file)
		if err != nil {
			return newExitError(ExitUsage, "", "--platform-ca: %s", err)
		}
		a.http.WithTLS(client.Config)
	}
	a.editor = change.NewEditor(retryingStore{a.http})
	return nil
}

func (a *app) printError(err error, advice string) {
	fmt.Fprintf(a.errOut, "%s: %s\n", program, err)
	if advice != "" {
		fmt.Fprintf(a.errOut, "advice: %s\n", advice)
	}
}

// notef prints a message for the operator that is not part of the result.
func (a *app) notef(format string, args ...any) {
	fmt.Fprintf(a.errOut, format+"\n", args...)
}

func (a *app) author() string {
	if a.options.Author != "" {
		return a.options.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}
