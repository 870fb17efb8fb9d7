package gateway

import (
	"net/http"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/httpserver"
	"github.com/parsleyfront/parsleyfront/internal/profile"
)

// WriteTimeout bounds the time from the end of a request's head to the end of its response, or for callers until their
// response begins, which has a deadline of its own.
const WriteTimeout = 30 * time.Second

// Server returns a server for callers that serves h on at most the given number of
// connections at a time, with the limits that ServerLimits returns.
func (g *PlatformGateway) Server(h http.Handler, connections int, grace time.Duration) *httpserver.Server {
	return httpserver.New(httpserver.Config{
		Handler:      h,
		Connections:  connections,
		Patience:     httpserver.CallerPatience,
		DropsHungUp:  true,
		WriteTimeout: WriteTimeout,
		Limits:       g.ServerLimits(grace),
		Memory:       g.memory,
	})
}

// ServerLimits returns a function that returns the operators' limits in force. Its times are theirs plus grace, as a
// change of the limits takes time to arrive: when they become shorter, callers may still rely on the longer ones, and
// when they become longer, this router may not have received them yet.
func (g *PlatformGateway) ServerLimits(grace time.Duration) func() httpserver.Limits {
	return func() httpserver.Limits {
		l := g.limits()
		return httpserver.Limits{
			HeadBytes: int(l.HeaderBytes),
			HeadTime:  l.HeaderTime.Std() + grace,
			IdleTime:  l.IdleTime.Std() + grace,
		}
	}
}

// limits returns the operators' limits for callers that are in force.
func (g *PlatformGateway) limits() *profile.Limits {
	return limitsOf(g.router.View())
}
