package daemon

import (
	"context"
	"encoding/binary"
	"log/slog"
	"net"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/admission"
	"github.com/parsleyfront/parsleyfront/internal/secure"
	"github.com/parsleyfront/parsleyfront/internal/settings"
	"github.com/parsleyfront/parsleyfront/internal/sidecar"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/upstream"
)

// maxRouterConnections is the number of routers that connect to a sidecar in a fleet of the
// target size. It is used to check the limit on open files.
const maxRouterConnections = 400

// runSidecar runs a sidecar until ctx ends and its planned stop is over. What requests in
// flight need runs on the background context, which ends after the stop.
func runSidecar(ctx context.Context, s settings.Sidecar) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	checkFileLimit(maxRouterConnections)
	transport, err := fleetTransport(background, s.Fleet, s.Node, secure.RoleSidecar)
	if err != nil {
		return err
	}
	o, err := listenOperatorAPI(s.AdminListen, s.Node)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errors.WithStack(err)
	}
	slog.Info("sidecar listening", "addr", l.Addr().String(), "vm", s.VM)
	c := sidecarConfig(s)
	c.Dial = dialer(transport)
	if s.Platform.URL != "" {
		p, err := platformClient(background, s.Platform, s.ReloadInterval.D)
		if err != nil {
			return err
		}
		c.VMs = p
		c.Token = fencingTokenReader(p)
	}
	sc := sidecar.New(c)
	h := newHealth(sc.Alive, sc.Ready)
	context.AfterFunc(ctx, h.leave)
	o.serveSidecar(background, h)
	return sc.Serve(ctx, transport.Listen(retryingListener{l}))
}

func sidecarConfig(s settings.Sidecar) sidecar.Config {
	nonce := token.NewNonce()
	up := upstream.NewHTTP(string(s.Upstream))
	c := sidecar.Config{
		Settings: sidecar.Settings{
			VM:            s.VM,
			FailureDomain: s.FailureDomain,
			Incarnation:   binary.BigEndian.Uint64(nonce[:]),
			Weight:        s.Weight.N,
			Keys:          s.Keys.N,
			Admission: admission.Config{
				Slots:      s.Slots.N,
				Reserve:    s.Reserve.N,
				Headroom:   s.Headroom.N,
				MaxWaiting: s.MaxWaiting.N,
				MaxBytes:   s.MaxWaitingBytes.N,
			},
			DetachGrace: s.DetachGrace.D,
			KeepAnswer:  s.KeepAnswer.D,
			StopTimeout: s.StopTimeout.D,
		},
		Buffer:   sidecar.BufferLimits{PerResponse: s.AnswerBytes.N, Total: s.BufferBytes.N},
		Upstream: up,
		Orders:   up,
	}
	return c
}
