package datacentre_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bronzeloft/bronzeloft/contract"
	"github.com/bronzeloft/bronzeloft/datacentre"
	"github.com/bronzeloft/bronzeloft/link/peerpb"
	"github.com/bronzeloft/bronzeloft/objectapi"
)

const (
	simStep  = 20 * time.Millisecond
	pollStep = 300 * time.Millisecond // between a watcher's platform calls
	nearby   = time.Millisecond       // one way, within a data centre
	remote   = 15 * time.Millisecond  // one way, between data centres

	// The mesh dials again after this time and up to the spread more.
	redialMin    = 50 * time.Millisecond
	redialSpread = 1500 * time.Millisecond
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// sim is a fleet in one process: real tables, fake links, fake time.
type sim struct {
	now      time.Time
	rng      *rand.Rand
	hosts    []*simHost
	byAddr   map[string]*simHost
	linked   map[pairOf]bool
	redialAt map[pairOf]time.Time // when a broken link may be up again
	mail     []letter
	cut      func(a, b *simHost) bool // true: nothing passes from a to b
	platform simPlatform
	limits   datacentre.Limits
	loss     float64                         // share of messages lost
	drop     func(env *peerpb.Envelope) bool // a fault that heal ends
	mute     func(env *peerpb.Envelope) bool // a broken mechanism, for good
	onStart  func(h *simHost)
	sent     int
	calls    int
	faults   []string // what the oracle found
}

type simPlatform struct {
	down    bool
	version uint64
	lag     uint64 // versions by which reads lag
	blocked map[*simHost]bool
}

type simHost struct {
	address string
	centre  string
	boot    int
	table   *datacentre.Table
	down    bool
	frozen  bool
	polled  time.Time
	highest uint64 // of this boot, for the oracle
	queue   []letter
}

type pairOf struct{ a, b string }

type letter struct {
	at       time.Time
	from, to string
	boots    [2]int
	deliver  func(to *simHost)
}

func newSim(seed uint64, centres, perCentre int, limits datacentre.Limits) *sim {
	s := &sim{
		now:      epoch,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		byAddr:   make(map[string]*simHost),
		linked:   make(map[pairOf]bool),
		redialAt: make(map[pairOf]time.Time),
		cut:      func(_, _ *simHost) bool { return false },
		platform: simPlatform{blocked: make(map[*simHost]bool)},
		limits:   limits,
	}
	for c := range centres {
		for h := range perCentre {
			host := &simHost{address: fmt.Sprintf("10.0.%d.%d:7000", c, h), centre: fmt.Sprintf("dc%d", c)}
			s.hosts = append(s.hosts, host)
			s.byAddr[host.address] = host
		}
	}
	for _, h := range s.hosts {
		s.start(h)
	}
	return s
}

// start boots a host that keeps nothing; it knows two seeds.
func (s *sim) start(h *simHost) {
	h.boot++
	h.down = false
	h.frozen = false
	h.highest = 0
	h.queue = nil
	h.table = datacentre.New(datacentre.Config{
		Self:       h.address,
		DataCentre: h.centre,
		BootID:     fmt.Sprintf("%s#%d", h.address, h.boot),
		Seeds:      []string{s.hosts[0].address, s.hosts[len(s.hosts)/2].address},
		Limits:     s.limits,
		Rand:       rand.New(rand.NewPCG(uint64(h.boot), s.rng.Uint64())),
	})
	if s.onStart != nil {
		s.onStart(h)
	}
	for pair := range s.linked {
		if pair.a == h.address || pair.b == h.address {
			delete(s.linked, pair)
		}
	}
}

func (s *sim) snapshot(version uint64) *contract.Snapshot {
	return &contract.Snapshot{Version: version}
}

// publish makes a version the platform's newest.
func (s *sim) publish() uint64 {
	s.platform.version++
	return s.platform.version
}

// list gives every running host the platform's list, which names all hosts.
func (s *sim) list() {
	var list []objectapi.HostState
	for _, h := range s.hosts {
		list = append(list, objectapi.HostState{Address: h.address, DataCentre: h.centre})
	}
	for _, h := range s.hosts {
		if !h.down {
			h.table.ObserveList(list, s.now)
		}
	}
}

func (s *sim) connected(a, b *simHost) bool {
	return !a.down && !b.down && !a.frozen && !b.frozen && !s.cut(a, b) && !s.cut(b, a)
}

// relink plays the mesh: a connection exists when one end wants it.
func (s *sim) relink() {
	wanted := make(map[pairOf]bool, len(s.linked))
	var fresh []pairOf
	for _, h := range s.hosts {
		if h.down || h.frozen {
			continue
		}
		for _, address := range h.table.Peers(s.now) {
			other := s.byAddr[address]
			if other == nil {
				continue
			}
			pair := pairOf{min(h.address, address), max(h.address, address)}
			if s.connected(h, other) {
				if !wanted[pair] && !s.linked[pair] {
					fresh = append(fresh, pair)
				}
				wanted[pair] = true
			} else {
				s.redialAt[pair] = s.now.Add(redialMin + time.Duration(s.rng.Int64N(int64(redialSpread))))
			}
		}
	}
	for pair := range s.linked {
		if !wanted[pair] {
			delete(s.linked, pair)
			s.redialAt[pair] = s.now.Add(redialMin)
		}
	}
	for _, pair := range fresh {
		if at, broken := s.redialAt[pair]; broken && s.now.Before(at) {
			continue
		}
		delete(s.redialAt, pair)
		s.linked[pair] = true
		a, b := s.byAddr[pair.a], s.byAddr[pair.b]
		a.table.ObserveHello(b.address, b.centre, bootOf(b), s.now)
		b.table.ObserveHello(a.address, a.centre, bootOf(a), s.now)
	}
}

func bootOf(h *simHost) string { return h.table.Config().BootID }

// post sends something from one host to another, if they are connected.
func (s *sim) post(from, to *simHost, deliver func(*simHost)) {
	if !s.linked[pairOf{min(from.address, to.address), max(from.address, to.address)}] {
		return
	}
	s.sent++
	if s.loss > 0 && s.rng.Float64() < s.loss {
		return
	}
	delay := nearby
	if from.centre != to.centre {
		delay = remote
	}
	s.mail = append(s.mail, letter{
		at:      s.now.Add(delay),
		from:    from.address,
		to:      to.address,
		boots:   [2]int{from.boot, to.boot},
		deliver: deliver,
	})
}

// act carries out a table's output.
func (s *sim) act(h *simHost, out datacentre.Output) {
	for _, send := range out.Send {
		to := s.byAddr[send.To]
		if to == nil || (s.drop != nil && s.drop(send.Env)) || (s.mute != nil && s.mute(send.Env)) {
			continue
		}
		env := proto.Clone(send.Env).(*peerpb.Envelope)
		s.post(h, to, func(to *simHost) { s.receive(to, h.address, env) })
	}
	if out.FetchFrom != "" {
		s.fetch(h, s.byAddr[out.FetchFrom])
	}
}

func (s *sim) receive(to *simHost, from string, env *peerpb.Envelope) {
	if digest := env.GetDigest(); digest != nil {
		s.act(to, to.table.HandleDigest(from, digest, s.now))
	}
	if leaving := env.GetLeaving(); leaving != nil {
		to.table.Leaving(leaving.GetAddress())
	}
}

// fetch plays the snapshot request; a lost message is never answered.
func (s *sim) fetch(h, from *simHost) {
	request := h.table.InForce().Request()
	s.post(h, from, func(from *simHost) {
		reply, err := from.table.InForce().Reply(request)
		if err != nil {
			s.faults = append(s.faults, err.Error())
			return
		}
		s.post(from, h, func(h *simHost) {
			snap, err := h.table.InForce().Decode(reply)
			if err != nil {
				snap = nil
			}
			s.act(h, h.table.HandleSnapshot(from.address, snap, s.now))
		})
	})
}

// poll plays a watcher's platform call, which takes no time.
func (s *sim) poll(h *simHost) {
	if s.now.Sub(h.polled) < pollStep || !h.table.IsWatcher(s.now) {
		return
	}
	h.polled = s.now
	s.calls++
	if s.platform.down || s.platform.blocked[h] || s.platform.version == 0 {
		return
	}
	version := s.platform.version - min(s.platform.lag, s.platform.version-1)
	h.table.InForce().Offer(s.snapshot(version), "platform", s.now)
	h.table.InForce().Confirm(version, s.now)
}

func (s *sim) step() {
	s.now = s.now.Add(simStep)
	s.relink()
	s.deliver()
	for _, h := range s.hosts {
		if h.down || h.frozen {
			continue
		}
		s.poll(h)
		s.act(h, h.table.Tick(s.now))
	}
	s.check()
}

// deliver hands over what is due; in flight messages of a cut link or another
// boot are lost, those to a frozen host wait.
func (s *sim) deliver() {
	for {
		i := slices.IndexFunc(s.mail, func(l letter) bool { return !l.at.After(s.now) })
		if i < 0 {
			return
		}
		l := s.mail[i]
		s.mail = slices.Delete(s.mail, i, i+1)
		from, to := s.byAddr[l.from], s.byAddr[l.to]
		switch {
		case to.down || l.boots != [2]int{from.boot, to.boot} || s.cut(from, to):
		case to.frozen:
			to.queue = append(to.queue, l)
		default:
			l.deliver(to)
		}
	}
}

// thaw wakes a frozen host, which first reads what has waited.
func (s *sim) thaw(h *simHost) {
	h.frozen = false
	for _, l := range h.queue {
		if s.byAddr[l.from].boot == l.boots[0] {
			l.deliver(h)
		}
	}
	h.queue = nil
}

// check is the oracle: within one boot the version in force never falls, and
// it is never one that was not published.
func (s *sim) check() {
	for _, h := range s.hosts {
		version := h.table.InForce().Version()
		if version < h.highest {
			s.faults = append(s.faults, fmt.Sprintf("%s went from %d to %d", h.address, h.highest, version))
		}
		if version > s.platform.version {
			s.faults = append(s.faults, fmt.Sprintf("%s runs %d, never published", h.address, version))
		}
		h.highest = version
	}
}

func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

// until runs until done, at most for the limit, and returns how long it took.
func (s *sim) until(limit time.Duration, done func() bool) (time.Duration, bool) {
	began := s.now
	for s.now.Sub(began) < limit {
		if done() {
			return s.now.Sub(began), true
		}
		s.step()
	}
	return limit, done()
}

// allAt reports whether every running host that pick accepts runs the version.
func (s *sim) allAt(version uint64, pick func(*simHost) bool) func() bool {
	return func() bool {
		for _, h := range s.hosts {
			if !h.down && !h.frozen && (pick == nil || pick(h)) && h.table.InForce().Version() != version {
				return false
			}
		}
		return true
	}
}

func (s *sim) watchers(centre string) []*simHost {
	var list []*simHost
	for _, h := range s.hosts {
		if !h.down && !h.frozen && h.centre == centre && h.table.IsWatcher(s.now) {
			list = append(list, h)
		}
	}
	return list
}
