package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/config/change"
	"github.com/parsleyfront/parsleyfront/internal/platform"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/router"
	"github.com/parsleyfront/parsleyfront/internal/settings"
	"github.com/parsleyfront/parsleyfront/internal/standin"
	"github.com/parsleyfront/parsleyfront/internal/token"
)

// What dev mode configures.
const (
	devRouter     = "router-0"
	devKey        = "dev-key"
	devModel      = "notes-7b"
	devPool       = "notes"
	devTokenDelay = 20 * time.Millisecond
	devTokens     = 24
	devCache      = 256
)

// RunDev runs a small fleet with stand-ins in this process until ctx ends, and
// tells out how to use it.
func RunDev(ctx context.Context, s settings.Dev, out io.Writer) error {
	vms := standin.NewVMList()
	api := standin.NewObjectAPI()
	mux := http.NewServeMux()
	api.Register(mux)
	vms.Register(mux)
	base, err := listenHTTP(ctx, mux)
	if err != nil {
		return err
	}
	p := platform.NewHTTP(base)
	if err := configure(ctx, p); err != nil {
		return err
	}
	for i := range s.Engines {
		if err := startEngine(ctx, vms, fmt.Sprintf("engine-%d", i)); err != nil {
			return err
		}
	}
	nonce := token.NewNonce()
	ring, err := token.NewRing(token.Secret{ID: 1, Value: append(nonce[:], nonce[:]...)})
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return err
	}
	o, err := listenOperators("127.0.0.1:0", devRouter, "")
	if err != nil {
		return err
	}
	vms.Set(platform.VM{ID: devRouter, Role: platform.RoleRouter, Addr: l.Addr().String(), AdminAddr: o.listener.Addr().String()})
	fmt.Fprintf(out, "platform  %s\nrouter    http://%s\n\ntry:\n  %s\n", base, l.Addr(), devCurl(l.Addr().String()))
	return serveCallers(ctx, l, router.Config{Store: p, VMs: p, Ring: ring, Dial: dial}, o)
}

func devCurl(addr string) string {
	return fmt.Sprintf(`curl -iN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{"model":"%s","stream":true,"messages":[{"role":"user","content":"Who lost the ball?"}]}'`, addr, devKey, devModel)
}

// configure writes the profile and organisation of dev mode.
func configure(ctx context.Context, store platform.Store) error {
	chat := profile.Profile{Name: "chat", Pool: devPool, Model: devModel, Deadline: profile.Duration(time.Minute), LoadMultiple: 1.25}
	org := profile.Organisation{Name: "dev", Weight: 1, Profiles: []string{"chat"}, Keys: []profile.APIKey{{ID: "dev", SHA256: profile.HashKey(devKey)}}}
	if err := create(ctx, store, platform.Ref{Kind: platform.KindProfile, Name: chat.Name}, chat); err != nil {
		return err
	}
	return create(ctx, store, platform.Ref{Kind: platform.KindOrganisation, Name: org.Name}, org)
}

func create(ctx context.Context, store platform.Store, ref platform.Ref, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	r := change.NewEditor(store).Commit(ctx, change.Edit{Base: change.Current{Ref: ref}, Spec: b, Author: "dev"})
	if r.Outcome != change.Applied {
		return errors.Errorf("writing %s: %s: %v", ref, r.Outcome, r.Cause)
	}
	return nil
}

// startEngine runs a stand-in engine with its sidecar and lists its VM.
func startEngine(ctx context.Context, vms *standin.VMList, id string) error {
	mux := http.NewServeMux()
	standin.NewEngine(standin.EngineConfig{Model: devModel, TokenDelay: devTokenDelay, Tokens: devTokens, CacheSize: devCache}).Register(mux)
	base, err := listenHTTP(ctx, mux)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = serveRouters(ctx, l, id, base) }()
	vms.Set(platform.VM{ID: id, Role: platform.RoleUpstream, Addr: l.Addr().String(), Pool: devPool})
	return nil
}

// listenHTTP serves h on a free port until ctx ends and returns its URL.
func listenHTTP(ctx context.Context, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	return "http://" + l.Addr().String(), nil
}
