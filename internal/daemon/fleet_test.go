package daemon

import (
	"net"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/pkg/errors"
)

// failingListener is a listener whose Accept returns failures first, one a call, and then
// succeeds.
type failingListener struct {
	net.Listener
	failures []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.failures) == 0 {
		conn, _ := net.Pipe()
		return conn, nil
	}
	err := l.failures[0]
	l.failures = l.failures[1:]
	return nil, &net.OpError{Op: "accept", Err: err}
}

// A surge uses up a sidecar's file descriptors for a moment. The sidecar must accept
// connections again afterwards: if its accept loop ended at the first error, its upstream
// would run and look healthy but get no requests.
func TestListenerRetriesAfterDescriptorExhaustion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before := acceptFailures.Value()
		l := retryingListener{&failingListener{failures: []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED}}}
		if _, err := l.Accept(); err != nil {
			t.Error(err)
		}
		if got := acceptFailures.Value() - before; got != 3 {
			t.Errorf("%d failures counted, want 3", got)
		}
		closed := retryingListener{&failingListener{failures: []error{net.ErrClosed}}}
		if _, err := closed.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("a closed listener: %v", err)
		}
	})
}
