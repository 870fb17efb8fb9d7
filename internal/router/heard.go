package router

import (
	"log/slog"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/exchange"
	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// word is what an answer says of its upstream beside the answer itself.
type word string

const (
	wordLeaving word = "leaving" // it takes nothing new
	wordRest    word = "rest"    // it wants nothing from this router for a time
)

var (
	wordsHeard = telemetry.NewFamily[word]("router_upstream_words_total", "word",
		"Answers in which an upstream said that it leaves, or that it wants rest.")
	sentAgainst = telemetry.NewFamily[word]("router_sent_against_word_total", "word",
		"Attempts sent to upstreams that had said that they leave, or had asked for rest that was not over.", telemetry.Alert)
)

// heard takes in what an answer says of its upstream.
func (a direct) heard(at *attempt, w exchange.Word) {
	a.loadHeard(at, w)
	now, vm := time.Now(), load.Hash(at.vm.ID)
	if w.Leaving {
		wordsHeard.Inc(wordLeaving)
		if a.router.said.Leaves(now, vm) {
			a.log(telemetry.LineFailure, "upstream says that it leaves", at.vmAttrs()...)
		}
	}
	if w.Rest > 0 {
		wordsHeard.Inc(wordRest)
		a.router.said.Rests(now, vm, w.Rest)
		a.log(telemetry.LineFailure, "upstream wants rest", append(at.vmAttrs(), slog.Int64("rest_ms", w.Rest.Milliseconds()))...)
	}
}

// vmAttrs names the upstream of an attempt in a line.
func (at *attempt) vmAttrs() []slog.Attr {
	return []slog.Attr{
		slog.Int("attempt", at.number),
		slog.String("upstream", at.vm.ID),
		slog.String("addr", at.vm.Addr),
		slog.String("pool", at.vm.Pool),
		slog.Bool("listed_leaving", at.vm.Leaving),
	}
}

// countAgainst counts an attempt that is sent although its upstream wants none.
func (r *Router) countAgainst(now time.Time, vm topo.VM) {
	c := r.said.Of(load.Hash(vm.ID))
	if c.Leaving {
		sentAgainst.Inc(wordLeaving)
	}
	if c.Rests(now) {
		sentAgainst.Inc(wordRest)
	}
}

// keepSaid forgets what upstreams have said that are gone for long.
func (r *Router) keepSaid(now time.Time) {
	listed := make(map[load.VM]bool)
	for id := range r.View().VMs {
		listed[load.Hash(id)] = true
	}
	r.said.Keep(now, listed)
}
