package runner

import (
	"log/slog"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/config/checker"
	"github.com/waxwingloom/waxwingloom/internal/kernel/namer"
	"github.com/waxwingloom/waxwingloom/internal/settings/loader"
)

const (
	// bindTimeout is how long the daemon waits for an address that is in use: the process before
	// it may be ending, or a connection of another one may have the port for a moment. A start
	// that fails must end within a second.
	bindTimeout       = 500 * time.Millisecond
	bindRetryInterval = 20 * time.Millisecond
)

// openListeners opens all listeners before any service starts, so that no outgoing connection
// takes their ports. It logs their addresses because the operating system chooses the port
// where the settings have port 0.
func openListeners(s loader.Settings, clock clockwork.Clock, log *slog.Logger) (any, func(), error) {
	l := &listeners{}
	var err error
	if l.incarnation, err = namer.RandomIncarnation(); err != nil {
		return nil, nil, err
	}
	deadline := clock.Now().Add(bindTimeout)
	for _, port := range []struct {
		listener     *net.Listener
		section, key string
		address      string
	}{
		{&l.callers, "listen", "callers", s.CallerAddress},
		{&l.operators, "listen", "operators", s.OperatorAddress},
		{&l.peers, "listen", "peers", s.PeerAddress},
		{&l.ready, "routing", "ready", s.Routing.ReadyAddress},
		{&l.lookup, "routing", "lookup", s.Routing.LookupAddress},
	} {
		if port.section == "routing" && !s.RoutingEnabled() {
			continue
		}
		if *port.listener, err = listen(port.address, deadline, clock); err != nil {
			l.close()
			return nil, nil, checker.Problem{File: s.File, Section: port.section, Key: port.key, Reason: err.Error()}
		}
	}
	log.Info("listening", l.addresses()...)
	return l, l.close, nil
}

// listen opens a listener. While the address is in use, it tries again until the deadline.
func listen(address string, deadline time.Time, clock clockwork.Clock) (net.Listener, error) {
	for {
		ln, err := net.Listen("tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) || !clock.Now().Before(deadline) {
			return ln, errors.Wrap(err, "opening a listener")
		}
		clock.Sleep(bindRetryInterval)
	}
}

// addresses returns the addresses and the incarnation as the attributes of a log line.
func (l *listeners) addresses() []any {
	attributes := []any{
		"callers", l.callers.Addr().String(), "operators", l.operators.Addr().String(), "peers", l.peers.Addr().String(),
	}
	if l.ready != nil {
		attributes = append(attributes, "ready", l.ready.Addr().String(), "lookup", l.lookup.Addr().String())
	}
	return append(attributes, "incarnation", l.incarnation.String())
}

func (l *listeners) close() {
	for _, ln := range []net.Listener{l.callers, l.operators, l.peers, l.ready, l.lookup} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}
