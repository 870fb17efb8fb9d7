package ctl

import (
	"time"

	"github.com/jessevdk/go-flags"
)

// Options describes the command line of parsleyctl.
type Options struct {
	Platform   string        `long:"platform" env:"PARSLEYCTL_PLATFORM" description:"URL of the platform's API" value-name:"URL"`
	Router     string        `long:"router" env:"PARSLEYCTL_ROUTER" description:"admin address of a router to ask, instead of any in the list of VMs" value-name:"HOST:PORT"`
	PlatformCA string        `long:"platform-ca" env:"PARSLEYCTL_PLATFORM_CA" description:"PEM file of the authorities that sign the platform's certificate; default: those of the system" value-name:"FILE"`
	AdminToken string        `long:"admin-token-file" env:"PARSLEYCTL_ADMIN_TOKEN_FILE" description:"file with the token of the routers' admin API" value-name:"FILE"`
	Author     string        `long:"author" env:"PARSLEYCTL_AUTHOR" description:"who makes a change, for its history; default: the user's name"`
	Output     format        `short:"o" long:"output" choice:"table" choice:"json" choice:"yaml" default:"table" description:"how results are printed"`
	Timeout    time.Duration `long:"timeout" default:"20s" description:"after which a change whose outcome is not certain counts as unknown"`

	Validate   pathsCommand      `command:"validate" description:"check files, without any platform or router"`
	Diff       diffCommand       `command:"diff" description:"show what apply would change"`
	Apply      applyCommand      `command:"apply" description:"write the objects in files to the store"`
	Get        getCommand        `command:"get" description:"show an object, as a file for apply"`
	List       listCommand       `command:"list" description:"list the objects of a kind"`
	History    getCommand        `command:"history" description:"show the changes of an object, the newest first"`
	Rollback   rollbackCommand   `command:"rollback" description:"make a new revision with the content of a former one"`
	Delete     deleteCommand     `command:"delete" description:"delete an object"`
	Status     statusCommand     `command:"status" description:"show routers, pools, skew, control traffic and quarantined requests"`
	Budget     budgetCommand     `command:"budget" description:"sum what routers on the platform count of retries and of requests that crash upstreams"`
	Crashes    crashesCommand    `command:"crashes" description:"list the requests and the parts of prompts that crash upstreams, as routers on the platform know them"`
	Shares     sharesCommand     `command:"shares" description:"show how routers on the platform share pools that are too small among organisations"`
	Memory     memoryCommand     `command:"memory" description:"show what routers on the platform hold for callers, for whom, and what their connections do"`
	Drain      drainCommand      `command:"drain" description:"order a VM, or all upstreams of a failure domain, to take no new work"`
	Undrain    drainCommand      `command:"undrain" description:"take back a drain order"`
	Explain    explainCommand    `command:"explain" description:"show where a request would go now, and why"`
	Key        keyCommand        `command:"key" description:"make and remove the API keys of organisations"`
	Completion completionCommand `command:"completion" description:"print the script that makes a shell complete commands"`
}

type pathsCommand struct {
	Args struct {
		Paths []flags.Filename `positional-arg-name:"PATH" required:"1" description:"file, or directory of .yaml and .yml files"`
	} `positional-args:"yes"`
}

func (c pathsCommand) paths() []string {
	paths := make([]string, len(c.Args.Paths))
	for i, p := range c.Args.Paths {
		paths[i] = string(p)
	}
	return paths
}

type diffCommand struct{ pathsCommand }

// changeOptions are the options of every command that changes an object.
type changeOptions struct {
	Reason      string        `short:"m" long:"reason" description:"why, for the history"`
	Wait        bool          `long:"wait" description:"wait until the change is in force at every live router"`
	WaitTimeout time.Duration `long:"wait-timeout" default:"30s" description:"how long --wait may take"`
}

type applyCommand struct {
	changeOptions
	pathsCommand
}

type getCommand struct {
	Args struct {
		Object refArg `positional-arg-name:"KIND/NAME" required:"yes"`
	} `positional-args:"yes"`
}

type listCommand struct {
	Args struct {
		Kind kindArg `positional-arg-name:"KIND" required:"yes"`
	} `positional-args:"yes"`
}

type rollbackCommand struct {
	changeOptions
	To string `long:"to" description:"id of the change to go back to, from history; default: the one before the present one" value-name:"CHANGE"`
	getCommand
}

type deleteCommand struct {
	changeOptions
	getCommand
}

type statusCommand struct {
	Upstreams bool `long:"upstreams" description:"also show each upstream, as the asked router sees it"`
}

// addrsCommand has the arguments of commands that ask routers at their metrics addresses.
type addrsCommand struct {
	Args struct {
		Addrs []string `positional-arg-name:"HOST:PORT" required:"1" description:"metrics address of a router"`
	} `positional-args:"yes"`
}

type budgetCommand struct {
	addrsCommand
}

type crashesCommand struct {
	addrsCommand
}

type sharesCommand struct {
	addrsCommand
}

type memoryCommand struct {
	addrsCommand
}

type drainCommand struct {
	changeOptions
	Domain string `long:"failure-domain" description:"drain all upstreams of this failure domain, in place of one VM"`
	Args   struct {
		VM string `positional-arg-name:"VM" description:"id of the VM in the platform's list"`
	} `positional-args:"yes"`
}

type explainCommand struct {
	Organisation string `long:"organisation" required:"yes" description:"whose request it is"`
	Profile      string `long:"profile" description:"profile that the caller asks for; default: the one that fits"`
	Model        string `long:"model" description:"model of a chat"`
	Service      string `long:"service" description:"plain service that is called"`
	Method       string `long:"method" default:"GET" description:"method of a call of a service"`
	Path         string `long:"path" default:"/" description:"path of a call of a service, after its name"`
	Session      string `long:"session" description:"the chat's Parsley-Session"`
	Ticket       string `long:"ticket" description:"the Parsley-Ticket that the caller would send back"`
}

type keyCommand struct {
	New    struct{}         `command:"new" description:"print a key and its hash, and store nothing"`
	Add    keyChangeCommand `command:"add" description:"make a key for an organisation, print it once and store its hash"`
	Remove keyChangeCommand `command:"remove" description:"remove a key of an organisation"`
}

type keyChangeCommand struct {
	changeOptions
	Args struct {
		Organisation string `positional-arg-name:"ORGANISATION" required:"yes"`
		ID           string `positional-arg-name:"ID" required:"yes" description:"tells the organisation's keys apart"`
	} `positional-args:"yes"`
}

type completionCommand struct {
	Args struct {
		Shell string `positional-arg-name:"SHELL" required:"yes" choice:"bash" choice:"zsh"`
	} `positional-args:"yes"`
}
