package dispatcher

import (
	"cmp"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

const (
	// lendPeriod is the pause between two looks at the pools.
	lendPeriod = 200 * manager.Millisecond
	// lendHorizon is the time within which a pool should be able to work off what waits for it; it is
	// well under the slack of the objectives, as a move takes a second or two.
	lendHorizon = 700 * manager.Millisecond
	// calmWait is the predicted wait under which a pool gives lent VMs away.
	calmWait = 250 * manager.Millisecond
	// idleReturn is how long a lent VM without work stays, as another surge may come.
	idleReturn = 1500 * manager.Millisecond
	// notePeriod is the pause between two log lines on each pool.
	notePeriod = 1 * manager.Second
	// listAge is the age after which the list of VMs is read again.
	listAge = 15 * manager.Second
)

// lending is what a dispatcher knows of the VMs that may change their pool.
type lending struct {
	vms      map[manager.VMID]ListedVM
	listedAt manager.Time
	lookedAt manager.Time
	notedAt  manager.Time
	// waits are the predicted waits of the pools at the latest look.
	waits map[manager.PoolID]manager.Duration
	// room is the capacity that could be lent at the latest look.
	room manager.Resources
	// barred are the VMs that the platform does not let into a pool.
	barred map[manager.VMID]bool
}

func (l *lending) stale(now manager.Time) bool { return l.vms == nil || now.Sub(l.listedAt) > listAge }

func (l *lending) take(list Listing) { l.vms, l.listedAt = list.VMs, list.AskedAt }

// poolLoad is the work of a pool.
type poolLoad struct {
	pool manager.PoolID
	work work
	room manager.Resources
}

// wait is the predicted time in which the pool works off what it has.
func (p *poolLoad) wait() manager.Duration {
	return manager.Duration(p.work.over(p.room))
}

// lent tells whether a worker's VM is at home in another pool.
func (d *Dispatcher) lent(w *worker) bool {
	home, ok := d.Book.Homes[w.latest.VM]
	return ok && home != w.latest.Pool
}

// stepLending sends VMs of standby pools to the pools that surge, on to the next surge, and back.
// It answers queues that surge in turns: each for some seconds, by more than its own pool holds.
func (d *Dispatcher) stepLending(now manager.Time, c *recorder.Changes) {
	d.endMoves(now, c)
	if d.Book.Configuration == nil || now.Sub(d.Began) < d.Options.DutyGapMs || now.Sub(d.lending.lookedAt) < lendPeriod {
		return
	}
	d.lending.lookedAt = now
	loads := d.loads(now)
	d.notePools(now, loads)
	d.lending.waits = map[manager.PoolID]manager.Duration{}
	for _, p := range loads {
		d.lending.waits[p.pool] = p.wait()
	}
	free := d.lendable()
	for _, p := range loads {
		for p.wait() > lendHorizon && len(free) > 0 {
			vm := free[0]
			free = free[1:]
			p.room = p.room.Add(vm.capacity)
			d.send(now, vm, p.pool, c)
		}
	}
	d.lending.room = manager.Resources{}
	for _, vm := range free {
		d.lending.room = d.lending.room.Add(vm.capacity)
	}
	d.sendHome(now, free, c)
}

// loads returns the pools that are in use, those that take longest first.
func (d *Dispatcher) loads(now manager.Time) []*poolLoad {
	byPool := map[manager.PoolID]*poolLoad{}
	var list []*poolLoad
	for _, p := range d.Book.Configuration.Pools {
		if !p.Standby && byPool[p.Pool] == nil {
			l := &poolLoad{pool: p.Pool, room: d.freeRoom(now, p.Pool)}
			byPool[p.Pool] = l
			list = append(list, l)
		}
	}
	for vm, p := range d.Book.Moves {
		if l := byPool[p]; l != nil {
			l.room = l.room.Add(d.lending.vms[vm].Capacity)
		}
	}
	for _, j := range d.Book.Active() {
		l := byPool[d.poolOf(j)]
		if l == nil || j.Lasting() || d.turnOf(now, j).class == classOverdue {
			continue
		}
		l.work.plus(d.times.work(j))
	}
	slices.SortFunc(list, func(a, b *poolLoad) int {
		return cmp.Or(-cmp.Compare(a.wait(), b.wait()), cmp.Compare(a.pool, b.pool))
	})
	return list
}

// notePools logs the load of the pools that have any, now and then.
func (d *Dispatcher) notePools(now manager.Time, loads []*poolLoad) {
	if now.Sub(d.lending.notedAt) < notePeriod {
		return
	}
	d.lending.notedAt = now
	for _, p := range loads {
		if p.work == (work{}) {
			continue
		}
		used, vms := d.used(p.pool)
		d.note("pool loaded", "Pool", p.pool, "VMs", vms, "WaitMs", p.wait(), "FreeOfLasting", p.room, "Used", used)
	}
}

// used returns what the finite tasks of a pool take, and the number of its workers.
func (d *Dispatcher) used(p manager.PoolID) (manager.Resources, int) {
	var used manager.Resources
	vms := 0
	for _, w := range d.workers {
		if w.latest.Pool != p {
			continue
		}
		vms++
		for id := range d.Book.Runs(w.life) {
			if j := d.Book.Jobs[id.Graph]; j != nil && !j.Steps[id.Step].Lasting {
				used = used.Add(stepRoom(j.Steps[id.Step]))
			}
		}
	}
	return used, vms
}

// lendableVM is a VM that may be sent to another pool.
type lendableVM struct {
	vm       manager.VMID
	pool     manager.PoolID
	capacity manager.Resources
	worker   *worker
}

// lendable returns the VMs of standby pools, then the lent ones in calm pools.
func (d *Dispatcher) lendable() []lendableVM {
	standby := map[manager.PoolID]bool{}
	for _, p := range d.Book.Configuration.Pools {
		standby[p.Pool] = p.Standby
	}
	kept := d.inWaves()
	var off, lent []lendableVM
	for id, vm := range d.lending.vms {
		if _, moving := d.Book.Moves[id]; moving || kept[id] || d.lending.barred[id] || d.upkeep.fenced[id] {
			continue
		}
		if w := d.byVM[id]; w != nil {
			w.leaving = false
			if d.lent(w) && d.calm(w.latest.Pool) && !w.latest.Draining {
				lent = append(lent, lendableVM{vm: id, pool: w.latest.Pool, capacity: vm.Capacity, worker: w})
			}
			continue
		}
		if vm.Up && standby[vm.Pool] {
			off = append(off, lendableVM{vm: id, pool: vm.Pool, capacity: vm.Capacity})
		}
	}
	for _, list := range [][]lendableVM{off, lent} {
		slices.SortFunc(list, func(a, b lendableVM) int { return cmp.Compare(a.vm, b.vm) })
	}
	return append(lent, off...)
}

// inWaves returns the VMs whose upkeep is not done.
func (d *Dispatcher) inWaves() map[manager.VMID]bool {
	kept := map[manager.VMID]bool{}
	for _, id := range d.waves() {
		wave := d.Book.Waves[id]
		for _, vm := range wave.VMs {
			if wave.State[vm] != recorder.UpkeepDone {
				kept[vm] = true
			}
		}
	}
	return kept
}

// send moves a VM as soon as it is empty.
func (d *Dispatcher) send(now manager.Time, vm lendableVM, to manager.PoolID, c *recorder.Changes) {
	if vm.pool == to {
		return
	}
	if vm.worker != nil {
		vm.worker.leaving = true
		if !d.empty(vm.worker) {
			return
		}
	}
	if now < d.upkeep.retryAt[vm.vm] {
		return
	}
	c.Move = append(c.Move, recorder.Move{VM: vm.vm, Pool: to, From: vm.pool})
	d.note("VM moves", "VM", vm.vm, "From", vm.pool, "To", to)
}

// sendHome returns the lent VMs that have had no work for a while.
func (d *Dispatcher) sendHome(now manager.Time, free []lendableVM, c *recorder.Changes) {
	for _, vm := range free {
		w := vm.worker
		if w == nil {
			continue
		}
		if !d.empty(w) {
			w.idleSince = 0
			continue
		}
		if w.idleSince == 0 {
			w.idleSince = now
		}
		if now.Sub(w.idleSince) > idleReturn {
			d.send(now, vm, d.Book.Homes[vm.vm], c)
		}
	}
}

// endMoves notes the VMs that have arrived, and repeats orders whose outcome is not known.
func (d *Dispatcher) endMoves(now manager.Time, c *recorder.Changes) {
	for _, vm := range sortedVMs(d.Book.Moves) {
		to := d.Book.Moves[vm]
		if w := d.byVM[vm]; w != nil && w.latest.Pool == to {
			c.Move = append(c.Move, recorder.Move{VM: vm})
			d.lending.arrived(vm, to)
			continue
		}
		if d.upkeep.calling[vm] || d.upkeep.fenced[vm] || now < d.upkeep.retryAt[vm] || now.Sub(d.Began) < d.Options.DutyGapMs {
			continue
		}
		if w := d.byVM[vm]; w == nil || d.empty(w) {
			d.call(Duty{VM: vm, Pool: to, Token: d.Token})
		}
	}
}

func (l *lending) arrived(vm manager.VMID, to manager.PoolID) {
	if known, ok := l.vms[vm]; ok {
		known.Pool, known.Up = to, true
		l.vms[vm] = known
	}
}

func sortedVMs(m map[manager.VMID]manager.PoolID) []manager.VMID {
	list := make([]manager.VMID, 0, len(m))
	for vm := range m {
		list = append(list, vm)
	}
	slices.Sort(list)
	return list
}

// moveAgain is the pause before a move that was taken is ordered again, if its VM has not arrived.
const moveAgain = 5 * manager.Second

func (d *Dispatcher) takeMove(now manager.Time, r DutyResult, c *recorder.Changes) {
	vm := r.Duty.VM
	switch r.Outcome {
	case DutyTaken:
		d.upkeep.retryAt[vm] = now.Add(moveAgain)
		if w := d.byVM[vm]; w != nil && w.latest.Pool != r.Duty.Pool {
			d.lose(w.life, c)
			d.forget(w)
		}
		if d.standbyPool(r.Duty.Pool) {
			c.Move = append(c.Move, recorder.Move{VM: vm})
			d.lending.arrived(vm, r.Duty.Pool)
		}
	case DutyVoid, DutyBusy:
		if r.Outcome == DutyVoid {
			if d.lending.barred == nil {
				d.lending.barred = map[manager.VMID]bool{}
			}
			d.lending.barred[vm] = true
		}
		d.upkeep.retryAt[vm] = now.Add(dutyRetry)
		c.Move = append(c.Move, recorder.Move{VM: vm})
	case DutyFenced:
		d.upkeep.fenced[vm] = true
	default:
		d.upkeep.retryAt[vm] = now.Add(dutyRetry)
	}
}

func (d *Dispatcher) standbyPool(p manager.PoolID) bool {
	return slices.ContainsFunc(d.Book.Configuration.Pools, func(s manager.PoolSettings) bool { return s.Pool == p && s.Standby })
}
