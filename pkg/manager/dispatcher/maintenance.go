package dispatcher

import (
	"cmp"
	"math"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

const (
	// orderRetry is the pause before an order that the platform did not accept is sent again.
	orderRetry = 500 * manager.Millisecond
	// listingPeriod is the least pause between two readings of the platform's list of VMs.
	listingPeriod = 2 * manager.Second
	// evacuateAhead is the number of VMs beyond a wave's cap that are evacuated in advance.
	evacuateAhead = 2
	// maintenanceTime is how long maintenance keeps a VM from work: evacuation, maintenance and return.
	maintenanceTime = 4500 * manager.Millisecond
	// minMaintenanceTime is the time before which no VM returns from maintenance; the platform's maintenance takes two
	// seconds.
	minMaintenanceTime = 1500 * manager.Millisecond
	// waveMargin is the time reserved at the end of a wave.
	waveMargin = 6 * manager.Second
	// evacuationHold keeps a VM that is being evacuated first in the queue from one cycle to the next.
	evacuationHold = 500 * manager.Millisecond
)

// PlatformOrder is an order to the platform for one VM. Pool is set for a move, Wave for maintenance.
type PlatformOrder struct {
	VM    manager.VMID
	Wave  uint64
	Pool  manager.PoolID
	Token manager.FencingToken
}

// PlatformOutcome is the outcome of an order to the platform.
type PlatformOutcome string

// Outcomes of orders.
const (
	OutcomeAccepted PlatformOutcome = "taken"
	// OutcomeBusy means that the VM can't take the order now.
	OutcomeBusy PlatformOutcome = "busy"
	// OutcomeFenced means that a later dispatcher has sent an order for the VM.
	OutcomeFenced PlatformOutcome = "fenced"
	// OutcomeInvalid means that the order can never be accepted: the VM does not exist or does not belong to the wave.
	OutcomeInvalid PlatformOutcome = "void"
	// OutcomeUnknown means that the platform may have accepted the order.
	OutcomeUnknown PlatformOutcome = "unclear"
)

// PlatformResult reports the outcome of an order.
type PlatformResult struct {
	Order   PlatformOrder
	Outcome PlatformOutcome
}

// Listing is the platform's list of VMs.
type Listing struct {
	// AskedAt is when the first page of the list was requested; its content is not older.
	AskedAt manager.Time
	// Pages is the number of pages that were read. Entries may move between the pages meanwhile, so that a list of several ones
	// may lack a VM that exists.
	Pages int
	VMs   map[manager.VMID]ListedVM
	// Unread holds, for each VM whose entry could not be used, the reason. Such a VM exists.
	Unread map[manager.VMID]string
	// Unnamed counts the entries that name no VM, and UnnamedReason is what is wrong with the first of them. Each may
	// stand for any VM.
	Unnamed       int
	UnnamedReason string
}

// ListedVM is a VM of the list.
type ListedVM struct {
	Pool manager.PoolID
	Up   bool
	// Moving means that the VM is on its way to its pool.
	Moving   bool
	Capacity manager.Resources
	Labels   []manager.Label
}

// maintenanceState holds what a dispatcher knows of orders to the platform and of evictions beyond the replicated
// state.
type maintenanceState struct {
	// inFlight holds the VMs with an order under way; retryAt is when a VM may get its next order.
	inFlight map[manager.VMID]bool
	retryAt  map[manager.VMID]manager.Time
	// fenced holds the VMs for which a later dispatcher has sent an order.
	fenced map[manager.VMID]bool
	// startedAt is when this dispatcher first saw that the maintenance of a VM for a wave has started. A VM of several
	// waves goes through one maintenance for each.
	startedAt map[waveVM]manager.Time
	// orderedNow holds the VMs whose maintenance is ordered in this cycle. The replicated state does not show it yet.
	orderedNow map[manager.VMID]bool
	// evictions holds the runs that are to be stopped and started elsewhere.
	evictions map[manager.TaskID]manager.RunNumber
	// listedAt is when the list of VMs was last requested; listingNeeded requests it, as a wave misses a VM.
	listedAt      manager.Time
	listingNeeded bool
	presence      presence
}

func (u *maintenanceState) init() {
	if u.inFlight == nil {
		u.inFlight, u.retryAt = map[manager.VMID]bool{}, map[manager.VMID]manager.Time{}
		u.startedAt, u.orderedNow = map[waveVM]manager.Time{}, map[manager.VMID]bool{}
		u.fenced, u.evictions = map[manager.VMID]bool{}, map[manager.TaskID]manager.RunNumber{}
	}
}

// updateMaintenance evacuates the VMs that are due, orders their maintenance within the cap and records their return.
func (d *Dispatcher) updateMaintenance(now manager.Time, c *recorder.Changes) {
	d.maintenance.init()
	d.maintenance.listingNeeded = false
	clear(d.maintenance.orderedNow)
	d.dropStartTimes()
	d.dropCompletedWaves()
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
		if len(c.Maintenance) >= maxMaintenanceChanges {
			return
		}
		w := d.byVM[vm]
		if w == nil {
			d.maintenance.listingNeeded = true
			if d.mayOrder(now, vm) && down < wave.Cap && d.allWorkersHeard(now) {
				down++
				d.orderMaintenance(wave, vm, 0, c)
			}
			continue
		}
		if rate <= 0 && (d.lending.overloaded || !d.hasLowLoad(w.latest.Pool)) || d.isWanted(now, w) {
			continue
		}
		rate--
		w.evacuating, w.evacuatedAt = true, now
		if down < wave.Cap && d.mayOrder(now, vm) && d.isIdle(w) {
			down++
			d.orderMaintenance(wave, vm, w.instance.StartedAt, c)
		}
	}
}

// trackOrdered records the VMs that are back, repeats orders without an outcome and returns how many VMs may be down.
func (d *Dispatcher) trackOrdered(now manager.Time, wave *recorder.Wave, c *recorder.Changes) int {
	down := 0
	for _, vm := range wave.VMs {
		switch wave.State[vm] {
		case recorder.MaintenanceOrdered:
			down++
			d.blockStarts(vm)
			d.repeatOrder(now, wave, vm)
			if d.byVM[vm] == nil {
				// The platform answers orders for a VM that is lost as busy until the VM leaves the list.
				d.maintenance.listingNeeded = true
			}
		case recorder.MaintenanceStarted:
			d.recordStartTime(now, wave, vm)
			if w := d.byVM[vm]; w != nil && len(c.Maintenance) < maxMaintenanceChanges && d.hasReturned(now, w, wave) {
				c.Maintenance = append(c.Maintenance, recorder.MaintenanceChange{Wave: wave.Wave, VM: vm, State: recorder.MaintenanceDone})
				d.log(manager.LogMaintenanceDone, "VM", vm, "Wave", wave.Wave, "Worker", w.instance.Worker)
				continue
			}
			down++
			d.blockStarts(vm)
			d.maintenance.listingNeeded = true
		}
	}
	return down
}

// requiredEvacuations returns how many VMs must be kept from work now so that the wave ends in time. More are evacuated
// only while no pool lacks VMs and the load of their own pool is low.
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

// hasLowLoad reports whether a pool can do without a VM for a while.
func (d *Dispatcher) hasLowLoad(p manager.PoolID) bool { return d.lending.loads[p] < lowLoad }

// blockStarts blocks new starts on a VM whose maintenance is ordered.
func (d *Dispatcher) blockStarts(vm manager.VMID) {
	if w := d.byVM[vm]; w != nil {
		w.evacuating = true
	}
}

// allWorkersHeard reports whether every live worker has had time to report to this dispatcher.
func (d *Dispatcher) allWorkersHeard(now manager.Time) bool {
	return now.Sub(d.StartedAt) > d.leaseTimeout()
}

func (d *Dispatcher) isIdle(w *worker) bool {
	return len(d.State.Runs(w.instance)) == 0 && len(w.running) == 0
}

// maintenanceQueue returns the waiting VMs of a wave: those that are being evacuated first, then those with the least
// work. VMs that are moving to another pool wait until they have arrived.
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

func (d *Dispatcher) orderMaintenance(wave *recorder.Wave, vm manager.VMID, born manager.Time, c *recorder.Changes) {
	d.maintenance.orderedNow[vm] = true
	c.Maintenance = append(c.Maintenance, recorder.MaintenanceChange{Wave: wave.Wave, VM: vm, State: recorder.MaintenanceOrdered, InstanceStart: born})
	d.log(manager.LogMaintenanceOrdered, "VM", vm, "Wave", wave.Wave, "Born", born)
}

// issueOrders issues the platform orders that the latest commit recorded.
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

func (d *Dispatcher) issueOrder(order PlatformOrder) {
	d.maintenance.inFlight[order.VM] = true
	d.platformOrders = append(d.platformOrders, order)
}

// mayOrder reports whether the platform may be called for a VM now. A predecessor that was cut off may have sent orders
// until another leader was elected, so its last order for the VM must be old enough.
func (d *Dispatcher) mayOrder(now manager.Time, vm manager.VMID) bool {
	if d.maintenance.inFlight[vm] || d.maintenance.fenced[vm] || now < d.maintenance.retryAt[vm] {
		return false
	}
	since := now.Sub(d.StartedAt)
	if at, ok := d.State.OrderedAt[vm]; ok && !d.unresolved[vm] && at <= d.initialStateAt {
		// Both times were taken from the predecessor's clock.
		since += d.initialStateAt.Sub(at)
	} else if !d.unresolved[vm] {
		return true
	}
	return since >= d.Options.OrderGapMs
}

// unresolvedOrders returns the VMs with orders whose outcome is not known: a predecessor may have repeated them at any
// time.
func unresolvedOrders(s *recorder.State) map[manager.VMID]bool {
	list := map[manager.VMID]bool{}
	for vm := range s.Moves {
		list[vm] = true
	}
	for _, w := range s.Waves {
		for vm, progress := range w.State {
			if progress == recorder.MaintenanceOrdered {
				list[vm] = true
			}
		}
	}
	return list
}

// repeatOrder repeats an order whose outcome is not known, as the order of a predecessor may have been lost.
func (d *Dispatcher) repeatOrder(now manager.Time, wave *recorder.Wave, vm manager.VMID) {
	if !d.mayOrder(now, vm) {
		return
	}
	if w := d.byVM[vm]; w != nil && !d.isIdle(w) && w.instance.StartedAt <= wave.InstanceStart[vm] {
		return
	}
	d.issueOrder(PlatformOrder{VM: vm, Wave: wave.Wave, Token: d.Token})
}

func (d *Dispatcher) handlePlatformResult(now manager.Time, r PlatformResult, c *recorder.Changes) {
	d.maintenance.init()
	d.log(manager.LogPlatformAnswered, "VM", r.Order.VM, "Wave", r.Order.Wave, "Pool", r.Order.Pool, "Outcome", r.Outcome, "Token", r.Order.Token)
	own := r.Order.Token == d.Token
	if own {
		delete(d.maintenance.inFlight, r.Order.VM)
	}
	if r.Order.Pool != "" && !own {
		// The move of an earlier dispatcher on this node; the VM may have been ordered to another pool since.
		return
	}
	if r.Order.Pool != "" {
		d.handleMoveResult(now, r, c)
		return
	}
	change := recorder.MaintenanceChange{Wave: r.Order.Wave, VM: r.Order.VM}
	switch r.Outcome {
	case OutcomeAccepted:
		d.maintenance.presence.note(r.Order.VM, now)
		change.State = recorder.MaintenanceStarted
		c.Maintenance = append(c.Maintenance, change)
		// The state shows this only after the commit; until then the order must not be repeated.
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

// WantsListing reports whether the platform's list of VMs should be read now.
func (d *Dispatcher) WantsListing(now manager.Time) bool {
	if !d.maintenance.listingNeeded && !d.lending.stale(now) || now.Sub(d.maintenance.listedAt) < listingPeriod {
		return false
	}
	d.maintenance.listedAt = now
	return true
}

// handleListing ends the maintenance of VMs that no longer exist, and of VMs that are up again without a worker. A list that was
// requested by an earlier dispatcher, or before one that is known already, is not used.
func (d *Dispatcher) handleListing(l Listing, c *recorder.Changes) {
	if l.AskedAt < max(d.StartedAt, d.lending.listedAt) {
		d.logMinor(manager.LogListNotUsed, "AskedAt", l.AskedAt, "StartedAt", d.StartedAt, "KnownAskedAt", d.lending.listedAt)
		return
	}
	d.lending.update(l)
	d.maintenance.presence.update(&l)
	d.fleetLimits = nil
	d.logUnread(&l)
	for _, id := range d.waves() {
		wave := d.State.Waves[id]
		for _, vm := range wave.VMs {
			if wave.State[vm] == recorder.MaintenanceDone || d.byVM[vm] != nil || len(c.Maintenance) >= maxMaintenanceChanges {
				continue
			}
			listed, ok := l.VMs[vm]
			begun := d.maintenance.startedAt[waveVM{id, vm}]
			back := wave.State[vm] == recorder.MaintenanceStarted && listed.Up && begun != 0 && l.AskedAt > begun
			if ok && !back || !ok && !d.provesGone(&l, id, vm) {
				continue
			}
			c.Maintenance = append(c.Maintenance, recorder.MaintenanceChange{Wave: id, VM: vm, State: recorder.MaintenanceDone})
			d.log(manager.LogMaintenanceEndedWithoutWorker, "VM", vm, "Wave", id, "Listed", ok, "AskedAt", l.AskedAt)
		}
	}
}
