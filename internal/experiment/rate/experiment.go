// Package rate compares ways of holding customers to their rate and burst over
// a fleet, in simulated time and with fixed seeds.
package rate

import (
	"time"

	"github.com/bronzeloft/bronzeloft/contract"
)

// Way is a way of dividing rate and burst.
type Way string

// The ways.
const (
	EvenSplit Way = "even split"  // every host has an equal part for good
	HomeHost  Way = "home host"   // one leased home per customer and data centre grants tokens
	Shares    Way = "shares+loan" // standing shares with loans: package customer/rate
)

// Case is a load with a fault.
type Case string

// The cases.
const (
	Even        Case = "even load"
	Skew        Case = "all on one host"
	Tenfold     Case = "one customer at ten times its rate"
	HostLoss    Case = "host lost and replaced"
	Cut         Case = "data centre cut off"
	Outage      Case = "platform out for ten minutes"
	PausedHost  Case = "host paused for 5 s"
	faultAt          = 20 * time.Second
	faultEnd         = 40 * time.Second
	pauseEnd         = faultAt + 5*time.Second
	replacedAt       = faultAt + 3*time.Second
	warmUp           = 10 * time.Second
	defaultTime      = 60 * time.Second
	outageTime       = 11 * time.Minute
	askDeadline      = 5 * time.Second
	tenfold          = 10
	usualLoad        = 0.7 // of a customer's rate
	leaseTerm        = 10 * time.Second
	grantTokens      = 4 // asked of a home at once
	messageSize      = 90
)

// Cases lists all cases.
func Cases() []Case {
	return []Case{Even, Skew, Tenfold, HostLoss, Cut, Outage, PausedHost}
}

// Config is one run.
type Config struct {
	Way       Way
	Case      Case
	Hosts     int
	DCs       int
	OneWay    time.Duration // between data centres; a quarter of it inside one
	Customers []contract.Customer
	Time      time.Duration // 0 means 60 s, or 11 min for Outage
	Seed      uint64
}

// Pluta is Plută's size: four data centres 1 ms apart, eight customers.
func Pluta(way Way, c Case) Config {
	return Config{Way: way, Case: c, Hosts: 15, DCs: 4, OneWay: time.Millisecond, Customers: customers(c), Seed: 1}
}

// Trust is the Trust's size: three data centres 0.5 ms apart, eight customers.
func Trust(way Way, c Case) Config {
	return Config{Way: way, Case: c, Hosts: 14, DCs: 3, OneWay: 500 * time.Microsecond, Customers: customers(c), Seed: 2}
}

// customers returns eight customers, every fourth of them large; two for the
// long run of Outage.
func customers(c Case) []contract.Customer {
	n := 8
	if c == Outage {
		n = 2
	}
	out := make([]contract.Customer, n)
	for i := range out {
		out[i] = contract.Customer{ID: string(rune('a' + i)), Rate: 40, Burst: 40}
		if i%4 == 0 {
			out[i].Rate, out[i].Burst = 200, 200
		}
	}
	return out
}

// Result is what one run measured, after a warm-up.
type Result struct {
	Way             Way
	Case            Case
	Hosts           int
	Asked           int
	Admitted        int
	Central         int     // admitted by one bucket for the whole fleet on the same arrivals
	Overshoot       float64 // requests, the most over any window and customer
	WrongfulPercent float64 // admitted too few, of Central
	MessagesPerSec  float64 // sent per host
	BytesPerSec     float64 // sent per host
	CPUPercent      float64 // of one core per host, in table calls; Shares only
}

// Run simulates one configuration.
func Run(cfg Config) Result {
	if cfg.Time == 0 {
		cfg.Time = defaultTime
		if cfg.Case == Outage {
			cfg.Time = outageTime
		}
	}
	s := newSim(cfg)
	s.run()
	return s.result()
}
