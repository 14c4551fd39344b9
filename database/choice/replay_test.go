package choice_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/bronzeloft/bronzeloft/contract/routes"
	"github.com/bronzeloft/bronzeloft/database/choice"
	"github.com/bronzeloft/bronzeloft/database/lead"
	"github.com/bronzeloft/bronzeloft/database/window"
)

// replay plays a load of reads against databases with a few slots each, by events in
// virtual time. Each data centre has one database and some hosts.
type replay struct {
	policy   policy
	hosts    int           // in each data centre
	together bool          // all databases and hosts are in one data centre
	perS     float64       // reads a second in each data centre
	swing    float64       // of the demand, which moves over the data centres in period
	period   time.Duration // of the waves
	length   time.Duration
	distance time.Duration // one way between data centres
	work     func(db int, at time.Duration) time.Duration
	fault    func(db int, at time.Duration) fault

	now       time.Duration
	events    events
	random    *rand.Rand
	databases []*server
	entries   []*entry
	reads     []*read
	answered  [dataCentres][]time.Duration // since the last report
	fastest   int                          // by the last report
}

type policy int

const (
	byExpectedTime policy = iota
	byGrades              // any free slot: the order of lead.Readers
	alwaysLocal
	twoRandom // the better of two random databases by the same estimates
	byReports // the fastest by the last report of all answers, every reportEvery
)

type fault int

const (
	healthy fault = iota
	fails         // the statement runs and fails
	refuses       // the database is busy
	lags          // its log is behind
)

const (
	reportEvery    = 500 * time.Millisecond
	slots          = 5
	serverQueue    = 40
	statementBytes = 700
	mostTries      = 4
	dialTime       = 12 * time.Millisecond
	dataCentres    = 3
	customers      = 25
)

type server struct {
	running int
	queue   []func()
}

type entry struct {
	centre  int
	grades  *lead.Table
	table   *choice.Table
	windows []window.Window
	running []int
	queues  [][]func()
	idle    map[string]bool // customer and database with a connection
	dials   int
}

type read struct {
	arrived, answered time.Duration
	customer          string
	far               int // statements sent to another data centre
	tries             int
	failed            bool
	first             int // database of the first try
}

func (r *replay) run() *replay {
	r.random = rand.New(rand.NewPCG(1, 2))
	if r.work == nil {
		r.work = func(int, time.Duration) time.Duration { return 27 * time.Millisecond }
	}
	if r.fault == nil {
		r.fault = func(int, time.Duration) fault { return healthy }
	}
	var list []routes.Database
	for i := range dataCentres {
		r.databases = append(r.databases, &server{})
		list = append(list, routes.Database{ID: id(i), Address: id(i), DataCentre: r.centre(i), Slots: slots})
	}
	for i := range dataCentres * r.hosts {
		e := &entry{centre: i % dataCentres, grades: lead.New(), table: choice.New(r.centre(i % dataCentres)), idle: map[string]bool{},
			running: make([]int, dataCentres), queues: make([][]func(), dataCentres)}
		e.grades.SetDatabases(list, r.clock())
		for range dataCentres {
			e.windows = append(e.windows, window.New(slots, dataCentres*r.hosts))
		}
		r.entries = append(r.entries, e)
		r.at(0, func() { r.arrive(e) })
	}
	for at := reportEvery; at < r.length; at += reportEvery {
		r.at(at, r.report)
	}
	for len(r.events) > 0 {
		next := heap.Pop(&r.events).(event)
		r.now = next.at
		next.do()
	}
	return r
}

// centre returns the data centre of a database, or of the hosts beside it.
func (r *replay) centre(db int) string {
	if r.together {
		return "centre"
	}
	return id(db)
}

func id(i int) string { return fmt.Sprintf("database-%d", i) }

func (r *replay) clock() time.Time { return noon.Add(r.now) }

// at schedules a function; before run, in is the time in the replay.
func (r *replay) at(in time.Duration, do func()) {
	heap.Push(&r.events, event{r.now + in, len(r.events), do})
}

// report compares the mean times of the answers since the last report; a database
// without any counts as the fastest.
func (r *replay) report() {
	least := time.Duration(math.MaxInt64)
	for db := range r.answered {
		var sum time.Duration
		for _, took := range r.answered[db] {
			sum += took
		}
		if mean := sum / time.Duration(max(1, len(r.answered[db]))); mean < least {
			least, r.fastest = mean, db
		}
		r.answered[db] = nil
	}
}

// arrive starts a read at a host and schedules the next one.
func (r *replay) arrive(e *entry) {
	if r.now > r.length {
		return
	}
	phase := float64(e.centre) / dataCentres
	rate := r.perS / float64(r.hosts)
	if r.period > 0 {
		rate *= 1 + r.swing*math.Sin(2*math.Pi*(r.now.Seconds()/r.period.Seconds()+phase))
	}
	r.at(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), func() { r.arrive(e) })
	got := &read{arrived: r.now, customer: fmt.Sprintf("customer-%d", r.random.IntN(customers)), first: -1}
	r.reads = append(r.reads, got)
	r.try(e, got)
}

// try sends a read to the first database in the order of the policy.
func (r *replay) try(e *entry, got *read) {
	got.tries++
	db := r.choose(e, got)
	if got.first < 0 {
		got.first = db
	}
	if db != e.centre {
		got.far++
	}
	send := func() { r.send(e, got, db) }
	if e.running[db] >= e.windows[db].Size() {
		e.queues[db] = append(e.queues[db], send)
		return
	}
	e.running[db]++
	send()
}

func (r *replay) choose(e *entry, got *read) int {
	switch r.policy {
	case alwaysLocal:
		return e.centre
	case byReports:
		return r.fastest
	}
	load := func(name string) float64 {
		db := number(name)
		return float64(e.running[db]+len(e.queues[db])) / float64(e.windows[db].Size())
	}
	readers := e.grades.Readers(got.customer, r.centre(e.centre), load, r.clock())
	if r.policy == byGrades {
		return number(readers[0])
	}
	candidates := make([]choice.Candidate, len(readers))
	for i, name := range readers {
		db := number(name)
		candidates[i] = choice.Candidate{ID: name, DataCentre: r.centre(db), Usable: e.grades.Usable(name, r.clock()),
			Slots: e.windows[db].Size(), Busy: e.running[db] + len(e.queues[db])}
	}
	customer := got.customer
	if r.policy == twoRandom {
		r.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
		candidates, customer = candidates[:2], fmt.Sprint(r.random.Int())
	}
	return number(e.table.Choose(choice.Read{Customer: customer, Urgent: true, Draw: r.random.Float64()}, candidates, r.clock()).Order[0])
}

func number(name string) int { return int(name[len(name)-1] - '0') }

// send sends a read on a connection, which it opens if the customer has none.
func (r *replay) send(e *entry, got *read, db int) {
	var delay time.Duration
	if key := got.customer + id(db); !e.idle[key] {
		e.idle[key] = true
		e.dials++
		delay = dialTime
	}
	var way time.Duration
	if db != e.centre && !r.together {
		way = r.distance
	}
	sentAt := r.now + delay
	s := r.databases[db]
	answer := func(f fault) { r.at(way, func() { r.answer(e, got, db, f, sentAt) }) }
	r.at(delay+way, func() {
		f := r.fault(db, r.now)
		switch {
		case f == refuses || f == lags:
			answer(f)
		case s.running < slots:
			r.serve(s, db, f, answer)
		case len(s.queue) < serverQueue:
			s.queue = append(s.queue, func() { r.serve(s, db, f, answer) })
		default:
			answer(refuses)
		}
	})
}

// serve runs a statement in a slot of a database.
func (r *replay) serve(s *server, db int, f fault, answer func(fault)) {
	s.running++
	took := time.Duration(float64(r.work(db, r.now)) * math.Exp(0.7*r.random.NormFloat64()-0.245))
	r.at(took, func() {
		s.running--
		answer(f)
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			next()
		}
	})
}

// answer records an answer at the host as the gateway does.
func (r *replay) answer(e *entry, got *read, db int, f fault, sentAt time.Duration) {
	name, centre, took, now := id(db), r.centre(db), r.now-sentAt, r.clock()
	switch f {
	case healthy:
		r.answered[db] = append(r.answered[db], took)
		e.table.RecordAnswer(name, centre, took, statementBytes, now)
		e.windows[db].RecordAnswer()
		got.answered = r.now
	case lags:
		e.table.RecordBehind(name, centre, took, now)
		e.grades.Avoid(name, now.Add(60*time.Millisecond))
	case refuses:
		e.table.RecordFailure(name, centre, took, now)
		e.windows[db].RecordRefusal(now)
		e.grades.Avoid(name, now.Add(100*time.Millisecond))
	case fails:
		e.table.RecordFailure(name, centre, took, now)
	}
	e.running[db]--
	for len(e.queues[db]) > 0 && e.running[db] < e.windows[db].Size() {
		next := e.queues[db][0]
		e.queues[db] = e.queues[db][1:]
		e.running[db]++
		next()
	}
	switch {
	case f == healthy:
	case f == fails, got.tries == mostTries:
		got.failed = true // the caller gets the failure
	default:
		r.try(e, got)
	}
}

// within returns the share of the reads arrived in a part of the replay that were
// answered within the objective.
func (r *replay) within(objective, from, to time.Duration) float64 {
	good, all := 0, 0
	for _, got := range r.reads {
		if got.arrived < from || got.arrived >= to {
			continue
		}
		all++
		if got.answered > 0 && !got.failed && got.answered-got.arrived <= objective {
			good++
		}
	}
	return float64(good) / float64(all)
}

// farKB returns the bytes between data centres, in KB a read.
func (r *replay) farKB() float64 {
	far := 0
	for _, got := range r.reads {
		far += got.far
	}
	return statementBytes / 1024.0 * float64(far) / float64(len(r.reads))
}

// to returns the share of the first tries that went to a database.
func (r *replay) to(db int, from, until time.Duration) float64 {
	n, all := 0, 0
	for _, got := range r.reads {
		if got.arrived >= from && got.arrived < until {
			all++
			if got.first == db {
				n++
			}
		}
	}
	return float64(n) / float64(all)
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
