package router

import (
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/parsleyfront/parsleyfront/internal/origins"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/relay"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
)

var originRecords = telemetry.NewGauge("router_stream_origins_entries",
	"Streams of which this router knows at which software version they began.")

// newOriginExchange returns the exchange of origins of a router with a name in a failure domain, over the connection for
// messages between routers; nil: there are no other routers.
func newOriginExchange(name, domain string, packets net.PacketConn) *origins.Exchange {
	if packets == nil {
		return origins.NewExchange(name, domain, nil)
	}
	return origins.NewExchange(name, domain, func(addr string, m origins.Message) { sendOrigins(packets, addr, m) })
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

// routesOf returns the routes of hosts for a History.
func routesOf(hosts profile.Hosts) origins.Routes {
	out := make(origins.Routes, len(hosts))
	for host, prefixes := range hosts {
		hash := uint64(0)
		for prefix, p := range prefixes {
			hash ^= xxh3.HashString(prefix + "\x00" + strings.Join(p.PoolNames(), "\x00"))
		}
		out[host] = strconv.FormatUint(hash, 16) // a number may lose digits in the store
	}
	return out
}

// streamPools returns the pools that serve the streams of each host.
func streamPools(hosts profile.Hosts) origins.Sets {
	out := make(origins.Sets, len(hosts))
	for host, prefixes := range hosts {
		var pools []string
		for _, p := range prefixes {
			if p.Stream || p.Resumable {
				pools = append(pools, p.PoolNames()...)
			}
		}
		out[host] = origins.SortedSet(pools)
	}
	return out
}

// versionsOf returns the software versions of the upstreams of each pool.
func versionsOf(pools map[string]*Pool) origins.Sets {
	out := make(origins.Sets, len(pools))
	for name, p := range pools {
		var versions []string
		for _, vm := range p.VMs {
			if !slices.Contains(versions, vm.SoftwareVersion) {
				versions = append(versions, vm.SoftwareVersion)
			}
		}
		out[name] = origins.SortedSet(versions)
	}
	return out
}

// observeOrigins records what the latest view shows of where streams begin.
func (r *Router) observeOrigins(now time.Time, former, latest *View) {
	r.versions.ObserveCurrency(now, r.listShowsAll(now))
	if former != latest {
		r.versions.ObserveVersions(now, latest.versions)
		r.versions.ObserveRoutes(now, latest.routes, latest.streamPools)
	}
}

// listShowsAll reports whether no version can serve that the list does not show.
func (r *Router) listShowsAll(now time.Time) bool {
	list := r.listCurrency.Load()
	return list == nil || list.ShowsAll(now)
}
