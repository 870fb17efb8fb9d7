package router

import (
	"log/slog"
	"net"
	"net/netip"

	"github.com/parsleyfront/parsleyfront/internal/origins"
	"github.com/parsleyfront/parsleyfront/internal/relay"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
)

var originRecords = telemetry.NewGauge("router_stream_origins_entries",
	"Streams of which this router knows at which software version they began.")

// newOriginExchange returns the exchange of origins of a router in a failure domain, over the connection for
// messages between routers; nil: there are no other routers.
func newOriginExchange(domain string, packets net.PacketConn) *origins.Exchange {
	if packets == nil {
		return origins.NewExchange(domain, nil)
	}
	return origins.NewExchange(domain, func(addr string, m origins.Message) { sendOrigins(packets, addr, m) })
}

// sendOrigins sends a message about origins to the router at an address.
func sendOrigins(packets net.PacketConn, addr string, m origins.Message) {
	b, err := m.Encode()
	if err == nil {
		b, err = relay.EncodeOrigins(b)
	}
	if err != nil {
		slog.Error("a message about streams could not be encoded", "error", err)
		return
	}
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		slog.Error("a router has an invalid address", "addr", addr, "error", err)
		return
	}
	if _, err := packets.WriteTo(b, net.UDPAddrFromAddrPort(to)); err == nil {
		meshBytes.Add(meshOriginsSent, int64(len(b)))
	}
}

// originPeers returns routers as peers of the exchange of origins.
func originPeers(routers []relay.Router) []origins.Peer {
	peers := make([]origins.Peer, len(routers))
	for i, r := range routers {
		peers[i] = origins.Peer{Name: r.Name, Addr: r.Addr, Domain: r.Domain}
	}
	return peers
}
