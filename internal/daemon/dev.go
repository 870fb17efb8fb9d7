package daemon

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/config/change"
	"github.com/parsleyfront/parsleyfront/internal/lease"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/router"
	"github.com/parsleyfront/parsleyfront/internal/secure"
	"github.com/parsleyfront/parsleyfront/internal/settings"
	"github.com/parsleyfront/parsleyfront/internal/sidecar"
	"github.com/parsleyfront/parsleyfront/internal/standin"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// Names and parameters of the fleet of dev mode: a pool of model engines for chats and a
// plain service.
const (
	devRouter       = "router-0"
	devModel        = "notes-7b"
	devEnginePool   = "notes" // name of the engines' pool and its profile
	devService      = "clips" // name of the plain service, its pool and its profile
	devServiceCount = 2
	devTokenDelay   = 20 * time.Millisecond
	devTokenCount   = 24
	devCacheSize    = 256
	devLoadInterval = time.Second
	devCallerBytes  = 64 << 20
	devLoadTime     = time.Second
	devLoadMultiple = 1.25
)

// runDev runs a small fleet with stand-ins in this process until ctx ends and the planned
// stop is over. It writes instructions for its use to out.
func runDev(ctx context.Context, s settings.Dev, out io.Writer) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	vms := standin.NewVMList()
	mux := http.NewServeMux()
	standin.NewObjectAPI().Register(mux)
	vms.Register(mux)
	platformURL, err := listenHTTP(background, mux)
	if err != nil {
		return err
	}
	p := topo.NewHTTP(platformURL)
	if err := writeDevConfig(ctx, p, string(s.Key)); err != nil {
		return err
	}
	if err := startUpstreams(background, vms, platformURL, s.Engines.N); err != nil {
		return err
	}
	keyring, err := newKeyring()
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errors.WithStack(err)
	}
	o, err := listenOperatorAPI(s.AdminListen, settings.Node{VM: devRouter})
	if err != nil {
		return err
	}
	adminAddr := o.listener.Addr().String()
	vms.Set(topo.VM{ID: devRouter, Role: topo.RoleRouter, Addr: l.Addr().String(), AdminAddr: adminAddr})
	fmt.Fprint(out, devUsage(platformURL, l.Addr().String(), adminAddr, string(s.Key)))
	server := callerServer{
		listener:    l,
		connections: defaultCallerConnections,
		memoryBytes: devCallerBytes,
		config:      router.Config{Store: p, VMs: p, Ring: keyring, Dial: dialer(secure.Plain{})},
		admin:       o,
		plan:        stopPlan{timeout: s.StopTimeout.D},

		vm: devRouter,
		controller: settings.Controller{
			LeaseTTL:           settings.Duration{D: lease.DefaultTTL},
			WeightLoadInterval: settings.Duration{D: devLoadInterval},
		},
	}
	return server.serve(ctx, background)
}

// newKeyring returns a Keyring with a random secret.
func newKeyring() (*token.Keyring, error) {
	secret := make([]byte, sha256.Size)
	rand.Read(secret) // never fails, as crypto/rand documents
	return token.NewKeyring(token.Secret{ID: 1, Value: secret})
}

func devUsage(platformURL, addr, admin, key string) string {
	return fmt.Sprintf(`platform  %[1]s
router    http://%[2]s
operators http://%[3]s/debug/vars

a chat:
  curl -iN http://%[2]s/v1/chat/completions -H 'Authorization: Bearer %[4]s' -d '{"model":"%[5]s","stream":true,"messages":[{"role":"user","content":"Who lost the ball?"}]}'
a call of a plain service:
  curl -i http://%[2]s/services/%[6]s/tags -H 'Authorization: Bearer %[4]s' -d 'corner'
`, platformURL, addr, admin, key, devModel, devService)
}

// writeDevConfig writes the pools, profiles and organisation of dev mode to store.
func writeDevConfig(ctx context.Context, store topo.Store, key string) error {
	objects := []struct {
		ref   topo.Ref
		value any
	}{
		{topo.Ref{Kind: topo.KindPool, Name: devEnginePool}, profile.Pool{
			Name: devEnginePool, Model: devModel, Version: "1", Role: profile.DefaultEngineRole, MaxUnavailable: profile.DefaultMaxUnavailable,
		}},
		{topo.Ref{Kind: topo.KindPool, Name: devService}, profile.Pool{
			Name: devService, Role: profile.DefaultEngineRole, MaxUnavailable: profile.DefaultMaxUnavailable,
		}},
		{topo.Ref{Kind: topo.KindProfile, Name: devEnginePool}, profile.Profile{
			Name: devEnginePool, Pool: devEnginePool, Model: devModel, Deadline: profile.Duration(time.Minute), LoadMultiple: devLoadMultiple,
		}},
		{topo.Ref{Kind: topo.KindProfile, Name: devService}, profile.Profile{
			Name: devService, Pool: devService, Service: devService, Deadline: profile.Duration(10 * time.Second), LoadMultiple: devLoadMultiple,
		}},
		{topo.Ref{Kind: topo.KindOrganisation, Name: "dev"}, profile.Organisation{
			Name: "dev", Weight: 1, Profiles: []string{devEnginePool, devService}, Keys: []profile.APIKey{{ID: "dev", SHA256: profile.HashKey(key)}},
		}},
	}
	for _, o := range objects {
		if err := createObject(ctx, store, o.ref, o.value); err != nil {
			return err
		}
	}
	return nil
}

func createObject(ctx context.Context, store topo.Store, ref topo.Ref, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	r := change.NewEditor(store).Commit(ctx, change.Edit{Base: change.StoredObject{Ref: ref}, Spec: b, Author: "dev"})
	if r.Outcome != change.Applied {
		return errors.Errorf("writing %s: %s: %v", ref, r.Outcome, r.Cause)
	}
	return nil
}

// startUpstreams starts the stand-in upstreams of both pools, each with its sidecar. They
// run until ctx ends.
func startUpstreams(ctx context.Context, vms *standin.VMList, platformURL string, engines int) error {
	for i := range engines {
		mux := http.NewServeMux()
		standin.NewEngine(standin.EngineConfig{Model: devModel, TokenDelay: devTokenDelay, Tokens: devTokenCount, CacheSize: devCacheSize}).Register(mux)
		loaded := wire.ModelSpec{Model: devModel, Version: "1", Role: string(profile.DefaultEngineRole)}
		standin.NewOrders(standin.OrdersConfig{Loaded: loaded, LoadDuration: devLoadTime}).Register(mux)
		if err := startUpstream(ctx, vms, platformURL, topo.VM{ID: fmt.Sprintf("engine-%d", i), Pool: devEnginePool}, mux); err != nil {
			return err
		}
	}
	for i := range devServiceCount {
		mux := http.NewServeMux()
		standin.NewService(devService).Register(mux)
		if err := startUpstream(ctx, vms, platformURL, topo.VM{ID: fmt.Sprintf("clips-%d", i), Pool: devService}, mux); err != nil {
			return err
		}
	}
	return nil
}

// startUpstream starts an upstream with its sidecar and adds its VM to vms.
func startUpstream(ctx context.Context, vms *standin.VMList, platformURL string, vm topo.VM, h http.Handler) error {
	base, err := listenHTTP(ctx, h)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.WithStack(err)
	}
	parsed, err := settings.Parse([]string{"sidecar", "--vm", vm.ID, "--upstream", base, "--platform", platformURL, "--insecure-plain"})
	if err != nil {
		return err
	}
	c := sidecarConfig(parsed.Sidecar)
	c.Dial = dialer(secure.Plain{})
	c.Token = fencingTokenReader(topo.NewHTTP(platformURL))
	go func() { _ = sidecar.New(c).Serve(ctx, l) }()
	vm.Role, vm.Addr = topo.RoleUpstream, l.Addr().String()
	vms.Set(vm)
	return nil
}

// listenHTTP serves h on a free port in the background until ctx ends. It returns the
// server's URL.
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
