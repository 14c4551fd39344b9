package database

import (
	"context"
	"errors"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/bronzeloft/bronzeloft/internal/defaults"
)

// Timeouts of pooled connections.
const (
	// DefaultIdleProbeAfter is the default of PoolConfig.IdleProbeAfter.
	DefaultIdleProbeAfter = 2 * time.Second
	// DefaultIdleTimeout is the default of PoolConfig.IdleTimeout.
	DefaultIdleTimeout = 60 * time.Second
	// idleProbeTimeout bounds the probe of an idle connection.
	idleProbeTimeout = 100 * time.Millisecond
	// keepAliveAfter is the time without traffic after which KeepAlive probes an
	// idle connection; the server closes one after ServerIdleTimeout.
	keepAliveAfter = 4 * time.Second
)

// ErrPoolClosed is returned by Get after Close, which is called when the database
// has left or was removed.
var ErrPoolClosed = errors.New("database: pool closed")

// PoolConfig configures a Pool or a Control, which uses only ID, Address, Login and
// Now.
type PoolConfig struct {
	ID      string // the database's id
	Address string // IP:port
	Login   Login
	// MaxOpen is the initial bound on open connections; SetMax changes the bound.
	MaxOpen int
	// ConnectTimeout bounds one connection attempt.
	ConnectTimeout time.Duration
	// IdleProbeAfter is the idle time after which a connection must answer a probe
	// before it is handed out; zero for DefaultIdleProbeAfter.
	IdleProbeAfter time.Duration
	// IdleTimeout is the idle time after which CloseIdle closes a connection; zero
	// for DefaultIdleTimeout.
	IdleTimeout time.Duration
	// Now is the time source.
	Now func() time.Time
}

// Pool keeps connections to one database. Its user bounds concurrency with a
// queue; Get itself waits only when the bound on open connections is reached.
type Pool struct {
	cfg PoolConfig

	mu     sync.Mutex // guards the fields below
	idle   []*Conn    // most recently used last
	open   int        // connections that are idle, in use or being dialled
	max    int        // bound on open
	closed bool
	freed  chan struct{} // closed and replaced when a waiting Get may continue
}

// NewPool returns an empty pool.
func NewPool(cfg PoolConfig) *Pool {
	defaults.Set(&cfg.IdleProbeAfter, DefaultIdleProbeAfter)
	defaults.Set(&cfg.IdleTimeout, DefaultIdleTimeout)
	return &Pool{cfg: cfg, max: cfg.MaxOpen, freed: make(chan struct{})}
}

// Get returns a connection in a clean state, waiting for one until ctx ends. The
// connection must be returned with Put. The error is ErrPoolClosed, that of ctx or
// that of Dial.
func (p *Pool) Get(ctx context.Context) (*Conn, error) {
	for {
		c, wait, err := p.takeIdleOrReserve()
		if err != nil {
			return nil, err
		}
		if c != nil {
			if p.alive(c) {
				return c, nil
			}
			p.discard(c)
			continue
		}
		if wait == nil {
			return p.dial(ctx)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// takeIdleOrReserve returns an idle connection, or a channel to wait on, or
// neither: a connection is then reserved in the count and the caller must dial it.
func (p *Pool) takeIdleOrReserve() (*Conn, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, ErrPoolClosed
	}
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, nil, nil
	}
	if p.open >= p.max {
		return nil, p.freed, nil
	}
	p.open++
	return nil, nil, nil
}

func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.ConnectTimeout)
	defer cancel()
	c, err := Dial(ctx, p.cfg.ID, p.cfg.Address, p.cfg.Login)
	if err != nil {
		p.release()
		return nil, err
	}
	return c, nil
}

// alive reports whether c is usable. It probes a connection that was idle for
// IdleProbeAfter or longer, so that no request is sent on a dead one.
func (p *Pool) alive(c *Conn) bool {
	now := p.cfg.Now()
	if now.Sub(c.checkedAt) < p.cfg.IdleProbeAfter {
		return true
	}
	c.SetDeadline(now.Add(idleProbeTimeout))
	defer c.SetDeadline(time.Time{})
	c.checkedAt = now
	return c.probe() == nil
}

// Put returns a connection to the pool. It is kept only if its state is known to
// be clean, and closed otherwise.
func (p *Pool) Put(c *Conn) {
	if !c.reusable() {
		p.discard(c)
		return
	}
	c.SetDeadline(time.Time{})
	c.idleAt = p.cfg.Now()
	c.checkedAt = c.idleAt
	p.mu.Lock()
	if p.closed || p.open > p.max {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	p.idle = append(p.idle, c)
	p.wakeWaiters()
	p.mu.Unlock()
}

func (p *Pool) discard(c *Conn) {
	c.Close()
	p.release()
}

func (p *Pool) release() {
	p.mu.Lock()
	p.open--
	p.wakeWaiters()
	p.mu.Unlock()
}

// wakeWaiters wakes all callers of Get that wait for a connection; mu must be held.
func (p *Pool) wakeWaiters() {
	close(p.freed)
	p.freed = make(chan struct{})
}

// SetMax changes the bound on open connections. Connections in excess of it are
// closed when they are returned; idle ones stay until CloseIdle closes them.
func (p *Pool) SetMax(n int) {
	p.mu.Lock()
	p.max = n
	p.wakeWaiters()
	p.mu.Unlock()
}

// Open returns the number of open connections, with those being dialled.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// CloseIdle closes connections that have been idle for longer than IdleTimeout.
func (p *Pool) CloseIdle() {
	cutoff := p.cfg.Now().Add(-p.cfg.IdleTimeout)
	p.mu.Lock()
	var old []*Conn
	for len(p.idle) > 0 && p.idle[0].idleAt.Before(cutoff) {
		old = append(old, p.idle[0])
		p.idle = p.idle[1:]
	}
	p.mu.Unlock()
	for _, c := range old {
		p.discard(c)
	}
}

// KeepAlive probes idle connections that were neither used nor probed for
// keepAliveAfter, so that the server does not close them and dead ones are closed
// before a request needs them.
func (p *Pool) KeepAlive() {
	cutoff := p.cfg.Now().Add(-keepAliveAfter)
	for {
		c := p.takeUnchecked(cutoff)
		if c == nil {
			return
		}
		c.checkedAt = time.Time{}
		if p.alive(c) {
			p.putBack(c)
		} else {
			p.discard(c)
		}
	}
}

// takeUnchecked removes and returns an idle connection that was last used or
// probed before cutoff, nil if there is none.
func (p *Pool) takeUnchecked(cutoff time.Time) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range p.idle {
		if c.checkedAt.Before(cutoff) {
			p.idle = append(p.idle[:i:i], p.idle[i+1:]...)
			return c
		}
	}
	return nil
}

// putBack returns a probed connection to the idle list, which is ordered by last
// use.
func (p *Pool) putBack(c *Conn) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	i := sort.Search(len(p.idle), func(i int) bool { return p.idle[i].idleAt.After(c.idleAt) })
	p.idle = slices.Insert(p.idle, i, c)
	p.wakeWaiters()
	p.mu.Unlock()
}

// Close closes idle connections and makes Get fail; connections in use are closed
// when they are returned.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.wakeWaiters()
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}
