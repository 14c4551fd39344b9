package datacentre

import (
	"math/rand/v2"
	"time"

	"github.com/bronzeloft/bronzeloft/internal/defaults"
)

// Config holds the settings of a Table. Zero values are replaced by the defaults.
type Config struct {
	Self       string // IP:port of this host's peer listener
	DataCentre string
	BootID     string
	Seeds      []string // IP:port of hosts to contact first, in any data centre
	Timing     Timing
	Limits     Limits
	InForce    *Configuration // if nil, a new configuration without a limit on its age
	Rand       *rand.Rand     // jitter of digests; if nil, seeded from Self and BootID
}

// Timing holds the durations of a Table.
type Timing struct {
	DigestEvery         time.Duration // interval of the regular digests
	SilentAfter         time.Duration // a peer in direct contact is lost after this time without a message
	IndirectLifetime    time.Duration // a member seen only by other hosts is considered alive for this long
	ForgetAfter         time.Duration // a silent member that no list names is removed after this time
	FirstContactTimeout time.Duration // time limit for the first contact with a member, from the first dial
	ProbeEvery          time.Duration // interval at which the selection of lost members to dial changes
	FetchTimeout        time.Duration // time limit for a peer's reply to a snapshot request
	SettleFor           time.Duration // time after start before this host may watch the platform
	EscalateEvery       time.Duration // one more watcher for each such period without a confirmation
}

// Limits holds the sizes of a Table.
type Limits struct {
	Members          int // maximum number of known hosts
	Groups           int // maximum number of known group views
	FullMesh         int // a fleet of at most this many hosts is a full mesh
	LocalMesh        int // a data centre of at most this many hosts is a full mesh
	RemoteCentres    int // other data centres in which one host keeps peers; more if its own data centre has few hosts
	RemotePeers      int // peers in each of these data centres
	Probes           int // maximum number of lost members dialed at the same time, and also of members of unknown data centre
	DigestPeers      int // maximum number of digests sent at a time
	MembersPerDigest int // members in a digest, or up to four times as many if that many changed
	GroupsPerDigest  int // changed group views in a digest, besides the one in rotation
	Watchers         int // hosts of a data centre that watch the platform
	MaxWatchers      int // maximum number of them while the last confirmation is old
}

// Default durations and limits.
const (
	DefaultDigestEvery         = 500 * time.Millisecond
	DefaultSilentAfter         = 2500 * time.Millisecond
	DefaultIndirectLifetime    = 5 * time.Minute
	DefaultForgetAfter         = 10 * time.Minute
	DefaultFirstContactTimeout = 5 * time.Second
	DefaultProbeEvery          = 3 * time.Second
	DefaultFetchTimeout        = 700 * time.Millisecond
	DefaultSettleFor           = 1500 * time.Millisecond
	DefaultEscalateEvery       = 3 * time.Second

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
	defaults.Set(&t.IndirectLifetime, DefaultIndirectLifetime)
	defaults.Set(&t.ForgetAfter, DefaultForgetAfter)
	defaults.Set(&t.FirstContactTimeout, DefaultFirstContactTimeout)
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
		c.InForce = NewConfiguration(0)
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(keyedHash("digest", c.Self), keyedHash("digest", c.BootID)))
	}
	return c
}
