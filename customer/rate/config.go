package rate

import (
	"time"

	"github.com/bronzeloft/bronzeloft/internal/defaults"
)

// Sizes of a Table.
const (
	// MaxCustomers bounds the customers of one Table. Requests of further
	// customers are refused.
	MaxCustomers = 16384
	// MaxWaiters bounds the waiting requests of one customer. Further requests
	// are refused.
	MaxWaiters = 512
	// MaxLoans bounds the loans of one customer that a host has given and still
	// tracks. Further loan requests are granted nothing.
	MaxLoans = 512
	// MaxBorrowed bounds the loans of one customer that a host holds or has
	// requested. At the bound it requests no more.
	MaxBorrowed = 128
)

// Default timing.
const (
	DefaultLoanTerm   = time.Second
	DefaultAskTimeout = 25 * time.Millisecond
	DefaultMaxWait    = 500 * time.Millisecond
	DefaultIdleReturn = 50 * time.Millisecond
	DefaultMinPause   = 5 * time.Millisecond
	DefaultMaxPause   = 160 * time.Millisecond
)

// marginDivisor sets the margin, one over marginDivisor of a loan's term, that
// a lender adds for clocks that run at different speeds.
const marginDivisor = 16

// Config names a host and sets its timing. Zero durations take the defaults.
type Config struct {
	Self       string // own peer address, as the roster names it
	DataCentre string
	BootID     string    // differs between runs of a process at one address
	Started    time.Time // start of this process

	LoanTerm   time.Duration // lifetime of a loan; the same on every host
	AskTimeout time.Duration // a peer that does not answer within this time is skipped for a while
	MaxWait    time.Duration // a request waits at most this long for a token
	IdleReturn time.Duration // a loan unused this long is returned
	// MinPause is the first pause between rounds of loan requests once every peer
	// in turn has lent nothing; the pause then doubles up to MaxPause. Otherwise it
	// may be as short as an eighth of MinPause, and a loan cuts it short.
	MinPause time.Duration
	MaxPause time.Duration
	// ConfirmTerm is how long the standing shares are used after the last answers
	// of hosts that follow the same roster; the same on every host. Zero means
	// standing.DefaultConfirmTerm.
	ConfirmTerm time.Duration
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.LoanTerm, DefaultLoanTerm)
	defaults.Set(&c.AskTimeout, DefaultAskTimeout)
	defaults.Set(&c.MaxWait, DefaultMaxWait)
	defaults.Set(&c.IdleReturn, DefaultIdleReturn)
	defaults.Set(&c.MinPause, DefaultMinPause)
	defaults.Set(&c.MaxPause, DefaultMaxPause)
	return c
}

// lenderTerm is how long a lender counts a loan of the given term as
// outstanding.
func lenderTerm(term time.Duration) time.Duration {
	return term + term/marginDivisor
}
