package dispatcher_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/recorder"
)

// TestModelWithOverlappingWaves drives dispatchers through waves that share VMs: calls to the platform are late or lost
// with or without effect, VMs are busy or disappear, workers restart, are cut off, report late or come back late, and
// leaders are replaced at any point. Each maintenance must begin while fewer VMs of its wave are down than its cap, once
// for each wave that names the VM, and a wave may be completed only once all its VMs that still exist are back from it.
func TestModelWithOverlappingWaves(t *testing.T) {
	for seed := range uint64(*modelSeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed+1), func(t *testing.T) {
			m := &wavesModel{fleet: newFleet(t), rng: rand.New(rand.NewPCG(seed+1, 23)), completed: map[uint64]bool{}}
			m.play()
		})
	}
}

type wavesModel struct {
	*fleet
	rng   *rand.Rand
	token manager.FencingToken
	vms   []*modelVM
	waves []manager.MaintenanceRequest
	// completed holds the waves that were seen completed.
	completed map[uint64]bool
	delayed   []delayedStep
	// leaderAt is when the next dispatcher starts, or 0 if there is one.
	leaderAt manager.Time
	jobs     int
	// acceptsAgain means that the platform accepts an order again while the VM is down for it, instead of answering that
	// the VM is busy.
	acceptsAgain bool
}

// delayedStep is something that happens later. A step of a dispatcher is dropped once the dispatcher is replaced.
type delayedStep struct {
	at manager.Time
	by *dispatcher.Dispatcher
	do func()
}

// modelVM is a VM of the platform with its worker.
type modelVM struct {
	id     manager.VMID
	worker *fakeWorker
	gone   bool
	// downFor is the wave for which the VM is down, or 0.
	downFor uint64
	// busyUntil is until when orders are refused; movingUntil is when the VM arrives in its pool.
	busyUntil   manager.Time
	movingUntil manager.Time
	pool        manager.PoolID
	// begun counts the maintenance of the VM for each wave.
	begun map[uint64]int
	token manager.FencingToken
}

func (m *wavesModel) play() {
	m.token, m.acceptsAgain = 1, m.rng.IntN(2) == 0
	for i := range 7 {
		w := m.worker(manager.WorkerID(fmt.Sprintf("w%d", i)), pool, 4000)
		w.leased = true
		m.vms = append(m.vms, &modelVM{id: w.report.VM, worker: w, pool: pool, begun: map[uint64]int{}})
	}
	for range 900 {
		m.fault()
		m.tick()
	}
	m.sendAllWaves()
	for range 6000 {
		if m.tick(); m.allCompleted() {
			return
		}
	}
	require.Fail(m.t, "a wave was not completed", "states %v", m.states())
}

// states returns the progress of the waves that are not completed.
func (m *wavesModel) states() map[uint64]map[manager.VMID]recorder.MaintenanceState {
	list := map[uint64]map[manager.VMID]recorder.MaintenanceState{}
	for id, w := range m.state.Waves {
		if !w.Completed() {
			list[id] = w.State
		}
	}
	return list
}

func (m *wavesModel) allCompleted() bool {
	for _, w := range m.waves {
		if !m.completed[w.Wave] {
			return false
		}
	}
	return true
}

// after does something within a range of times from now.
func (m *wavesModel) after(least, most manager.Duration, by *dispatcher.Dispatcher, do func()) {
	m.delayed = append(m.delayed, delayedStep{at: m.now.Add(m.between(least, most)), by: by, do: do})
}

func (m *wavesModel) between(least, most manager.Duration) manager.Duration {
	return least + manager.Duration(m.rng.IntN(int(most-least)+1))
}

// tick advances 50 milliseconds.
func (m *wavesModel) tick() {
	for _, w := range m.workers {
		w.expireLease()
		w.tick()
	}
	due := m.delayed
	m.delayed = nil
	for _, s := range due {
		switch {
		case s.at > m.now:
			m.delayed = append(m.delayed, s)
		case s.by == nil || s.by == m.d && m.leaderAt == 0:
			s.do()
		}
	}
	if m.leaderAt != 0 && m.now >= m.leaderAt {
		m.leaderAt = 0
		m.token++
		m.startDispatcher(m.token)
		m.sendAllWaves()
	}
	if m.leaderAt == 0 {
		for m.runCycle(); len(m.events) > 0; {
			m.runCycle()
		}
		m.callPlatform()
		m.readListing()
	}
	m.checkCompleted()
	requireOneWavePerVM(m.t, m.state)

	m.now = m.now.Add(50)
}

// sendAllWaves sends the waves that the state does not hold, as the platform repeats a call without an answer.
func (m *wavesModel) sendAllWaves() {
	for _, w := range m.waves {
		if m.state.Waves[w.Wave] == nil {
			m.send(dispatcher.Event{Wave: &w})
		}
	}
}

func (m *wavesModel) fault() {
	vm := m.vms[m.rng.IntN(len(m.vms))]
	switch m.rng.IntN(250) {
	case 0, 1, 2, 3, 4, 5:
		m.addWave()
	case 6, 7:
		vm.busyUntil = m.now.Add(m.between(300, 4000))
	case 8:
		m.remove(vm)
	case 9, 10:
		if !vm.gone && vm.downFor == 0 && !vm.worker.silent {
			vm.worker.restart()
		}
	case 11:
		m.cutOff(vm)
	case 12, 13, 14:
		m.loseLeader()
	case 15, 16, 17:
		m.jobs++
		m.submit(manager.GraphID(fmt.Sprintf("j%d", m.jobs)), task(500, 1+m.rng.IntN(6)))
	}
}

// addWave sends a wave over some of the VMs, sometimes two at a time.
func (m *wavesModel) addWave() {
	for range 1 + m.rng.IntN(2) {
		if len(m.waves) == 9 {
			return
		}
		w := manager.MaintenanceRequest{Wave: uint64(len(m.waves) + 1), DurationMs: m.between(10_000, 60_000), Cap: 1 + m.rng.IntN(4)/3}
		for _, i := range m.rng.Perm(len(m.vms))[:2+m.rng.IntN(4)] {
			w.VMs = append(w.VMs, m.vms[i].id)
		}
		m.waves = append(m.waves, w)
		m.send(dispatcher.Event{Wave: &w})
	}
}

// remove lets a VM leave the fleet. It is busy until it is gone. At least four VMs stay.
func (m *wavesModel) remove(vm *modelVM) {
	left := slices.DeleteFunc(slices.Clone(m.vms), func(v *modelVM) bool { return v.gone })
	if len(left) <= 4 {
		return
	}
	vm.busyUntil = m.now.Add(manager.Minute)
	m.after(0, 2000, nil, func() {
		vm.gone, vm.downFor = true, 0
		vm.worker.silent = true
		clear(vm.worker.runs)
	})
}

// cutOff keeps a worker from reporting for a while, and sometimes for longer than its lease.
func (m *wavesModel) cutOff(vm *modelVM) {
	w, instance := vm.worker, vm.worker.report.Instance
	w.silent = true
	m.after(500, 20_000, nil, func() {
		if w.report.Instance == instance && vm.downFor == 0 && !vm.gone && vm.pool == w.report.Pool {
			w.silent, w.call = false, 0
		}
	})
}

// loseLeader ends the dispatcher, sometimes with changes that are committed without its knowledge. Its calls to the
// platform may still arrive.
func (m *wavesModel) loseLeader() {
	if m.leaderAt != 0 {
		return
	}
	c, _ := m.d.RunCycle(m.now, m.events)
	if m.rng.IntN(2) == 0 && !c.Empty() {
		m.state.Apply(c)
	}
	m.events = nil
	m.leaderAt = m.now.Add(m.between(50, 2000))
}

// callPlatform sends the orders to the platform. Calls and answers may be late or lost.
func (m *wavesModel) callPlatform() {
	by := m.d
	for _, order := range m.platformOrders {
		answer := func(outcome dispatcher.PlatformOutcome, least, most manager.Duration) {
			m.after(least, most, by, func() {
				m.send(dispatcher.Event{Platform: &dispatcher.PlatformResult{Order: order, Outcome: outcome}})
			})
		}
		switch m.rng.IntN(8) {
		case 0:
			answer(dispatcher.OutcomeUnknown, 100, 1000)
		case 1:
			m.after(0, 300, nil, func() {
				m.perform(order)
				answer(dispatcher.OutcomeUnknown, 0, 1000)
			})
		case 2:
			m.after(300, 2000, nil, func() { answer(m.perform(order), 0, 500) })
		default:
			m.after(0, 100, nil, func() { answer(m.perform(order), 0, 100) })
		}
	}
	m.platformOrders = nil
}

// perform carries an order out as the platform does.
func (m *wavesModel) perform(order dispatcher.PlatformOrder) dispatcher.PlatformOutcome {
	vm := m.vms[slices.IndexFunc(m.vms, func(v *modelVM) bool { return v.id == order.VM })]
	switch {
	case vm.gone && m.rng.IntN(2) == 0:
		return dispatcher.OutcomeInvalid
	case vm.gone:
		return dispatcher.OutcomeUnknown
	case order.Token < vm.token:
		return dispatcher.OutcomeFenced
	}
	vm.token = order.Token
	busy := vm.downFor != 0 || m.now < max(vm.busyUntil, vm.movingUntil)
	if order.Pool != "" {
		return m.move(vm, order.Pool, busy)
	}
	wave := m.waves[order.Wave-1]
	switch {
	case !slices.Contains(wave.VMs, vm.id):
		return dispatcher.OutcomeInvalid
	case vm.begun[wave.Wave] > 0 && (vm.downFor == 0 || m.acceptsAgain):
		return dispatcher.OutcomeAccepted
	case busy:
		return dispatcher.OutcomeBusy
	}
	m.begin(vm, wave)
	return dispatcher.OutcomeAccepted
}

// move ends everything on a VM and moves it to another pool. VMs of the standby pool have no worker.
func (m *wavesModel) move(vm *modelVM, to manager.PoolID, busy bool) dispatcher.PlatformOutcome {
	switch {
	case vm.pool == to:
		return dispatcher.OutcomeAccepted
	case busy:
		return dispatcher.OutcomeBusy
	}
	vm.pool, vm.movingUntil = to, m.now.Add(m.between(1000, 2000))
	vm.worker.silent = true
	clear(vm.worker.runs)
	m.after(2000, 2000, nil, func() { m.startWorker(vm) })
	return dispatcher.OutcomeAccepted
}

// begin takes a VM down for a wave and checks the cap.
func (m *wavesModel) begin(vm *modelVM, wave manager.MaintenanceRequest) {
	down := 0
	for _, v := range m.vms {
		if v.downFor == wave.Wave {
			down++
		}
	}
	require.Less(m.t, down, wave.Cap, "%s goes down for wave %d at %d", vm.id, wave.Wave, m.now)
	require.False(m.t, m.completed[wave.Wave], "%s goes down for wave %d, which is completed, at %d", vm.id, wave.Wave, m.now)
	vm.begun[wave.Wave]++
	vm.downFor = wave.Wave
	w := vm.worker
	if m.rng.IntN(4) == 0 && !w.silent {
		// The last report of the instance that ends is on its way. One that the order names is told apart by its start
		// however late it reports, any other only by the time.
		late, most := w.report, manager.Duration(1400)
		late.Sequence++
		if m.state.Waves[wave.Wave].InstanceStart[vm.id] >= late.Instance.StartedAt {
			most = 6000
		}
		m.after(0, most, nil, func() { m.send(dispatcher.Event{Report: &late}) })
	}
	w.silent = true
	clear(w.runs)
	m.after(1800, 2300, nil, func() { m.end(vm) })
}

// end brings a VM up again. Its worker starts after a while.
func (m *wavesModel) end(vm *modelVM) {
	if vm.gone {
		return
	}
	vm.downFor = 0
	start := func() { m.startWorker(vm) }
	if m.rng.IntN(5) == 0 {
		m.after(1000, 9000, nil, start)
		return
	}
	m.after(0, 200, nil, start)
}

// startWorker starts a new worker instance on a VM that is up.
func (m *wavesModel) startWorker(vm *modelVM) {
	if vm.gone || vm.downFor != 0 || m.now < vm.movingUntil || vm.pool == spare {
		return
	}
	vm.worker.restart()
	vm.worker.silent, vm.worker.call, vm.worker.report.Pool = false, 0, vm.pool
}

// readListing answers the dispatcher's request for the list of VMs with the list of this moment, after a while.
func (m *wavesModel) readListing() {
	if !m.d.WantsListing(m.now) {
		return
	}
	list := &dispatcher.Listing{AskedAt: m.now, VMs: map[manager.VMID]dispatcher.ListedVM{}}
	for _, vm := range m.vms {
		if !vm.gone {
			list.VMs[vm.id] = dispatcher.ListedVM{
				Pool: vm.pool, Up: vm.downFor == 0 && m.now >= vm.movingUntil, Moving: m.now < vm.movingUntil, Capacity: vm.worker.report.Capacity,
			}
		}
	}
	m.after(0, 600, m.d, func() { m.send(dispatcher.Event{Listing: list}) })
}

// checkCompleted asserts that a wave that is completed has maintained all its VMs that still exist, and stays completed.
func (m *wavesModel) checkCompleted() {
	for _, wave := range m.waves {
		w := m.state.Waves[wave.Wave]
		if w == nil || !w.Completed() {
			require.False(m.t, m.completed[wave.Wave], "wave %d is no longer completed at %d", wave.Wave, m.now)
			continue
		}
		if m.completed[wave.Wave] {
			continue
		}
		m.completed[wave.Wave] = true
		for _, vm := range m.vms {
			if vm.gone || !slices.Contains(wave.VMs, vm.id) {
				continue
			}
			require.Equal(m.t, 1, vm.begun[wave.Wave], "wave %d is completed at %d without maintenance of %s", wave.Wave, m.now, vm.id)
			require.NotEqual(m.t, wave.Wave, vm.downFor, "wave %d is completed at %d while %s is down", wave.Wave, m.now, vm.id)
		}
	}
}
