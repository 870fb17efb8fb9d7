package settings

import (
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// envPrefix is the prefix of all environment variables of parsleyd.
const envPrefix = "PARSLEYD_"

// helpFlag is the name of the flag that the parser adds to the settings.
const helpFlag = "help"

// Role is the function of a process in a fleet.
type Role string

// Roles, by their subcommands.
const (
	RoleRouter  Role = "router"
	RoleSidecar Role = "sidecar"
	RoleEntry   Role = "entry"
	RoleDev     Role = "dev"
)

// Parsed holds the settings read from a command line and the environment.
type Parsed struct {
	Daemon
	Role    Role
	options []*flags.Option
}

// Help is the error of a command line that requests help. Its value is the help text.
type Help string

// Error implements error.
func (h Help) Error() string { return string(h) }

// Parse reads the command-line arguments args, which exclude the program's name, and the
// environment. The error is Help or ValidationErrors. With ValidationErrors it also returns
// the settings that could be read.
func Parse(args []string) (*Parsed, error) {
	p := &Parsed{}
	var errs ValidationErrors
	parser := flags.NewParser(&p.Daemon, flags.HelpFlag|flags.PassDoubleDash)
	parser.UnknownOptionHandler = func(name string, _ flags.SplitArgument, rest []string) ([]string, error) {
		errs.add(name, "no such setting") // without the value, which may be a secret
		return rest, nil
	}
	rest, err := parser.ParseArgs(args)
	if err != nil {
		if flags.WroteHelp(err) {
			return nil, Help(err.Error())
		}
		return p, append(errs, err.Error())
	}
	if len(rest) > 0 {
		errs = append(errs, fmt.Sprintf("arguments that belong to no flag: %d", len(rest)))
	}
	p.Role = Role(parser.Active.Name)
	p.options = allOptions(parser.Active.Group)
	errs = append(errs, unknownVariables(parser)...)
	for _, o := range p.options {
		if v, ok := o.Value().(checkedValue); ok && v.valueError() != nil {
			errs.add(o.LongName, "%s", v.valueError())
		}
	}
	p.roleSettings().check(&errs)
	if len(errs) > 0 {
		return p, errs
	}
	return p, nil
}

func (p *Parsed) roleSettings() checker {
	switch p.Role {
	case RoleRouter:
		return p.Router
	case RoleSidecar:
		return p.Sidecar
	case RoleEntry:
		return p.Entry
	default:
		return p.Dev
	}
}

// Common returns the settings that the roles share.
func (p *Parsed) Common() Common {
	switch p.Role {
	case RoleRouter:
		return p.Router.Common
	case RoleSidecar:
		return p.Sidecar.Common
	case RoleEntry:
		return p.Entry.Common
	default:
		return p.Dev.Common
	}
}

// Node returns the settings of a router or sidecar, or the zero Node for other roles.
func (p *Parsed) Node() Node {
	switch p.Role {
	case RoleRouter:
		return p.Router.Node
	case RoleSidecar:
		return p.Sidecar.Node
	default:
		return Node{}
	}
}

func allOptions(g *flags.Group) []*flags.Option {
	out := g.Options()
	for _, sub := range g.Groups() {
		out = append(out, allOptions(sub)...)
	}
	return out
}

// unknownVariables returns an error for each variable that has parsleyd's prefix but is
// read by no role. A misspelt variable would otherwise silently leave its setting at the
// default.
func unknownVariables(parser *flags.Parser) []string {
	known := make(map[string]bool)
	for _, c := range parser.Commands() {
		for _, o := range allOptions(c.Group) {
			known[o.EnvDefaultKey] = true
		}
	}
	var out []string
	for _, variable := range os.Environ() {
		name, _, _ := strings.Cut(variable, "=")
		if strings.HasPrefix(name, envPrefix) && !known[name] {
			out = append(out, name+": no such setting")
		}
	}
	return out
}

// Print writes the settings of the active role, one a line: flag, value, environment
// variable and the source of the value. Secrets are redacted.
func (p *Parsed) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, o := range p.options {
		if o.LongName == helpFlag {
			continue
		}
		fmt.Fprintf(table, "--%s\t%v\t%s\t%s\n", o.LongName, o.Value(), o.EnvDefaultKey, valueSource(o))
	}
	return errors.WithStack(table.Flush())
}

// valueSource returns where the value of o comes from: flag, environment or default.
func valueSource(o *flags.Option) string {
	if o.IsSet() && !o.IsSetDefault() {
		return "flag"
	}
	if _, ok := os.LookupEnv(o.EnvDefaultKey); ok && o.EnvDefaultKey != "" {
		return "environment"
	}
	return "default"
}
