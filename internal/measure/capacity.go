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
	statementRuns = 20_000          // statements of each kind that is measured
	idleWindow    = 4 * time.Second // time over which idle groups are measured
)

var (
	callerCounts = []int{500, 1500, 3000}
	groupCounts  = []int{2, 8, 16}
)

// Capacity holds what each further caller, statement and group costs a host. The
// figures of docs/CAPACITY.md are computed from it. The costs of callers and groups
// are slopes of least-squares fits over several counts. Databases and callers run in
// the same process as the host, so processor time is an upper bound where the page
// does not subtract a baseline.
type Capacity struct {
	CallerBytes     float64            `json:"callerBytes"`     // memory per idle caller, both ends of its connection
	BareBytes       float64            `json:"bareBytes"`       // the same for a plain TCP connection read by one goroutine
	StatementMicros map[string]float64 `json:"statementMicros"` // processor time per statement, both ends, by kind
	GroupMillis     float64            `json:"groupMillis"`     // processor milliseconds per second and idle served group, databases included
	GroupBytesIn    float64            `json:"groupBytesIn"`    // bytes per second and group that its databases receive
	GroupMemory     float64            `json:"groupMemory"`     // memory per served group, databases included
}

// MeasureCapacity measures the Capacity of one host on this machine. An error names
// the part that failed, and the parts before it are returned.
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

// callers measures the memory that an idle caller takes, and that of a plain TCP
// connection as the baseline.
func (c *Capacity) callers(ctx context.Context) error {
	site, key, err := startSite(ctx, 1, nil)
	if err != nil {
		return err
	}
	defer site.Close()
	address := site.Hosts[0].CallerAddr()
	c.CallerBytes, err = memorySlope(callerCounts, func() (net.Conn, error) { return openIdleCaller(address, key.Plaintext) })
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer l.Close()
	go acceptIdle(l)
	c.BareBytes, err = memorySlope(callerCounts, func() (net.Conn, error) { return net.Dial("tcp", l.Addr().String()) })
	return err
}

// memorySlope opens connections up to each of the counts and returns the growth of
// memory in use, in bytes per connection.
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

// acceptIdle accepts the connections of l and blocks in a read on each, with one
// goroutine per connection.
func acceptIdle(l net.Listener) {
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

// openIdleCaller logs in over a plain TCP connection. It uses no client library,
// whose buffers would add to the memory measured.
func openIdleCaller(address, key string) (net.Conn, error) {
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

// readUntilReady reads up to and including the ReadyForQuery message that ends the
// startup. It reads single bytes and keeps no buffer.
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

// statements measures the processor time per statement: of each kind of read, of a
// statement that names no request and so runs on the primary, and, as the baseline, of
// a direct connection to a database.
func (c *Capacity) statements(ctx context.Context) error {
	site, key, err := startSite(ctx, 1, nil)
	if err != nil {
		return err
	}
	defer site.Close()
	if err := createOrders(ctx, connectURL(site, key.Plaintext, "")); err != nil {
		return err
	}
	const sql = "SELECT tiles FROM orders WHERE id = $1"
	plain := connectURL(site, key.Plaintext, "")
	withToken := connectURL(site, key.Plaintext, "&bronzeloft.token=")
	direct := fmt.Sprintf("postgres://bronzeloft:%s@%s/main?sslmode=disable", loopback.DatabasePassword, site.Databases["orders-1"].Addr())
	c.StatementMicros = map[string]float64{}
	for _, run := range []struct{ name, url, sql string }{
		{"direct", direct, sql},
		{"aged read", withToken, "/*request='order.browse'*/ " + sql},
		{"fresh read", plain, "/*request='order.read'*/ " + sql},
		{"primary", plain, sql},
	} {
		if c.StatementMicros[run.name], err = statementCPU(ctx, run.url, run.sql); err != nil {
			return err
		}
	}
	return nil
}

// statementWorkers is the number of callers that send concurrently. With many,
// concurrent fresh reads share one confirmation of the position to reach, as they do
// under load.
const statementWorkers = 32

// statementCPU sends sql statementRuns times, from statementWorkers connections, and
// returns the processor time per statement in microseconds.
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
	var remaining atomic.Int64
	remaining.Store(statementRuns)
	errs := make(chan error, statementWorkers)
	before := cpuTime()
	for _, conn := range conns {
		go func() {
			var n int
			for remaining.Add(-1) >= 0 {
				if err := conn.QueryRow(ctx, sql, 1).Scan(&n); err != nil {
					errs <- err
					return
				}
			}
			errs <- nil
		}()
	}
	for range conns {
		if err := <-errs; err != nil {
			return 0, err
		}
	}
	return float64((cpuTime() - before).Microseconds()) / statementRuns, nil
}

// groups measures, per idle served group, the processor time, the bytes received by
// databases and the memory.
func (c *Capacity) groups(ctx context.Context) error {
	var x, cpu, in, memory []float64
	for _, n := range groupCounts {
		var received atomic.Int64
		memoryBefore := memoryInUse()
		site, _, err := startSite(ctx, n, func(b []byte) { received.Add(int64(len(b))) })
		if err != nil {
			return err
		}
		time.Sleep(time.Second)
		bytesBefore, cpuBefore := received.Load(), cpuTime()
		time.Sleep(idleWindow)
		x = append(x, float64(n))
		cpu = append(cpu, float64((cpuTime()-cpuBefore).Milliseconds())/idleWindow.Seconds())
		in = append(in, float64(received.Load()-bytesBefore)/idleWindow.Seconds())
		memory = append(memory, float64(memoryInUse()-memoryBefore))
		site.Close()
	}
	c.GroupMillis, c.GroupBytesIn, c.GroupMemory = slope(x, cpu), slope(x, in), slope(x, memory)
	return nil
}
