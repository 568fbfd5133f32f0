package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/mulberryhaven/mulberryhaven/platform/emulator"
)

const (
	prefix = "/q/"
	// callTime bounds one call of a caller, controlTime one of an operator.
	callTime    = 3 * time.Second
	controlTime = 2 * time.Second
	callers     = 5
	// deadlyPeriod is the number of jobs of which one has tasks that crash their workers.
	deadlyPeriod = 25
	// tries bounds how often a caller hands one job in.
	tries = 8
	// stopMargin is how long before a planned stop a call must have been sent to count as taken.
	stopMargin = 50 * time.Millisecond
)

// job is what a caller knows of its job.
type job struct {
	id string
	// customer is empty where no call needs a key.
	customer  string
	deadly    bool
	accepted  bool
	refused   int
	attempts  int
	completed bool
}

// payload returns what the job's tasks are started with.
func (j *job) payload() string {
	if j.deadly {
		return emulator.DeadlyPayload
	}
	return j.id
}

// watch calls the system as callers and operators do and keeps what must not have been.
type watch struct {
	fleet  *Fleet
	seed   uint64
	caller *emulator.Caller
	// customers is nil where no call needs a key.
	customers *customers
	ctx       context.Context
	cancel    context.CancelFunc
	work      sync.WaitGroup

	mu      sync.Mutex
	jobs    []*job
	broken  []string
	paused  bool
	done    int
	version int
	// acked is the highest version that was acknowledged, marks the content that was read of each version.
	acked int
	marks map[int]string
	reads int
	// stops is the node that stops as planned while nothing else is wrong, stopAt when that began.
	stops  *Node
	stopAt time.Time
}

func newWatch(f *Fleet, seed uint64) *watch {
	w := &watch{fleet: f, seed: seed, marks: map[int]string{}}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.caller = &emulator.Caller{Host: "desk.example", HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}}
	return w
}

func (w *watch) start() {
	w.work.Go(w.configure)
	w.work.Go(w.readBack)
	for i := range callers {
		rng := rand.New(rand.NewPCG(w.seed, uint64(100+i)))
		w.work.Go(func() { w.call(rng) })
	}
}

func (w *watch) stop() {
	w.cancel()
	w.work.Wait()
	for _, j := range w.jobs {
		if !j.accepted && j.refused == j.attempts && w.fleet.Ledger.Starts(j.id) > 0 {
			w.fail("job %s was started although every attempt was refused", j.id)
		}
	}
}

func (w *watch) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

func (w *watch) failures() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append(slices.Clone(w.broken), w.fleet.Ledger.Failures()...)
}

func (w *watch) completed() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done
}

// accepted counts the jobs that were accepted.
func (w *watch) accepted() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	var n int
	for _, j := range w.jobs {
		if j.accepted {
			n++
		}
	}
	return n
}

func (w *watch) summary() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d jobs, %d completed, version %d, %d reads of the configuration", len(w.jobs), w.done, w.acked, w.reads)
}

// pause keeps callers from handing new jobs in.
func (w *watch) pause(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused = on
}

func (w *watch) resting() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.paused
}

// stopping names the node that stops as planned, or none.
func (w *watch) stopping(n *Node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stops, w.stopAt = n, time.Now()
}

// open returns the accepted jobs that are not over.
func (w *watch) open() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []string
	for _, j := range w.jobs {
		if j.accepted && !j.completed {
			list = append(list, j.id)
		}
	}
	return list
}

func (w *watch) await(limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return done()
}

// call hands in one job after the other and follows each to its end.
func (w *watch) call(rng *rand.Rand) {
	for w.ctx.Err() == nil {
		time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
		if w.resting() {
			continue
		}
		w.playJob(rng, w.customers.draw())
	}
}

// playJob hands in one job of a customer and follows it to its end.
func (w *watch) playJob(rng *rand.Rand, customer string) {
	w.mu.Lock()
	j := &job{id: jobID(w.seed, len(w.jobs)), customer: customer, deadly: len(w.jobs)%deadlyPeriod == deadlyPeriod-1}
	w.jobs = append(w.jobs, j)
	w.mu.Unlock()
	w.fleet.Ledger.Expect(j.id, j.payload())
	w.fleet.Ledger.Own(j.id, customer)
	if w.handIn(rng, j) {
		w.follow(rng, j)
	}
}

// handIn sends a job until it is taken; it returns false where the caller gives up.
func (w *watch) handIn(rng *rand.Rand, j *job) bool {
	t := emulator.Task{Payload: j.payload(), Count: 1 + rng.IntN(4), CPU: 500 + rng.IntN(1000)}
	w.fleet.Ledger.Needs(j.id, t.CPU)
	for range tries {
		o := w.as(rng, j.customer, func(ctx context.Context, n *Node, c *emulator.Caller) emulator.Outcome {
			return c.Submit(ctx, n.At(portFront), prefix, j.id, t)
		})
		w.mu.Lock()
		j.attempts++
		if o == emulator.NeverRuns || o == emulator.NotReached || o == emulator.Unauthorized {
			j.refused++
		}
		j.accepted = j.accepted || o == emulator.Taken
		w.mu.Unlock()
		if o == emulator.Taken {
			return true
		}
		if w.ctx.Err() != nil {
			return false
		}
		time.Sleep(time.Duration(100+rng.IntN(400)) * time.Millisecond)
	}
	return false
}

// timed makes a call at some node and checks that a planned stop cuts nothing.
func (w *watch) timed(rng *rand.Rand, call func(context.Context, *Node) emulator.Outcome) emulator.Outcome {
	n := w.fleet.Nodes[rng.IntN(len(w.fleet.Nodes))]
	ctx, cancel := context.WithTimeout(w.ctx, callTime)
	defer cancel()
	sent := time.Now()
	o := call(ctx, n)
	w.mu.Lock()
	cut := o == emulator.Cut && w.stops == n && sent.Before(w.stopAt.Add(-stopMargin))
	w.mu.Unlock()
	if cut {
		w.fail("%s stopped as planned and cut a call that it had taken", n.Name)
	}
	return o
}

// follow asks for the state of an accepted job until it is over; one in ten is cancelled.
func (w *watch) follow(rng *rand.Rand, j *job) {
	cancelling := rng.IntN(10) == 0
	for w.ctx.Err() == nil {
		if cancelling && w.cancelJob(rng, j) {
			return
		}
		var state string
		w.spy(rng, j)
		o := w.as(rng, j.customer, func(ctx context.Context, n *Node, c *emulator.Caller) emulator.Outcome {
			var o emulator.Outcome
			state, o = c.State(ctx, n.At(portFront), prefix, j.id)
			return o
		})
		switch {
		case o == emulator.Gone:
			w.fail("job %s was accepted and is not known", j.id)
			w.over(j)
			return
		case o != emulator.Taken:
		case state == "cancelled" && cancelling:
			// A cancel without an answer was taken.
			w.over(j)
			return
		case state == "failed" && j.deadly:
			w.over(j)
			return
		case state == "completed" && j.deadly:
			w.fail("job %s is shown as completed, and crashes its workers", j.id)
			w.over(j)
			return
		case state == "failed" || state == "cancelled":
			w.fail("job %s is shown as %s without a cause", j.id, state)
			w.over(j)
			return
		case state == "completed":
			if running := w.fleet.Ledger.Running(j.id); len(running) > 0 {
				w.fail("job %s is shown as completed while %v run", j.id, running)
			}
			w.over(j)
			return
		}
		time.Sleep(time.Duration(100+rng.IntN(200)) * time.Millisecond)
	}
}

func (w *watch) over(j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j.completed = true
	w.done++
}

// cancelJob returns true once the cancel was acknowledged and nothing of the job runs.
func (w *watch) cancelJob(rng *rand.Rand, j *job) bool {
	o := w.as(rng, j.customer, func(ctx context.Context, n *Node, c *emulator.Caller) emulator.Outcome {
		return c.Cancel(ctx, n.At(portFront), prefix, j.id)
	})
	if o == emulator.Gone {
		w.fail("job %s was accepted and is not known to a cancel", j.id)
	}
	if o != emulator.Taken {
		return false
	}
	if !w.await(patience, func() bool { return w.ctx.Err() != nil || len(w.fleet.Ledger.Running(j.id)) == 0 }) {
		w.fail("job %s was cancelled and runs on: %v", j.id, w.fleet.Ledger.Running(j.id))
	}
	w.over(j)
	return true
}

// configure sends changes, at times two with one version to two nodes at once.
func (w *watch) configure() {
	rng := rand.New(rand.NewPCG(w.seed, 50))
	for n := 0; w.ctx.Err() == nil; n++ {
		w.mu.Lock()
		w.version += 1 + rng.IntN(3)
		version := w.version
		w.mu.Unlock()
		w.customers.offer(version)
		var racers sync.WaitGroup
		for i := range 1 + rng.IntN(2) {
			source := rand.New(rand.NewPCG(w.seed, uint64(1000+2*n+i)))
			racers.Go(func() { w.change(source, version, mark(2*n+i)) })
		}
		racers.Wait()
		time.Sleep(time.Duration(200+rng.IntN(500)) * time.Millisecond)
	}
}

// change sends one configuration until it is acknowledged.
func (w *watch) change(rng *rand.Rand, version int, mark string) {
	for w.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(w.ctx, controlTime)
		n := w.fleet.Nodes[rng.IntN(len(w.fleet.Nodes))]
		o := w.caller.Configure(ctx, n.At(portControl), w.customers.document(version, mark))
		cancel()
		if o == emulator.Taken {
			w.customers.acknowledged(version)
			w.mu.Lock()
			w.acked = max(w.acked, version)
			w.mu.Unlock()
			return
		}
		time.Sleep(time.Duration(50+rng.IntN(200)) * time.Millisecond)
	}
}

// readBack reads the configuration anywhere: it is never older than what was acknowledged before, and one
// version has one content.
func (w *watch) readBack() {
	rng := rand.New(rand.NewPCG(w.seed, 51))
	for w.ctx.Err() == nil {
		n := w.fleet.Nodes[rng.IntN(len(w.fleet.Nodes))]
		w.mu.Lock()
		acked := w.acked
		w.mu.Unlock()
		ctx, cancel := context.WithTimeout(w.ctx, controlTime)
		version, mark, o := w.caller.Configuration(ctx, n.At(portControl))
		cancel()
		if o == emulator.Taken {
			w.mu.Lock()
			w.reads++
			before, seen := w.marks[version]
			w.marks[version] = mark
			w.mu.Unlock()
			if version < acked {
				w.fail("%s showed version %d after %d was acknowledged", n.Name, version, acked)
			}
			if seen && before != mark {
				w.fail("version %d was shown with two contents", version)
			}
		}
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
	}
}
