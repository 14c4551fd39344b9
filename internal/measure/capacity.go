package measure

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/internal/loopback"
)

// Sizes of the capacity measurements.
const (
	statementRuns = 20_000
	controlSpan   = 4 * time.Second
)

var (
	callerCounts = []int{500, 1500, 3000}
	groupCounts  = []int{2, 8, 16}
)

// Capacity holds the slopes that docs/CAPACITY.md is worked out from. Databases
// and callers run in the same process, so processor time is an upper bound
// where the page does not subtract a baseline.
type Capacity struct {
	CallerBytes     float64            `json:"callerBytes"`     // memory per idle caller, both ends of its connection
	BareBytes       float64            `json:"bareBytes"`       // the same of a bare TCP connection with one goroutine
	StatementMicros map[string]float64 `json:"statementMicros"` // processor time per statement, both ends
	GroupMillis     float64            `json:"groupMillis"`     // processor time per second and served group, databases included
	GroupBytesIn    float64            `json:"groupBytesIn"`    // bytes a second and group that its databases receive
	GroupMemory     float64            `json:"groupMemory"`     // memory per served group, databases' ends included
}

// MeasureCapacity measures the slopes of one host.
func MeasureCapacity(ctx context.Context) (Capacity, error) {
	var c Capacity
	if err := c.callers(ctx); err != nil {
		return c, eris.Wrap(err, "callers")
	}
	if err := c.statements(ctx); err != nil {
		return c, eris.Wrap(err, "statements")
	}
	return c, eris.Wrap(c.groups(ctx), "groups")
}

// callers measures the memory of idle callers.
func (c *Capacity) callers(ctx context.Context) error {
	site, key, err := bareSite(ctx, 1, nil)
	if err != nil {
		return err
	}
	defer site.Close()
	address := site.Hosts[0].CallerAddr()
	c.CallerBytes, err = memorySlope(callerCounts, func() (net.Conn, error) { return idleCaller(address, key.Plaintext) })
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer l.Close()
	go holdAll(l)
	c.BareBytes, err = memorySlope(callerCounts, func() (net.Conn, error) { return net.Dial("tcp", l.Addr().String()) })
	return err
}

// memorySlope opens connections up to each count and returns the bytes per
// connection.
func memorySlope(counts []int, open func() (net.Conn, error)) (float64, error) {
	var conns []net.Conn
	defer func() {
		for _, nc := range conns {
			nc.Close()
		}
	}()
	var x, y []float64
	for _, n := range counts {
		for len(conns) < n {
			nc, err := open()
			if err != nil {
				return 0, err
			}
			conns = append(conns, nc)
		}
		time.Sleep(200 * time.Millisecond)
		x = append(x, float64(n))
		y = append(y, float64(memoryInUse()))
	}
	return slope(x, y), nil
}

// holdAll reads each connection of l with a goroutine of its own.
func holdAll(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			nc.Read(make([]byte, 1))
			nc.Close()
		}()
	}
}

// idleCaller logs in with a plain connection and nothing around it.
func idleCaller(address, key string) (net.Conn, error) {
	nc, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	start := &pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "shop", "database": "orders"},
	}
	buf, err := start.Encode(nil)
	if err != nil {
		return nil, err
	}
	if buf, err = (&pgproto3.PasswordMessage{Password: key}).Encode(buf); err != nil {
		return nil, err
	}
	if _, err := nc.Write(buf); err != nil {
		return nil, err
	}
	return nc, readUntilReady(nc)
}

// readUntilReady reads up to the end of the startup.
func readUntilReady(nc net.Conn) error {
	var tail [6]byte
	one := make([]byte, 1)
	for tail != [6]byte{'Z', 0, 0, 0, 5, 'I'} {
		if _, err := nc.Read(one); err != nil {
			return err
		}
		copy(tail[:], tail[1:])
		tail[5] = one[0]
	}
	return nil
}

// statements measures processor time per statement by kind of request.
func (c *Capacity) statements(ctx context.Context) error {
	site, key, err := bareSite(ctx, 1, nil)
	if err != nil {
		return err
	}
	defer site.Close()
	if err := prepareOrders(ctx, connectURL(site, key.Plaintext, "")); err != nil {
		return err
	}
	const sql = "SELECT tiles FROM orders WHERE id = $1"
	plain := connectURL(site, key.Plaintext, "")
	aware := connectURL(site, key.Plaintext, "&bronzeloft.token=")
	direct := fmt.Sprintf("postgres://bronzeloft:%s@%s/main?sslmode=disable", loopback.DatabasePassword, site.Databases["orders-1"].Addr())
	c.StatementMicros = map[string]float64{}
	for _, run := range []struct{ name, url, sql string }{
		{"direct", direct, sql},
		{"aged read", aware, "/*request='order.browse'*/ " + sql},
		{"fresh read", plain, "/*request='order.read'*/ " + sql},
		{"primary", plain, sql},
	} {
		if c.StatementMicros[run.name], err = statementCPU(ctx, run.url, run.sql); err != nil {
			return err
		}
	}
	return nil
}

// statementWorkers is how many callers send at once, so that confirmations are
// shared as they are under load.
const statementWorkers = 32

// statementCPU returns the microseconds of processor time per statement.
func statementCPU(ctx context.Context, url, sql string) (float64, error) {
	conns := make([]*pgx.Conn, statementWorkers)
	for i := range conns {
		var err error
		if conns[i], err = pgx.Connect(ctx, url); err != nil {
			return 0, err
		}
		defer conns[i].Close(ctx)
		var n int
		if err := conns[i].QueryRow(ctx, sql, 1).Scan(&n); err != nil {
			return 0, err
		}
	}
	var left atomic.Int64
	left.Store(statementRuns)
	failed := make(chan error, statementWorkers)
	before := cpuTime()
	for _, conn := range conns {
		go func() {
			var n int
			for left.Add(-1) >= 0 {
				if err := conn.QueryRow(ctx, sql, 1).Scan(&n); err != nil {
					failed <- err
					return
				}
			}
			failed <- nil
		}()
	}
	for range conns {
		if err := <-failed; err != nil {
			return 0, err
		}
	}
	return float64((cpuTime() - before).Microseconds()) / statementRuns, nil
}

// groups measures what an idle served group costs.
func (c *Capacity) groups(ctx context.Context) error {
	var x, cpu, in, memory []float64
	for _, n := range groupCounts {
		var received atomic.Int64
		base := memoryInUse()
		site, _, err := bareSite(ctx, n, func(b []byte) { received.Add(int64(len(b))) })
		if err != nil {
			return err
		}
		time.Sleep(time.Second)
		bytes, used := received.Load(), cpuTime()
		time.Sleep(controlSpan)
		x = append(x, float64(n))
		cpu = append(cpu, float64((cpuTime()-used).Milliseconds())/controlSpan.Seconds())
		in = append(in, float64(received.Load()-bytes)/controlSpan.Seconds())
		memory = append(memory, float64(memoryInUse()-base))
		site.Close()
	}
	c.GroupMillis, c.GroupBytesIn, c.GroupMemory = slope(x, cpu), slope(x, in), slope(x, memory)
	return nil
}
