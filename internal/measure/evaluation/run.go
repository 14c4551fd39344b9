package evaluation

import (
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bronzeloft/bronzeloft/internal/matrix"
)

// Plan sets the seed, the simulated durations and the numbers of the runs.
type Plan struct {
	Seed          uint64        `json:"seed"`
	FailoverRuns  int           `json:"failoverRuns"`   // runs of each kind of loss; run i has seed i, from 1
	ReadTime      time.Duration `json:"readTimeNs"`     // of each run that measures reads
	QuietTime     time.Duration `json:"quietTimeNs"`    // with jitter and pauses, but no loss of a primary
	CustomerTime  time.Duration `json:"customerTimeNs"` // of each run that measures customers
	Outage        bool          `json:"platformOutage"` // include rate.Outage
	ReplicaWait   time.Duration `json:"replicaWaitNs"`  // how long a read waits for a replica that can serve it
	parallelTasks int           // maximum number of tasks that run at the same time
}

// Full returns the plan of a full run.
func Full() Plan {
	return Plan{
		Seed:          1,
		FailoverRuns:  60,
		ReadTime:      10 * time.Second,
		QuietTime:     10 * time.Minute,
		CustomerTime:  120 * time.Second,
		Outage:        true,
		ReplicaWait:   5 * time.Millisecond,
		parallelTasks: 4,
	}
}

// Quick returns the plan of a short run, which omits the platform's outage.
func Quick() Plan {
	p := Full()
	p.FailoverRuns = 3
	p.ReadTime = time.Second
	p.QuietTime = time.Minute
	p.Outage = false
	return p
}

// Results holds the results of one run of a plan.
type Results struct {
	Plan      Plan                  `json:"plan"`
	Sizes     []Size                `json:"sizes"`
	Reads     []matrix.ReplicaShare `json:"reads"`
	Failovers []matrix.Failover     `json:"failovers"`
	Quiet     []matrix.Stability    `json:"quiet"` // runs in which no primary is lost
	Customers []CustomerRun         `json:"customers"`
	Refusals  []Refusals            `json:"refusals"`
}

// Size describes the size of one deployment.
type Size struct {
	matrix.Site
	Services  int `json:"services"`
	Databases int `json:"databasesPerService"`
	Slots     int `json:"slotsPerDatabase"`
	Customers int `json:"customers"`
}

// Sizes returns the sizes of both deployments.
func Sizes() []Size {
	return []Size{
		{Site: matrix.Sites[0], Services: 3, Databases: 3, Slots: 5, Customers: 8},
		{Site: matrix.Sites[1], Services: 3, Databases: 3, Slots: 3, Customers: 8},
	}
}

// Run runs all measurements of a plan at the sizes of both deployments.
func Run(p Plan) Results { return run(p, Sizes()) }

func run(p Plan, sizes []Size) Results {
	r := Results{Plan: p, Sizes: sizes}
	var tasks []func()
	for _, size := range r.Sizes {
		tasks = append(tasks, r.readTasks(size)...)
		tasks = append(tasks, r.failoverTasks(size)...)
		tasks = append(tasks, r.customerTasks(size)...)
		tasks = append(tasks, r.refusalTasks(size)...)
	}
	var g errgroup.Group
	g.SetLimit(max(1, p.parallelTasks))
	for _, task := range tasks {
		g.Go(func() error {
			task()
			return nil
		})
	}
	_ = g.Wait()
	return r
}

// addTask appends an element to list and returns a task that sets it, so that the
// order of results does not depend on the order in which tasks end. All elements must
// be appended before the first task starts.
func addTask[T any](list *[]T, run func() T) func() {
	i := len(*list)
	*list = append(*list, *new(T))
	return func() { (*list)[i] = run() }
}
