package exchanger

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/waxwingloom/waxwingloom/internal/kernel/dialer"
	"github.com/waxwingloom/waxwingloom/internal/upstream/cataloger"
)

const (
	// openTime bounds the opening of a connection to an upstream; it is three
	// round trips of the slowest link between regions that the brief names.
	openTime = 400 * time.Millisecond
	// openLeast bounds it from below where the way is known to be short; it is
	// over the tenth of a second for which a small VM's processor may stand still.
	openLeast = 120 * time.Millisecond
	// openWays is how many round trips the opening may take.
	openWays = 3
	// idleTime is how long a connection is kept when the upstream names no time.
	idleTime = 4 * time.Second
	// idleMargin is taken off the time that the upstream names, so that a
	// request does not cross the upstream's close.
	idleMargin = 1500 * time.Millisecond
	// smallBody is the largest body that is written together with its head.
	smallBody   = 4 << 10
	readerBytes = 4 << 10
	// headBytes is the largest head of an answer that is read. An upstream in trouble
	// may send bytes without end where a head is due.
	headBytes = 64 << 10
)

// errLongHead is why an answer is given up whose head does not end.
var errLongHead = errors.Newf("the head has over %d bytes", headBytes)

type (
	poolKey struct {
		address string
		born    int64
		name    string
	}

	// pool is the idle connections to one upstream, the last used last.
	pool struct {
		links []*link
	}

	// link is one connection, which serves one request at a time.
	link struct {
		conn    net.Conn
		meter   *meter
		reader  *bufio.Reader
		until   time.Time
		closing bool
		once    sync.Once
	}
)

// meter bounds what is read from a connection while a head is read.
type meter struct {
	conn net.Conn
	head bool
	left int
}

// Read implements io.Reader.
func (m *meter) Read(p []byte) (int, error) {
	if !m.head {
		return m.conn.Read(p)
	}
	if m.left <= 0 {
		return 0, errLongHead
	}
	n, err := m.conn.Read(p)
	m.left -= n
	return n, err
}

func keyOf(t cataloger.Target) poolKey {
	return poolKey{address: t.Address, born: t.StartedMs, name: string(t.Upstream)}
}

// link returns an idle connection that is still open, or a new one and the
// time that it took.
func (x *Exchanger) link(ctx context.Context, t cataloger.Target) (*link, time.Duration, error) {
	for {
		l := x.take(t)
		if l == nil {
			break
		}
		if l.quiet() {
			return l, 0, nil
		}
		l.close()
	}
	return x.open(ctx, t)
}

// open returns a new connection and the time that it took.
func (x *Exchanger) open(ctx context.Context, t cataloger.Target) (*link, time.Duration, error) {
	begun := x.clock.Now()
	conn, err := dialer.DialTimeout(ctx, t.Address, openWithin(t.RoundTrip))
	if err != nil {
		return nil, 0, err
	}
	m := &meter{conn: conn}
	return &link{conn: conn, meter: m, reader: newReader(m)}, x.clock.Since(begun), nil
}

// openWithin bounds the opening of a connection over a way. A request whose
// upstream is gone without a word then finds another one in time.
func openWithin(way time.Duration) time.Duration {
	if way <= 0 {
		return openTime
	}
	return min(max(openWays*way, openLeast), openTime)
}

func (x *Exchanger) take(t cataloger.Target) *link {
	now := x.clock.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.pools[keyOf(t)]
	for p != nil && len(p.links) > 0 {
		l := p.links[len(p.links)-1]
		p.links = p.links[:len(p.links)-1]
		if now.Before(l.until) {
			return l
		}
		l.close()
	}
	return nil
}

func (x *Exchanger) put(t cataloger.Target, l *link) {
	if err := l.conn.SetDeadline(time.Time{}); err != nil {
		l.close()
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.pools[keyOf(t)]
	if p == nil {
		p = &pool{}
		x.pools[keyOf(t)] = p
	}
	if len(p.links) >= max(t.Conns, 1) {
		l.close()
		return
	}
	p.links = append(p.links, l)
	p.trim(x.clock)
}

// trim closes connections whose time has passed, which are the first ones.
func (p *pool) trim(clock clockwork.Clock) {
	now := clock.Now()
	for len(p.links) > 0 && !now.Before(p.links[0].until) {
		p.links[0].close()
		p.links = p.links[1:]
	}
}

func (p *pool) close() {
	for _, l := range p.links {
		l.close()
	}
	p.links = nil
}

func (l *link) close() {
	l.once.Do(func() { _ = l.conn.Close() })
}

// reusable reports whether another request may be sent, and notes until when.
func (l *link) reusable(now time.Time, a Answer) bool {
	if l.closing || l.reader.Buffered() > 0 {
		return false
	}
	idle := idleTime
	if stated, ok := keepAlive(a.Header.Get("Keep-Alive")); ok {
		idle = stated - idleMargin
	}
	l.until = now.Add(idle)
	return idle > 0
}

// keepAlive reads the timeout of a Keep-Alive header.
func keepAlive(text string) (time.Duration, bool) {
	for _, field := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		return time.Duration(seconds) * time.Second, err == nil
	}
	return 0, false
}

// quiet reports whether an idle connection is open and has nothing to read.
// Bytes that come on an idle connection belong to no request.
func (l *link) quiet() bool {
	raw, ok := l.conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
