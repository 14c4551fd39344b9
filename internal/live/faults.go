package live

import (
	"context"
	"time"
)

// Parameters of faults.
const (
	slowDatabase   = 30 * time.Millisecond  // delay of a slow database
	slowPlatform   = 300 * time.Millisecond // delay of a slow platform
	freezeDuration = 350 * time.Millisecond // of "freeze and wake primary"
	lostAnswers    = 3                      // answers that the platform loses
	faultedHost    = 1                      // index of the host that faults affect
	replaceTimeout = 10 * time.Second
)

// Fault is a fault that can be injected into a running site.
type Fault struct {
	Name  string
	Start func(r *Rig) (stop func() error) // stop heals the fault
}

// Faults returns the faults of the matrix.
func Faults() []Fault {
	killPrimary := Fault{"kill primary", func(r *Rig) func() error {
		db := r.Primary()
		db.Kill()
		return db.Restart
	}}
	freezePrimary := Fault{"freeze primary", func(r *Rig) func() error {
		db := r.Primary()
		db.Freeze()
		return withoutError(db.Thaw)
	}}
	// New connections are answered, so there is nothing to heal.
	silentConnections := Fault{"silent connections to databases", func(r *Rig) func() error {
		for _, db := range r.Site.Databases {
			db.SetSilent(true)
		}
		return withoutError(func() {})
	}}
	platformDown := Fault{"platform down", func(r *Rig) func() error {
		r.Platform.SetDown(true)
		return withoutError(func() { r.Platform.SetDown(false) })
	}}
	return []Fault{
		killPrimary,
		freezePrimary,
		{"freeze and wake primary", func(r *Rig) func() error {
			db := r.Primary()
			db.Freeze()
			timer := time.AfterFunc(freezeDuration, db.Thaw)
			return withoutError(func() {
				timer.Stop()
				db.Thaw()
			})
		}},
		{"cut replication of one replica", func(r *Rig) func() error {
			db := r.Replicas()[0]
			db.SetReplicationCut(true)
			return withoutError(func() { db.SetReplicationCut(false) })
		}},
		{"cut replication of all replicas", func(r *Rig) func() error {
			for _, db := range r.Site.Databases {
				db.SetReplicationCut(true)
			}
			return withoutError(func() {
				for _, db := range r.Site.Databases {
					db.SetReplicationCut(false)
				}
			})
		}},
		silentConnections,
		{"slow database", func(r *Rig) func() error {
			db := r.Primary()
			db.SetDelay(slowDatabase)
			return withoutError(func() { db.SetDelay(0) })
		}},
		platformDown,
		{"platform slow", func(r *Rig) func() error {
			r.Platform.SetDelay(slowPlatform)
			return withoutError(func() { r.Platform.SetDelay(0) })
		}},
		{"platform losing answers", func(r *Rig) func() error {
			r.Platform.DropAnswers(lostAnswers)
			return withoutError(func() { r.Platform.DropAnswers(0) })
		}},
		{"platform serving stale data", func(r *Rig) func() error {
			r.Platform.ServeStale(true)
			return withoutError(func() { r.Platform.ServeStale(false) })
		}},
		{"host killed", func(r *Rig) func() error {
			r.KillHost(faultedHost)
			return func() error { return replaceFaultedHost(r) }
		}},
		{"host replaced at the same address", func(r *Rig) func() error {
			r.KillHost(faultedHost)
			err := replaceFaultedHost(r)
			return func() error { return err }
		}},
		both(platformDown, killPrimary),
		both(silentConnections, freezePrimary),
	}
}

// withoutError adapts a function that cannot fail to the type of a fault's stop.
func withoutError(f func()) func() error {
	return func() error {
		f()
		return nil
	}
}

func replaceFaultedHost(r *Rig) error {
	ctx, cancel := context.WithTimeout(context.Background(), replaceTimeout)
	defer cancel()
	return r.Replace(ctx, faultedHost)
}

// both returns a fault that combines two.
func both(a, b Fault) Fault {
	return Fault{a.Name + " and " + b.Name, func(r *Rig) func() error {
		stopA, stopB := a.Start(r), b.Start(r)
		return func() error {
			if err := stopB(); err != nil {
				return err
			}
			return stopA()
		}
	}}
}
