package dispatcher

import (
	"cmp"
	"math"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

const (
	// dutyRetry is the pause before an order to the platform that was not taken goes out again.
	orderRetry = 500 * manager.Millisecond
	// listingPeriod is the pause between two readings of the platform's VMs while a wave misses some.
	listingPeriod = 2 * manager.Second
	// evacuateAhead is how many VMs beyond a wave's cap are emptied in advance.
	evacuateAhead = 2
	// upkeepSpan is how long a VM is kept from work by its upkeep: emptying, maintenance, return.
	maintenanceTime = 4500 * manager.Millisecond
	// leastUpkeep is the time before which no VM comes back from its upkeep; the platform's take two seconds.
	minMaintenanceTime = 1500 * manager.Millisecond
	// upkeepMargin is kept free at the end of a wave's time.
	waveMargin = 6 * manager.Second
	// evacuationSticks keeps a VM that is being emptied first in line between two steps.
	evacuationHold = 500 * manager.Millisecond
)

// PlatformOrder is an order to the platform for one VM; Pool is set for a move, Wave for an upkeep.
type PlatformOrder struct {
	VM    manager.VMID
	Wave  uint64
	Pool  manager.PoolID
	Token manager.OrderToken
}

// PlatformOutcome is what came of an order to the platform.
type PlatformOutcome string

// Outcomes of orders.
const (
	OutcomeAccepted PlatformOutcome = "taken"
	// OutcomeBusy says that the VM can't take the order now.
	OutcomeBusy PlatformOutcome = "busy"
	// OutcomeFenced says that a later dispatcher has ordered for the VM.
	OutcomeFenced PlatformOutcome = "fenced"
	// OutcomeInvalid says that the order can never be taken: no such VM, or none of that wave.
	OutcomeInvalid PlatformOutcome = "void"
	// OutcomeUnknown says that the platform may have taken the order.
	OutcomeUnknown PlatformOutcome = "unclear"
)

// PlatformResult reports an outcome.
type PlatformResult struct {
	Order   PlatformOrder
	Outcome PlatformOutcome
}

// Listing is the platform's list of VMs.
type Listing struct {
	// AskedAt is when the list was asked for; what it says is not older.
	AskedAt manager.Time
	VMs     map[manager.VMID]ListedVM
}

// ListedVM is a VM of the list.
type ListedVM struct {
	Pool manager.PoolID
	Up   bool
	// Moving says that the VM is on its way to its pool.
	Moving   bool
	Capacity manager.Resources
	Labels   []manager.Label
}

// maintenanceState is what a dispatcher keeps of orders to the platform and of runs to be stopped besides the book.
type maintenanceState struct {
	// calling are the VMs with a call under way, retryAt those to be left alone until a time.
	inFlight map[manager.VMID]bool
	retryAt  map[manager.VMID]manager.Time
	// fenced are the VMs for which a later dispatcher has ordered.
	fenced map[manager.VMID]bool
	// begunAt is when this dispatcher first saw that the upkeep of a VM has begun.
	startedAt map[manager.VMID]manager.Time
	// recalls are the runs that are to be stopped and started elsewhere.
	evictions map[manager.TaskID]manager.RunNumber
	// listedAt is when the list of VMs was asked for last; wanted asks for it as a wave misses a VM.
	listedAt      manager.Time
	listingNeeded bool
}

func (u *maintenanceState) init() {
	if u.inFlight == nil {
		u.inFlight, u.retryAt = map[manager.VMID]bool{}, map[manager.VMID]manager.Time{}
		u.startedAt = map[manager.VMID]manager.Time{}
		u.fenced, u.evictions = map[manager.VMID]bool{}, map[manager.TaskID]manager.RunNumber{}
	}
}

// updateMaintenance empties the VMs that are due, orders their upkeep within the cap and notes their return.
func (d *Dispatcher) updateMaintenance(now manager.Time, c *recorder.Changes) {
	d.maintenance.init()
	d.maintenance.listingNeeded = false
	for _, w := range d.workers {
		w.evacuating = false
	}
	for _, id := range d.waves() {
		d.updateWave(now, d.State.Waves[id], c)
	}
	d.evictRuns(now)
}

// waves returns the waves that are not completed, in order.
func (d *Dispatcher) waves() []uint64 {
	var list []uint64
	for id, w := range d.State.Waves {
		if !w.Completed() {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

func (d *Dispatcher) updateWave(now manager.Time, wave *recorder.Wave, c *recorder.Changes) {
	down := d.trackOrdered(now, wave, c)
	rate := d.requiredEvacuations(now, wave)
	for _, vm := range d.maintenanceQueue(now, wave) {
		w := d.byVM[vm]
		if w == nil {
			d.maintenance.listingNeeded = true
			if d.mayOrder(now, vm) && down < wave.Cap && d.allWorkersHeard(now) {
				down++
				d.orderMaintenance(wave, vm, 0, c)
			}
			continue
		}
		if rate <= 0 && (d.lending.overloaded || !d.hasLowLoad(w.latest.Pool)) {
			continue
		}
		rate--
		w.evacuating, w.evacuatedAt = true, now
		if down < wave.Cap && d.mayOrder(now, vm) && d.isIdle(w) {
			down++
			d.orderMaintenance(wave, vm, w.instance.Born, c)
		}
	}
}

// followOrdered notes the VMs that are back, repeats orders without an outcome and returns how many VMs
// may be down.
func (d *Dispatcher) trackOrdered(now manager.Time, wave *recorder.Wave, c *recorder.Changes) int {
	down := 0
	for _, vm := range wave.VMs {
		switch wave.State[vm] {
		case recorder.MaintenanceOrdered:
			down++
			d.blockStarts(vm)
			d.repeatOrder(now, wave, vm)
		case recorder.MaintenanceStarted:
			if d.maintenance.startedAt[vm] == 0 {
				d.maintenance.startedAt[vm] = now
			}
			if w := d.byVM[vm]; w != nil && d.hasReturned(now, w, wave.InstanceStart[vm]) {
				c.Maintenance = append(c.Maintenance, recorder.MaintenanceChange{Wave: wave.Wave, VM: vm, State: recorder.MaintenanceDone})
				d.log(manager.LogUpkeepDone, "VM", vm, "Wave", wave.Wave, "Worker", w.instance.Worker)
				continue
			}
			down++
			d.blockStarts(vm)
			d.maintenance.listingNeeded = true
		}
	}
	return down
}

// upkeepRate returns how many VMs must be kept from work now, so that the wave ends in time; more follow
// only while no pool lacks VMs.
func (d *Dispatcher) requiredEvacuations(now manager.Time, wave *recorder.Wave) int {
	left := 0
	for _, vm := range wave.VMs {
		if wave.State[vm] == recorder.MaintenanceWaiting {
			left++
		}
	}
	time := max(maintenanceTime, wave.Accepted.Add(wave.DurationMs-waveMargin).Sub(now))
	need := (manager.Duration(left)*maintenanceTime + time - 1) / time
	return min(int(need), wave.Cap+evacuateAhead)
}

// calm tells whether a pool could do without a VM for a while.
func (d *Dispatcher) hasLowLoad(p manager.PoolID) bool { return d.lending.loads[p] < lowLoad }

// returned tells whether a worker is a later life than the one that an upkeep ended. A life that was met too
// soon may be one that it ended too: its order waited, or its last report was late. Such a life counts only once
// the upkeep must be over.
func (d *Dispatcher) hasReturned(now manager.Time, w *worker, ended manager.Time) bool {
	began := d.maintenance.startedAt[w.latest.VM]
	if w.instance.Born <= ended {
		return false
	}
	over := now.Sub(began) >= maintenanceTime && now.Sub(w.heardAt) <= d.maxReportAge()
	return over || w.firstSeenAt.Sub(began) >= minMaintenanceTime
}

// keepEmpty bars starts on a VM that is ordered away.
func (d *Dispatcher) blockStarts(vm manager.VMID) {
	if w := d.byVM[vm]; w != nil {
		w.evacuating = true
	}
}

// absentLong tells whether every worker that lives has had time to report to this dispatcher.
func (d *Dispatcher) allWorkersHeard(now manager.Time) bool {
	return now.Sub(d.StartedAt) > d.leaseTimeout()
}

func (d *Dispatcher) isIdle(w *worker) bool {
	return len(d.State.Runs(w.instance)) == 0 && len(w.running) == 0
}

// upkeepOrder returns the VMs that wait: those that are being emptied first, then those with the least
// work. VMs on their way to another pool wait until they have arrived.
func (d *Dispatcher) maintenanceQueue(now manager.Time, wave *recorder.Wave) []manager.VMID {
	var list []manager.VMID
	load := map[manager.VMID]int{}
	for _, vm := range wave.VMs {
		_, moving := d.State.Moves[vm]
		if moving || wave.State[vm] != recorder.MaintenanceWaiting || d.inOtherWave(wave, vm) {
			continue
		}
		list = append(list, vm)
		if w := d.byVM[vm]; w != nil {
			load[vm] = len(d.State.Runs(w.instance))
			if now.Sub(w.evacuatedAt) < evacuationHold {
				load[vm] -= math.MaxInt32
			}
		}
	}
	slices.SortStableFunc(list, func(a, b manager.VMID) int { return cmp.Compare(load[a], load[b]) })
	return list
}

// inOtherUpkeep tells whether another wave has a VM down, so that the platform would refuse an order for it.
func (d *Dispatcher) inOtherWave(wave *recorder.Wave, vm manager.VMID) bool {
	for id, other := range d.State.Waves {
		if s := other.State[vm]; id != wave.Wave && (s == recorder.MaintenanceOrdered || s == recorder.MaintenanceStarted) {
			return true
		}
	}
	return false
}

func (d *Dispatcher) orderMaintenance(wave *recorder.Wave, vm manager.VMID, born manager.Time, c *recorder.Changes) {
	c.Maintenance = append(c.Maintenance, recorder.MaintenanceChange{Wave: wave.Wave, VM: vm, State: recorder.MaintenanceOrdered, InstanceStart: born})
	d.log(manager.LogUpkeepOrdered, "VM", vm, "Wave", wave.Wave, "Born", born)
}

// issueOrders emits the calls for the orders of the latest commit.
func (d *Dispatcher) issueOrders() {
	for _, u := range d.inFlight.Maintenance {
		if u.State == recorder.MaintenanceOrdered {
			d.issueOrder(PlatformOrder{VM: u.VM, Wave: u.Wave, Token: d.Token})
		}
	}
	for _, m := range d.inFlight.Move {
		if m.Pool != "" {
			d.issueOrder(PlatformOrder{VM: m.VM, Pool: m.Pool, Token: d.Token})
		}
	}
}

func (d *Dispatcher) issueOrder(duty PlatformOrder) {
	d.maintenance.inFlight[duty.VM] = true
	d.platformOrders = append(d.platformOrders, duty)
}

// mayOrder tells whether the platform may be called for a VM now. A predecessor that was cut off may have
// called until it was deposed, so that its last order must be old enough.
func (d *Dispatcher) mayOrder(now manager.Time, vm manager.VMID) bool {
	if d.maintenance.inFlight[vm] || d.maintenance.fenced[vm] || now < d.maintenance.retryAt[vm] {
		return false
	}
	since := now.Sub(d.StartedAt)
	if at, ok := d.State.OrderedAt[vm]; ok && !d.unresolved[vm] && at <= d.initialStateAt {
		// Both times are by the predecessor's clock.
		since += d.initialStateAt.Sub(at)
	} else if !d.unresolved[vm] {
		return true
	}
	return since >= d.Options.OrderGapMs
}

// unresolvedOrders returns the VMs with orders whose outcome is not known: they may be repeated at any time.
func unresolvedOrders(b *recorder.State) map[manager.VMID]bool {
	list := map[manager.VMID]bool{}
	for vm := range b.Moves {
		list[vm] = true
	}
	for _, w := range b.Waves {
		for vm, state := range w.State {
			if state == recorder.MaintenanceOrdered {
				list[vm] = true
			}
		}
	}
	return list
}

// orderAgain repeats an order whose outcome is not known, as a predecessor's may have been lost.
func (d *Dispatcher) repeatOrder(now manager.Time, wave *recorder.Wave, vm manager.VMID) {
	if !d.mayOrder(now, vm) {
		return
	}
	if w := d.byVM[vm]; w != nil && !d.isIdle(w) && w.instance.Born <= wave.InstanceStart[vm] {
		return
	}
	d.issueOrder(PlatformOrder{VM: vm, Wave: wave.Wave, Token: d.Token})
}

func (d *Dispatcher) handlePlatformResult(now manager.Time, r PlatformResult, c *recorder.Changes) {
	d.maintenance.init()
	delete(d.maintenance.inFlight, r.Order.VM)
	d.log(manager.LogPlatformAnswered, "VM", r.Order.VM, "Wave", r.Order.Wave, "Pool", r.Order.Pool, "Outcome", r.Outcome, "Token", r.Order.Token)
	if r.Order.Pool != "" {
		d.handleMoveResult(now, r, c)
		return
	}
	change := recorder.MaintenanceChange{Wave: r.Order.Wave, VM: r.Order.VM}
	switch r.Outcome {
	case OutcomeAccepted:
		change.State = recorder.MaintenanceStarted
		c.Maintenance = append(c.Maintenance, change)
		// The book says so only after the commit; until then the order must not go out again.
		d.maintenance.retryAt[r.Order.VM] = now.Add(orderRetry)
	case OutcomeInvalid:
		change.State = recorder.MaintenanceDone
		c.Maintenance = append(c.Maintenance, change)
	case OutcomeFenced:
		d.maintenance.fenced[r.Order.VM] = true
	default:
		d.maintenance.retryAt[r.Order.VM] = now.Add(orderRetry)
	}
}

// WantsListing tells whether the platform's list of VMs should be read now.
func (d *Dispatcher) WantsListing(now manager.Time) bool {
	if !d.maintenance.listingNeeded && !d.lending.stale(now) || now.Sub(d.maintenance.listedAt) < listingPeriod {
		return false
	}
	d.maintenance.listedAt = now
	return true
}

// handleListing ends the upkeep of VMs that are gone for good, and of those without a worker that are up
// again.
func (d *Dispatcher) handleListing(l Listing, c *recorder.Changes) {
	d.lending.update(l)
	for _, id := range d.waves() {
		wave := d.State.Waves[id]
		for _, vm := range wave.VMs {
			if wave.State[vm] == recorder.MaintenanceDone || d.byVM[vm] != nil {
				continue
			}
			listed, ok := l.VMs[vm]
			begun := d.maintenance.startedAt[vm]
			back := wave.State[vm] == recorder.MaintenanceStarted && listed.Up && begun != 0 && l.AskedAt > begun
			if ok && !back {
				continue
			}
			c.Maintenance = append(c.Maintenance, recorder.MaintenanceChange{Wave: id, VM: vm, State: recorder.MaintenanceDone})
			d.log(manager.LogUpkeepEndedWithoutWorker, "VM", vm, "Wave", id, "Listed", ok, "AskedAt", l.AskedAt)
		}
	}
}
