package fleetmodel

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// Role is what a router does for others.
type Role int

// Roles.
const (
	Leaf   Role = iota // others do not rely on it
	Head               // it relies on another router, and others rely on it
	Reader             // it reads the store
	roleCount
)

var roleNames = [roleCount]string{"leaf", "head", "reader"}

// Load is what control costs one router in a second, as the mean over a role.
type Load struct {
	Routers          int     // of this role
	Subscribers      float64 // that rely on the router
	MessagesSent     float64
	BytesSent        float64
	BytesReceived    float64
	MessagesReceived float64
}

// Result is what a fleet of one size costs.
type Result struct {
	Routers, Upstreams int

	// A start of all, from the first start on.
	StartCalls     float64       // calls of the store for each router
	StartBytes     int           // bytes that the store sends
	StartListings  int           // routers that list the store
	Announcements  float64       // subscriptions and announcements that a router sends
	StartToCurrent time.Duration // from the last start until each router has the state of the store

	Steady      [roleCount]Load
	SteadyCalls float64 // calls of the store in a second

	ChangeToAll  time.Duration // from a change of the store until each router has it
	LossToAll    time.Duration // the same for a change made as the reader is lost
	LossListings int           // routers that list the store because the reader is lost
}

// Write writes a table with a line for each size, and one for each role.
func Write(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "routers\tupstreams\tstart: calls a router\tstore MB\tlist it\tannouncements\tcurrent ms\tcalls a second\tchange ms\treader lost ms\tlist it\t")
	for _, r := range results {
		fmt.Fprintf(t, "%d\t%d\t%.2f\t%.1f\t%d\t%.0f\t%d\t%.1f\t%d\t%d\t%d\t\n", r.Routers, r.Upstreams, r.StartCalls, float64(r.StartBytes)/megabyte,
			r.StartListings, r.Announcements, r.StartToCurrent.Milliseconds(), r.SteadyCalls, r.ChangeToAll.Milliseconds(), r.LossToAll.Milliseconds(), r.LossListings)
	}
	fmt.Fprintln(t, "\nrouters\trole\tof them\tsubscribers\tmessages out\tin\tKB/s out\tin\t\t\t\t")
	for _, r := range results {
		for role, l := range r.Steady {
			if l.Routers > 0 {
				fmt.Fprintf(t, "%d\t%s\t%d\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t\t\t\t\n", r.Routers, roleNames[role], l.Routers, l.Subscribers,
					l.MessagesSent, l.MessagesReceived, l.BytesSent/kilobyte, l.BytesReceived/kilobyte)
			}
		}
	}
	return errors.WithStack(t.Flush())
}

const (
	kilobyte = 1e3
	megabyte = 1e6
)
