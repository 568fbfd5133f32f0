package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/mulberryhaven/mulberryhaven/internal/caller"
	"github.com/mulberryhaven/mulberryhaven/internal/checker"
	"github.com/mulberryhaven/mulberryhaven/internal/responder"
	"github.com/mulberryhaven/mulberryhaven/internal/supervisor"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// ErrViolations reports that the demo saw something that must never happen.
var ErrViolations = eris.New("the demo saw violations")

// ErrTimeout reports that a step of the demo did not end in time.
var ErrTimeout = eris.New("did not end in time")

// Demo runs the whole system on loopback.
type Demo struct {
	// Out takes the progress and the table.
	Out io.Writer
	// Hold keeps the system running after the demo until ctx ends.
	Hold bool

	processes []*supervisor.Supervisor
	gateways  []manager.Address
	tenant    *tenant
	callers   *checker.Callers
	client    *caller.Client
}

// report is what the demo measured.
type report struct {
	profile time.Duration
	job     time.Duration
	wave    time.Duration
	moves   int
}

// Run runs the demo; it fails if a step fails or anything was violated.
func (d *Demo) Run(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "mulberryhaven-demo-")
	if err != nil {
		return fmt.Errorf("create data folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	if err := d.start(ctx, filepath.Join(folder, "controller")); err != nil {
		return errors.Join(err, d.stop())
	}
	rep, err := d.steps(ctx)
	d.callers.Stop()
	if err == nil {
		err = d.print(rep)
	}
	if d.Hold && err == nil {
		d.printAddresses()
		<-ctx.Done()
	}
	return errors.Join(err, d.stop())
}

func (d *Demo) say(format string, args ...any) {
	fmt.Fprintf(d.Out, format+"\n", args...)
}

func (d *Demo) start(ctx context.Context, folder string) error {
	log := &responder.RunLog{}
	f := fleet()
	d.tenant = &tenant{log: log, fleet: f}
	if err := d.startProcesses(folder, f); err != nil {
		return err
	}
	d.tenant.gateways = d.gateways
	if err := d.tenant.start(); err != nil {
		return fmt.Errorf("start upstreams: %w", err)
	}
	d.client = newClient(d.gateways[0])
	d.callers = &checker.Callers{
		Gateways: d.gateways, Services: services, Log: log, Pause: callerPause, Deadline: callerDeadline,
	}
	d.say("started %d controllers, %d gateways and %d upstreams of %d services", controllerCount, len(d.gateways), len(f.VMs), len(services))
	return d.await("upstreams known to every gateway", func() (bool, error) { return d.allKnown(ctx) })
}

const (
	callerPause    = 20 * time.Millisecond
	callerDeadline = 10 * manager.Second
	stepTimeout    = 2 * time.Minute
	pollPause      = 50 * time.Millisecond
	warmUp         = 500 * time.Millisecond
)

// await polls until done is true.
func (d *Demo) await(what string, done func() (bool, error)) error {
	deadline := time.Now().Add(stepTimeout)
	for time.Now().Before(deadline) {
		ok, err := done()
		if err != nil {
			return fmt.Errorf("%s: %w", what, err)
		}
		if ok {
			return nil
		}
		time.Sleep(pollPause)
	}
	return fmt.Errorf("%s: %w", what, ErrTimeout)
}

// allKnown tells whether every gateway is ready and knows every upstream.
func (d *Demo) allKnown(ctx context.Context) (bool, error) {
	for _, g := range d.gateways {
		c := newClient(g)
		var members []manager.Member
		if err := c.Get(ctx, "/api/upstreams", &members); err != nil {
			return false, err
		}
		if len(members) < len(d.tenant.fleet.VMs) || !c.Ready(ctx) {
			return false, nil
		}
	}
	return true, nil
}

func (d *Demo) steps(ctx context.Context) (report, error) {
	var rep report
	d.callers.Run()
	time.Sleep(warmUp)
	steps := []struct {
		name string
		run  func(context.Context) (time.Duration, error)
		into *time.Duration
	}{
		{"profile change in force at every gateway", d.changeProfile, &rep.profile},
		{"job done", d.runJob, &rep.job},
		{"maintenance wave over pool pricing done", d.runWave, &rep.wave},
	}
	for _, step := range steps {
		if ctx.Err() != nil {
			return rep, ctx.Err()
		}
		took, err := step.run(ctx)
		if err != nil {
			return rep, fmt.Errorf("%s: %w", step.name, err)
		}
		*step.into = took
		d.say("%s after %d ms", step.name, took.Milliseconds())
	}
	var vms []manager.VM
	if err := d.client.Get(ctx, "/api/vms", &vms); err != nil {
		return rep, err
	}
	rep.moves = d.countMoves(vms)
	return rep, nil
}

func (d *Demo) countMoves(vms []manager.VM) int {
	first := map[manager.VMID]manager.PoolID{}
	for _, v := range d.tenant.fleet.VMs {
		first[v.VM] = v.Pool
	}
	n := 0
	for _, v := range vms {
		if first[v.VM] != v.Pool {
			n++
		}
	}
	return n
}

func newClient(a manager.Address) *caller.Client {
	return &caller.Client{URL: "http://" + string(a), Token: operatorToken}
}

func newCommandID() manager.CommandID { return manager.CommandID(uuid.Must(uuid.NewV7()).String()) }

func (d *Demo) print(rep report) error {
	seen := d.callers.Summary()
	violations := seen.Violations
	if n := d.tenant.breaches(); n > 0 {
		violations = append(violations, fmt.Sprintf("%d upstreams got more requests at once than their slots", n))
	}
	t := tabwriter.NewWriter(d.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "\nwhat\tvalue\n")
	for _, s := range []manager.RunState{manager.RunStateRan, manager.RunStateNotRun, manager.RunStateUnknown} {
		fmt.Fprintf(t, "requests %s\t%d\n", s, seen.States[s])
	}
	fmt.Fprintf(t, "request latency p50\t%.1f ms\n", seen.Median.Seconds()*1000)
	fmt.Fprintf(t, "request latency p99\t%.1f ms\n", seen.High.Seconds()*1000)
	fmt.Fprintf(t, "profile roll-out time\t%d ms\n", rep.profile.Milliseconds())
	fmt.Fprintf(t, "job time\t%d ms\n", rep.job.Milliseconds())
	fmt.Fprintf(t, "wave time\t%d ms\n", rep.wave.Milliseconds())
	fmt.Fprintf(t, "moves\t%d\n", rep.moves)
	fmt.Fprintf(t, "violations\t%d\n", len(violations))
	if err := t.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	for _, v := range violations {
		d.say("violation: %s", v)
	}
	if len(violations) > 0 {
		return ErrViolations
	}
	return nil
}

func (d *Demo) printAddresses() {
	for _, g := range d.gateways {
		d.say("gateway: http://%s (operators' token: %s)", g, operatorToken)
	}
	d.say("try: curl -i http://%s/services/pricing/quotes/7", d.gateways[0])
	d.say("holding until interrupted")
}

func (d *Demo) stop() error {
	var failures []error
	for i := len(d.processes) - 1; i >= 0; i-- {
		failures = append(failures, d.processes[i].Stop(nil))
	}
	if d.tenant != nil {
		d.tenant.stop()
	}
	return errors.Join(failures...)
}
