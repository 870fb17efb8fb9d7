package daemon

import (
	"context"
	"encoding/binary"
	"log/slog"
	"net"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/secure"
	"github.com/parsleyfront/parsleyfront/internal/settings"
	"github.com/parsleyfront/parsleyfront/internal/sidecar"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/upstream"
)

// routerFiles is how many routers may be connected to a sidecar at the target's
// size, for the check of the file limit.
const routerFiles = 400

func runSidecar(ctx context.Context, s settings.Sidecar) error {
	checkFileLimit(routerFiles)
	transport, err := fleetTransport(ctx, s.Fleet, s.Node, secure.RoleSidecar)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errors.WithStack(err)
	}
	slog.Info("sidecar listening", "addr", l.Addr().String(), "vm", s.VM)
	return serveRouters(ctx, transport.Listen(patientListener{l}), s.VM, string(s.Upstream))
}

func serveRouters(ctx context.Context, l net.Listener, vm, base string) error {
	nonce := token.NewNonce()
	s := sidecar.New(ctx, sidecar.Config{
		VM:          vm,
		Incarnation: binary.BigEndian.Uint64(nonce[:]),
		Upstream:    upstream.NewHTTP(base),
	})
	return s.Serve(l)
}
