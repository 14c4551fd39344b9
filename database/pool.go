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

// Timing of pooled connections.
const (
	// DefaultIdleProbeAfter is the default of PoolConfig.IdleProbeAfter.
	DefaultIdleProbeAfter = 2 * time.Second
	// DefaultIdleTimeout is the default of PoolConfig.IdleTimeout.
	DefaultIdleTimeout = 60 * time.Second
	// idleProbeTimeout bounds the probe of an idle connection.
	idleProbeTimeout = 100 * time.Millisecond
	// keepAliveAfter is the silence after which KeepAlive probes an idle
	// connection; a server may close one that is silent for ServerClose.
	keepAliveAfter = 4 * time.Second
)

// ErrPoolClosed reports a pool whose database left or was removed.
var ErrPoolClosed = errors.New("database: pool closed")

// PoolConfig sets up a Pool.
type PoolConfig struct {
	ID      string
	Address string
	Login   Login
	// MaxOpen bounds the open connections; SetMax changes it.
	MaxOpen int
	// ConnectTimeout bounds one connection attempt.
	ConnectTimeout time.Duration
	// IdleProbeAfter is the idle time after which a connection answers a probe
	// before it carries a request.
	IdleProbeAfter time.Duration
	// IdleTimeout is the idle time after which CloseIdle closes a connection.
	IdleTimeout time.Duration
	// Now is the time source.
	Now func() time.Time
}

// Pool keeps connections to one database. The caller bounds concurrency with a
// queue; the pool itself makes a caller wait only when MaxOpen is reached.
type Pool struct {
	cfg PoolConfig

	mu     sync.Mutex // guards all below
	idle   []*Conn    // most recently used last
	open   int
	max    int
	closed bool
	freed  chan struct{} // closed and replaced when a connection is freed
}

// NewPool returns an empty pool.
func NewPool(cfg PoolConfig) *Pool {
	defaults.Set(&cfg.IdleProbeAfter, DefaultIdleProbeAfter)
	defaults.Set(&cfg.IdleTimeout, DefaultIdleTimeout)
	return &Pool{cfg: cfg, max: cfg.MaxOpen, freed: make(chan struct{})}
}

// Get returns a connection whose state is clean, waiting for one until ctx
// ends. The caller gives it back with Put.
func (p *Pool) Get(ctx context.Context) (*Conn, error) {
	for {
		c, wait, err := p.take()
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

// take returns an idle connection, or a channel to wait on, or neither when
// the caller now holds the right to open one.
func (p *Pool) take() (*Conn, <-chan struct{}, error) {
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

// alive probes a connection that was idle for long, so that a silent one never
// gets a request.
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

// Put gives a connection back. It is kept only if its state is known clean.
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
	p.wake()
	p.mu.Unlock()
}

func (p *Pool) discard(c *Conn) {
	c.Close()
	p.release()
}

func (p *Pool) release() {
	p.mu.Lock()
	p.open--
	p.wake()
	p.mu.Unlock()
}

// wake is called with mu held.
func (p *Pool) wake() {
	close(p.freed)
	p.freed = make(chan struct{})
}

// SetMax changes the bound. Connections over it close as they come back.
func (p *Pool) SetMax(n int) {
	p.mu.Lock()
	p.max = n
	p.wake()
	p.mu.Unlock()
}

// Open returns the number of open connections.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// CloseIdle closes connections that have been idle for long.
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

// KeepAlive probes idle connections that were silent for long, so that the
// server keeps them and silent ones are found before a request needs them.
func (p *Pool) KeepAlive() {
	cutoff := p.cfg.Now().Add(-keepAliveAfter)
	for {
		c := p.takeSilent(cutoff)
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

// takeSilent takes an idle connection that was last heard before cutoff.
func (p *Pool) takeSilent(cutoff time.Time) *Conn {
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

// putBack returns a probed connection to its place among the idle ones.
func (p *Pool) putBack(c *Conn) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	i := sort.Search(len(p.idle), func(i int) bool { return p.idle[i].idleAt.After(c.idleAt) })
	p.idle = slices.Insert(p.idle, i, c)
	p.wake()
	p.mu.Unlock()
}

// Close closes idle connections and refuses new work; connections in use close
// as they come back.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.wake()
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}
