// Command parsleystandin runs one of the stand-ins that replace external systems in tests.
package main

import (
	"log"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/standin"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// crashCode is the exit code of a stand-in that crashes because a request contains the word
// of --poison.
const crashCode = 3

type options struct {
	Listen     string        `long:"listen" required:"true" description:"address to serve on"`
	Kind       string        `long:"kind" required:"true" choice:"platform" choice:"engine" choice:"service" choice:"weights" description:"what to stand in for"`
	Name       string        `long:"name" default:"notes-7b" description:"model or service"`
	TokenDelay time.Duration `long:"token-delay" default:"1ms" description:"pause between tokens"`
	Tokens     int           `long:"tokens" default:"20" description:"tokens in an answer"`
	CacheSize  int           `long:"cache" default:"1000" description:"prompt prefixes that are kept"`

	Fences       bool          `long:"fences" description:"refuse orders with an old fencing token"`
	Weights      string        `long:"weights" description:"URL of the weight store from which an engine loads"`
	LoadTime     time.Duration `long:"load-takes" default:"100ms" description:"how long an engine takes to load"`
	LoadInterval time.Duration `long:"load-every" default:"1s" description:"time between two loads that a weight store allows"`
	Poison       string        `long:"poison" description:"word in a prompt that crashes the engine"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	mux := http.NewServeMux()
	switch o.Kind {
	case "platform":
		standin.NewObjectAPI().Register(mux)
		standin.NewVMList().Register(mux)
	case "engine":
		standin.NewEngine(standin.EngineConfig{Model: o.Name, TokenDelay: o.TokenDelay, Tokens: o.Tokens, CacheSize: o.CacheSize}).Register(mux)
		loaded := wire.ModelSpec{Model: o.Name, Version: "1", Role: string(profile.DefaultEngineRole)}
		standin.NewOrders(standin.OrdersConfig{Loaded: loaded, ChecksFencingToken: o.Fences, Weights: o.Weights, LoadDuration: o.LoadTime}).Register(mux)
	case "weights":
		standin.NewWeightStore(o.LoadInterval).Register(mux)
	case "service":
		standin.NewService(o.Name).Register(mux)
	}
	handler := standin.Poisoned(mux, o.Poison, func() { os.Exit(crashCode) })
	server := &http.Server{Addr: o.Listen, Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	log.Fatal(server.ListenAndServe())
}
