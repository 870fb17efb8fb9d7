// Package settings defines the flags and environment variables of parsleyd and
// checks them before anything starts.
package settings

import (
	"net/url"
	"strings"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/token"
)

// Daemon is the command line of parsleyd.
type Daemon struct {
	Router  Router  `command:"router" description:"serve callers, in front of the sidecars"`
	Sidecar Sidecar `command:"sidecar" description:"serve routers, beside one upstream"`
	Dev     Dev     `command:"dev" description:"run a small fleet with stand-ins in one process"`
}

// Router is the settings of the router role.
type Router struct {
	Listen      string   `long:"listen" env:"PARSLEY_LISTEN" default:"127.0.0.1:8080" description:"address for callers"`
	Platform    string   `long:"platform" env:"PARSLEY_PLATFORM" description:"URL of the platform's API" required:"true"`
	VM          string   `long:"vm" env:"PARSLEY_VM" description:"this VM's id in the platform's list; required with --admin-listen"`
	AdminListen string   `long:"admin-listen" env:"PARSLEY_ADMIN_LISTEN" description:"address for operators, on the management network; default: none"`
	AdminToken  string   `long:"admin-token" env:"PARSLEY_ADMIN_TOKEN" default-mask:"-" description:"token that operators' requests carry, the same at all routers; default: none is asked for"`
	Secrets     []string `long:"token-secret" env:"PARSLEY_TOKEN_SECRETS" env-delim:"," description:"id:hex of a secret that signs request keys, the one to sign with first" required:"true"`
}

// Sidecar is the settings of the sidecar role.
type Sidecar struct {
	Listen   string `long:"listen" env:"PARSLEY_LISTEN" default:"127.0.0.1:7400" description:"address for routers"`
	VM       string `long:"vm" env:"PARSLEY_VM" description:"this VM's id in the platform's list" required:"true"`
	Upstream string `long:"upstream" env:"PARSLEY_UPSTREAM" description:"URL of the upstream beside this sidecar" required:"true"`
}

// Dev is the settings of dev mode.
type Dev struct {
	Listen  string `long:"listen" env:"PARSLEY_LISTEN" default:"127.0.0.1:8080" description:"address for callers"`
	Engines int    `long:"engines" default:"3" description:"stand-in engines to run"`
}

// Check returns all that is wrong with the settings, in one error.
func (r Router) Check() error {
	var c checks
	c.url("--platform", r.Platform)
	if _, err := r.Ring(); err != nil {
		c.add("--token-secret: %s", err)
	}
	if r.AdminListen != "" && r.VM == "" {
		c.add("--vm: want this VM's id, by which routers know each other, when --admin-listen is set")
	}
	return c.err()
}

// Ring returns the token secrets.
func (r Router) Ring() (*token.Ring, error) {
	secrets, err := token.ParseSecrets(strings.Join(r.Secrets, "\n") + "\n")
	if err != nil {
		return nil, err
	}
	return token.NewRing(secrets...)
}

// Check returns all that is wrong with the settings, in one error.
func (s Sidecar) Check() error {
	var c checks
	c.url("--upstream", s.Upstream)
	return c.err()
}

// checks collects mistakes, so that an operator sees all of them at once.
type checks []string

func (c *checks) add(format string, args ...any) {
	*c = append(*c, errors.Errorf(format, args...).Error())
}

func (c *checks) url(name, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.add("%s: want a URL such as http://10.0.0.2:7000, have %q", name, value)
	}
}

func (c checks) err() error {
	if len(c) == 0 {
		return nil
	}
	return errors.New(strings.Join(c, "\n"))
}
