package datacentre

import (
	"math/rand/v2"
	"time"

	"github.com/bronzeloft/bronzeloft/internal/defaults"
)

// Config is the settings of a Table. Zero values take the defaults.
type Config struct {
	Self       string // IP:port of this host's peer listener
	DataCentre string
	BootID     string
	Seeds      []string // IP:port of hosts to try first, of any data centre
	Timing     Timing
	Limits     Limits
	InForce    *Configuration // a new one when nil
	Rand       *rand.Rand     // spreads digests in time; seeded from Self and BootID when nil
}

// Timing holds the durations of a Table.
type Timing struct {
	DigestEvery   time.Duration // between two digests to one peer
	SilentAfter   time.Duration // a peer in direct contact counts as lost after this silence
	VouchedFor    time.Duration // others' news of a member counts for this long
	ForgetAfter   time.Duration // a silent member that no list names is removed
	HopeFor       time.Duration // a member never heard counts as a candidate for this long
	ProbeEvery    time.Duration // lost members are tried in turn, changing this often
	FetchTimeout  time.Duration // for the answer of one peer to a snapshot request
	SettleFor     time.Duration // after a start, before this host watches the platform
	EscalateEvery time.Duration // of old news, for each further watcher
}

// Limits holds the sizes of a Table.
type Limits struct {
	Members          int // known hosts
	Groups           int // known group views
	FullMesh         int // hosts of a fleet in which everyone is a peer
	LocalMesh        int // hosts of a data centre in which everyone is a peer
	RemoteCentres    int // other data centres that one host keeps peers in
	RemotePeers      int // peers in each of them
	Probes           int // lost members tried at once
	DigestPeers      int // digests sent per turn
	MembersPerDigest int // news in turn; changed members may take four times as many
	GroupsPerDigest  int // changed group views, besides the one in turn
	Watchers         int // hosts of a data centre that watch the platform
	MaxWatchers      int // the same when news is old
}

// Default durations and limits.
const (
	DefaultDigestEvery   = 500 * time.Millisecond
	DefaultSilentAfter   = 2500 * time.Millisecond
	DefaultVouchedFor    = 5 * time.Minute
	DefaultForgetAfter   = 10 * time.Minute
	DefaultHopeFor       = 5 * time.Second
	DefaultProbeEvery    = 3 * time.Second
	DefaultFetchTimeout  = 700 * time.Millisecond
	DefaultSettleFor     = 1500 * time.Millisecond
	DefaultEscalateEvery = 3 * time.Second

	DefaultMembers          = 8192
	DefaultGroups           = 8192
	DefaultFullMesh         = 24
	DefaultLocalMesh        = 16
	DefaultRemoteCentres    = 4
	DefaultRemotePeers      = 1
	DefaultProbes           = 4
	DefaultDigestPeers      = 28
	DefaultMembersPerDigest = 2
	DefaultGroupsPerDigest  = 8
	DefaultWatchers         = 2
	DefaultMaxWatchers      = 8
)

func (t Timing) withDefaults() Timing {
	defaults.Set(&t.DigestEvery, DefaultDigestEvery)
	defaults.Set(&t.SilentAfter, DefaultSilentAfter)
	defaults.Set(&t.VouchedFor, DefaultVouchedFor)
	defaults.Set(&t.ForgetAfter, DefaultForgetAfter)
	defaults.Set(&t.HopeFor, DefaultHopeFor)
	defaults.Set(&t.ProbeEvery, DefaultProbeEvery)
	defaults.Set(&t.FetchTimeout, DefaultFetchTimeout)
	defaults.Set(&t.SettleFor, DefaultSettleFor)
	defaults.Set(&t.EscalateEvery, DefaultEscalateEvery)
	return t
}

func (l Limits) withDefaults() Limits {
	defaults.Set(&l.Members, DefaultMembers)
	defaults.Set(&l.Groups, DefaultGroups)
	defaults.Set(&l.FullMesh, DefaultFullMesh)
	defaults.Set(&l.LocalMesh, DefaultLocalMesh)
	defaults.Set(&l.RemoteCentres, DefaultRemoteCentres)
	defaults.Set(&l.RemotePeers, DefaultRemotePeers)
	defaults.Set(&l.Probes, DefaultProbes)
	defaults.Set(&l.DigestPeers, DefaultDigestPeers)
	defaults.Set(&l.MembersPerDigest, DefaultMembersPerDigest)
	defaults.Set(&l.GroupsPerDigest, DefaultGroupsPerDigest)
	defaults.Set(&l.Watchers, DefaultWatchers)
	defaults.Set(&l.MaxWatchers, DefaultMaxWatchers)
	return l
}

func (c Config) withDefaults() Config {
	c.Timing = c.Timing.withDefaults()
	c.Limits = c.Limits.withDefaults()
	if c.InForce == nil {
		c.InForce = NewConfig(0)
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(score("digest", c.Self), score("digest", c.BootID)))
	}
	return c
}
