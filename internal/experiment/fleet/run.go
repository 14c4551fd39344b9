package fleet

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bronzeloft/bronzeloft/link/peer"
	"github.com/bronzeloft/bronzeloft/link/peerpb"
	"github.com/bronzeloft/bronzeloft/objectapi"
)

// Config describes one run. Zero numbers and durations, other than Customers and Seed,
// are replaced by the defaults.
type Config struct {
	Hosts        int           `json:"hosts"`
	Centres      int           `json:"centres"`
	TLS          bool          `json:"tls"`
	WatchPerHost bool          `json:"watchPerHost"` // the baseline: every host watches the platform
	Services     int           `json:"services"`     // in the configuration
	Customers    int           `json:"customers"`    // replaced by its default if Services is 0
	Changes      int           `json:"changes"`      // number of versions published, one after the other
	Settle       time.Duration `json:"settleNs"`     // wait for the peers to connect, before the measurements
	Window       time.Duration `json:"windowNs"`     // length of the measurement without changes
	Seed         uint64        `json:"seed"`
}

// Result holds the figures of one run. Rates are per second and host. Bytes are
// TCP payload, TLS included. Wire bytes are an estimate: they add 52 bytes of TCP/IP
// headers for each segment sent or received, and the same again for an
// acknowledgement of each in the other direction. Each read or write of a connection
// counts as one segment.
type Result struct {
	Config Config `json:"config"`

	PeersMean float64 `json:"peersMean"` // connected peers per host
	PeersMax  int     `json:"peersMax"`

	SentBytes     float64 `json:"sentBytesPerSecond"`
	ReceivedBytes float64 `json:"receivedBytesPerSecond"`
	MaxBytes      float64 `json:"maxBytesPerSecond"` // sent and received, by the busiest host
	WireBytes     float64 `json:"wireBytesPerSecond"`
	MaxWireBytes  float64 `json:"maxWireBytesPerSecond"`
	SentMessages  float64 `json:"sentMessagesPerSecond"`
	Core          float64 `json:"coreShare"` // processor seconds per host and second

	PlatformCalls  float64 `json:"platformCallsPerSecond"` // whole fleet, while nothing is published
	CallsPerChange float64 `json:"platformCallsPerChange"` // whole fleet
	BytesPerChange float64 `json:"platformBytesPerChange"` // snapshots read from the store by the whole fleet

	InForceMedian float64 `json:"inForceMedianSeconds"` // from publishing until in force, over hosts and changes
	InForceMax    float64 `json:"inForceMaxSeconds"`
	ChangeBytes   float64 `json:"peerBytesPerChange"`        // sent per host and change, beyond the steady traffic
	ChangeSeconds float64 `json:"processorSecondsPerChange"` // per host and change, beyond the steady load

	SnapshotBytes int `json:"snapshotBytes"` // whole snapshot, compressed, as sent to a host that starts

	Connections     int     `json:"connections"`         // each connection counts at both of its ends
	BytesPerConn    float64 `json:"memoryPerConnection"` // all memory that the run added, divided by Connections
	MemoryPerHost   float64 `json:"memoryPerHost"`       // the same memory, divided by Hosts
	GoroutinesTotal int     `json:"goroutines"`          // of the process, at the end of the run
}

const (
	platformDelay = 5 * time.Millisecond
	startGap      = 20 * time.Millisecond // between the starts of two hosts, because all handshakes share this machine
)

func (c Config) withDefaults() Config {
	if c.Hosts == 0 {
		c.Hosts = 15
	}
	if c.Centres == 0 {
		c.Centres = 4
	}
	if c.Services == 0 {
		c.Services, c.Customers = 3, 8
	}
	if c.Changes == 0 {
		c.Changes = 5
	}
	if c.Settle == 0 {
		c.Settle = 5 * time.Second
	}
	if c.Window == 0 {
		c.Window = 5 * time.Second
	}
	return c
}

// fleet holds the hosts of one run and the metadata store that they share.
type fleet struct {
	cfg     Config
	store   *store
	nodes   []*node
	version uint64
	cancel  context.CancelFunc
}

// Run measures one fleet. It lasts Settle plus Window, plus a short time for each
// change. It fails if a host does not start, or if a version is not in force on every
// host within inForceTimeout.
func Run(cfg Config) (Result, error) {
	cfg = cfg.withDefaults()
	before := memoryInUse()
	f, err := start(cfg)
	if err != nil {
		return Result{}, err
	}
	defer f.close()
	if err := f.settle(); err != nil {
		return Result{}, err
	}
	result := Result{Config: cfg}
	f.measureSteady(&result)
	if err := f.measureChanges(&result); err != nil {
		return result, err
	}
	reply, err := f.nodes[0].inForce.Reply(&peerpb.SnapshotRequest{})
	result.SnapshotBytes = len(reply.GetSnapshot())
	f.measureMemory(&result, before)
	return result, err
}

func start(cfg Config) (*fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{cfg: cfg, store: newStore(platformDelay), cancel: cancel}
	tlsConfig, err := newTLSConfig(cfg.TLS)
	if err != nil {
		return nil, err
	}
	var hosts []objectapi.HostState
	for i := range cfg.Hosts {
		centre := fmt.Sprintf("dc%d", i%cfg.Centres)
		n, err := newNode(f.store, centre, i, cfg, tlsConfig)
		if err != nil {
			f.close()
			return nil, eris.Wrap(err, "start host")
		}
		f.nodes = append(f.nodes, n)
		hosts = append(hosts, objectapi.HostState{Address: n.address, DataCentre: centre})
	}
	for _, n := range f.nodes {
		n.run(ctx, hosts)
		time.Sleep(startGap)
	}
	return f, nil
}

func (f *fleet) close() {
	f.cancel()
	for _, n := range f.nodes {
		n.close()
	}
}

// settle publishes the first version, waits until it is in force, and then waits
// for Settle so that the peers connect.
func (f *fleet) settle() error {
	if _, err := f.publishAndWait(); err != nil {
		return err
	}
	time.Sleep(f.cfg.Settle)
	return nil
}

const inForceTimeout = 60 * time.Second

// publishAndWait publishes a version and waits until it is in force on every host.
// It returns, in seconds, the time that each host took.
func (f *fleet) publishAndWait() ([]float64, error) {
	f.version++
	began := time.Now()
	if err := f.store.publish(sampleSnapshot(f.version, f.cfg.Services, f.cfg.Customers)); err != nil {
		return nil, err
	}
	for time.Since(began) < inForceTimeout {
		if f.allInForce(f.version) {
			return f.delays(began), nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, eris.Errorf("version %d is not in force on every host after %s", f.version, inForceTimeout)
}

func (f *fleet) allInForce(version uint64) bool {
	for _, n := range f.nodes {
		if n.inForce.Version() != version {
			return false
		}
	}
	return true
}

func (f *fleet) delays(began time.Time) []float64 {
	var delays []float64
	for _, n := range f.nodes {
		if at, ok := n.inForceSince.Load(f.version); ok {
			delays = append(delays, at.(time.Time).Sub(began).Seconds())
		}
	}
	return delays
}

func (f *fleet) stats() []peer.Stats {
	stats := make([]peer.Stats, len(f.nodes))
	for i, n := range f.nodes {
		stats[i] = n.mesh.Stats()
	}
	return stats
}

const headerBytes = 52 // IPv4 header and TCP header with timestamps

// measureSteady measures a window in which nothing is published.
func (f *fleet) measureSteady(r *Result) {
	before, calls, cpu, began := f.stats(), f.store.calls.Load(), cpuTime(), time.Now()
	time.Sleep(f.cfg.Window)
	seconds := time.Since(began).Seconds()
	hosts := float64(len(f.nodes))
	r.Core = (cpuTime() - cpu).Seconds() / seconds / hosts
	r.PlatformCalls = float64(f.store.calls.Load()-calls) / seconds
	for i, after := range f.stats() {
		sent := float64(after.SentBytes-before[i].SentBytes) / seconds
		received := float64(after.ReceivedBytes-before[i].ReceivedBytes) / seconds
		segments := float64(after.Writes-before[i].Writes+after.Reads-before[i].Reads) / seconds
		wire := sent + received + 2*headerBytes*segments
		r.SentBytes += sent / hosts
		r.ReceivedBytes += received / hosts
		r.WireBytes += wire / hosts
		r.MaxBytes = max(r.MaxBytes, sent+received)
		r.MaxWireBytes = max(r.MaxWireBytes, wire)
		r.SentMessages += float64(after.SentMessages-before[i].SentMessages) / seconds / hosts
	}
	for _, n := range f.nodes {
		peers := len(n.mesh.Peers())
		r.Connections += peers
		r.PeersMax = max(r.PeersMax, peers)
	}
	r.PeersMean = float64(r.Connections) / hosts
}

// measureMemory divides the memory that the run added by hosts and by connections.
func (f *fleet) measureMemory(r *Result, before uint64) {
	after := memoryInUse()
	used := float64(after - min(before, after))
	r.MemoryPerHost = used / float64(len(f.nodes))
	if r.Connections > 0 {
		r.BytesPerConn = used / float64(r.Connections)
	}
	r.GoroutinesTotal = runtime.NumGoroutine()
}

// measureChanges publishes cfg.Changes versions, one after the other. It subtracts
// the traffic and load that measureSteady found, so it must run after it.
func (f *fleet) measureChanges(r *Result) error {
	before, calls, bytes, began := f.stats(), f.store.calls.Load(), f.store.bytes.Load(), time.Now()
	cpu := cpuTime()
	var delays []float64
	for range f.cfg.Changes {
		hostDelays, err := f.publishAndWait()
		if err != nil {
			return err
		}
		delays = append(delays, hostDelays...)
	}
	seconds := time.Since(began).Seconds()
	changes := float64(f.cfg.Changes)
	slices.Sort(delays)
	r.InForceMedian = delays[len(delays)/2]
	r.InForceMax = delays[len(delays)-1]
	r.CallsPerChange = max(0, float64(f.store.calls.Load()-calls)-r.PlatformCalls*seconds) / changes
	r.BytesPerChange = float64(f.store.bytes.Load()-bytes) / changes
	for i, after := range f.stats() {
		sent := float64(after.SentBytes - before[i].SentBytes)
		r.ChangeBytes += sent / changes / float64(len(f.nodes))
	}
	hosts := float64(len(f.nodes))
	r.ChangeSeconds = ((cpuTime()-cpu).Seconds()/hosts - r.Core*seconds) / changes
	r.ChangeBytes = max(0, r.ChangeBytes-r.SentBytes*seconds/changes)
	return nil
}

// memoryInUse returns the bytes of heap objects and of stacks after a garbage
// collection.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC() // a sync.Pool is emptied by the second collection only
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// cpuTime returns the processor time that the process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
