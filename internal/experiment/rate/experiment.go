// Package rate compares ways of enforcing customers' rate and burst across a fleet
// of hosts, in simulated time and with fixed seeds.
package rate

import (
	"time"

	"github.com/bronzeloft/bronzeloft/contract"
)

// Way is a way of dividing a customer's rate and burst among hosts.
type Way string

// The ways. Shares is the one in use, the others are baselines.
const (
	EvenSplit Way = "even split"  // every host has an equal, fixed share
	HomeHost  Way = "home host"   // per customer and data centre, one host with a lease from the platform grants tokens
	Shares    Way = "shares+loan" // standing shares with loans, as in package customer/rate
)

// Case is a load pattern, in some cases with a fault.
type Case string

// The cases, followed by the parameters that they share. The times of faults and the
// warm-up count from the start of the run.
const (
	Even            Case = "even load"
	Skew            Case = "all on one host"
	Tenfold         Case = "one customer at ten times its rate"
	HostLoss        Case = "host lost and replaced"
	Cut             Case = "data centre cut off"
	Outage          Case = "platform out for ten minutes"
	PausedHost      Case = "host paused for 5 s"
	faultAt              = 20 * time.Second
	faultEnd             = 40 * time.Second // of Cut
	pauseEnd             = faultAt + 5*time.Second
	replacedAt           = faultAt + 3*time.Second
	warmUp               = 10 * time.Second // no requests arrive before
	defaultTime          = 60 * time.Second
	outageTime           = 11 * time.Minute
	requestDeadline      = 5 * time.Second
	tenfold              = 10  // load of the customer that exceeds its rate, as a multiple of it
	usualLoad            = 0.7 // as a multiple of a customer's rate
	leaseTerm            = 10 * time.Second
	grantTokens          = 4  // the most that a home host grants at once
	messageSize          = 90 // bytes, of the messages of HomeHost
)

// Cases lists all cases.
func Cases() []Case {
	return []Case{Even, Skew, Tenfold, HostLoss, Cut, Outage, PausedHost}
}

// Config describes one run. Times are simulated.
type Config struct {
	Way       Way
	Case      Case
	Hosts     int
	DCs       int           // number of data centres
	OneWay    time.Duration // network delay between data centres; a quarter of it within one
	Customers []contract.Customer
	Time      time.Duration // 0 means 60 s, or 11 min for Outage
	Seed      uint64
}

// Pluta returns the Config of a run at the size of the deployment Plută: 15 hosts in
// four data centres 1 ms apart, eight customers (two for Outage).
func Pluta(way Way, c Case) Config {
	return Config{Way: way, Case: c, Hosts: 15, DCs: 4, OneWay: time.Millisecond, Customers: customers(c), Seed: 1}
}

// Trust returns the Config of a run at the size of the deployment Trust: 14 hosts in
// three data centres 0.5 ms apart, eight customers (two for Outage).
func Trust(way Way, c Case) Config {
	return Config{Way: way, Case: c, Hosts: 14, DCs: 3, OneWay: 500 * time.Microsecond, Customers: customers(c), Seed: 2}
}

// customers returns eight customers, of which every fourth is large. For Outage,
// whose run is long, it returns two.
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

// Result holds the figures of one run. Requests arrive after a warm-up, but the rates
// per second are means over the whole run.
type Result struct {
	Way             Way
	Case            Case
	Hosts           int
	Asked           int // requests that arrived
	Admitted        int
	Central         int     // admitted by a single bucket for the whole fleet, on the same arrivals
	Overshoot       float64 // requests admitted beyond rate and burst; maximum over all windows and customers
	WrongfulPercent float64 // shortfall of Admitted against Central, in percent of Central; 0 if there is none
	MessagesPerSec  float64 // sent per host
	BytesPerSec     float64 // sent per host
	CPUPercent      float64 // wall-clock time in calls of the rate table, per host, in percent of the simulated time; Shares only
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
