// Command parsleystandin runs one of the stand-ins that tests put in the place
// of outside systems.
package main

import (
	"log"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/parsleyfront/parsleyfront/internal/standin"
)

type options struct {
	Listen string        `long:"listen" required:"true" description:"address to serve on"`
	Kind   string        `long:"kind" required:"true" choice:"platform" choice:"engine" choice:"service" description:"what to stand in for"`
	Name   string        `long:"name" default:"notes-7b" description:"model or service"`
	Delay  time.Duration `long:"token-delay" default:"1ms" description:"pause between tokens"`
	Tokens int           `long:"tokens" default:"20" description:"tokens in an answer"`
	Cache  int           `long:"cache" default:"1000" description:"prompt prefixes that are kept"`
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
		standin.NewEngine(standin.EngineConfig{Model: o.Name, TokenDelay: o.Delay, Tokens: o.Tokens, CacheSize: o.Cache}).Register(mux)
	case "service":
		standin.NewService(o.Name).Register(mux)
	}
	server := &http.Server{Addr: o.Listen, Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	log.Fatal(server.ListenAndServe())
}
