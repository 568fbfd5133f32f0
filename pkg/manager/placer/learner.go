package placer

import (
	"slices"
	"strings"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// maxLearned bounds the keys of one generation of learned sizes; two generations are kept.
	maxLearned = 2_048
	// samplesKept is how many ended tasks of a key count; more react later to a change of size.
	samplesKept = 16
	// Fewer samples than these say too little: of one family, of one team's class, of one class.
	familySamples = 3
	teamSamples   = 8
	classSamples  = 16
	// memoryHeadroom and processorHeadroom are added to what was learned, in percent.
	memoryHeadroom    = 15
	processorHeadroom = 10
	perMille          = 1_000
	// coarseOvercommit bounds by how much a reservation that other families taught may be below the
	// declared memory, as those say little of a family whose tasks have not ended yet.
	coarseOvercommit = 2
)

// learnKey names jobs that are taken to be alike; an empty Team or Family widens it.
type learnKey struct {
	profile manager.ProfileID
	class   string
	team    manager.TeamID
	family  string
}

// sample is what one ended task used: amounts for a family, else shares of the declared size in
// thousandths.
type sample struct {
	processors manager.MilliCores
	memory     manager.MegaBytes
	run        manager.Duration
}

// learner keeps the use of ended tasks, the most recently seen keys only.
type learner struct {
	young map[learnKey]learned
	old   map[learnKey]learned
}

// learned is the samples of a key and what follows from them.
type learned struct {
	samples []sample
	size    manager.Resources
	run     manager.Duration
	// floor is the most memory that a task which outgrew its reservation was seen to use; it counts
	// until as many tasks as are kept have ended since.
	floor manager.MegaBytes
	ended int
}

func newLearner() *learner {
	return &learner{young: map[learnKey]learned{}, old: map[learnKey]learned{}}
}

// family returns the name that jobs of one kind share: the id without its trailing number.
func family(id manager.JobID) string {
	name := strings.TrimRight(string(id), "0123456789-_.")
	if name == "" {
		return string(id)
	}
	return name
}

func familyKey(j manager.Job) learnKey {
	return learnKey{profile: j.Profile, class: j.Class, team: j.Team, family: family(j.Job)}
}

func teamKeyOf(j manager.Job) learnKey {
	return learnKey{profile: j.Profile, class: j.Class, team: j.Team}
}

func classKeyOf(j manager.Job) learnKey { return learnKey{profile: j.Profile, class: j.Class} }

func (l *learner) find(k learnKey) learned {
	if s, ok := l.young[k]; ok {
		return s
	}
	return l.old[k]
}

func (l *learner) add(k learnKey, s sample) {
	was := l.find(k)
	list := append(slices.Clone(was.samples), s)
	if len(list) > samplesKept {
		list = list[1:]
	}
	now := learned{
		samples: list,
		size:    sizeOf(list),
		run:     quantile(list, func(s sample) manager.Duration { return s.run }),
		floor:   was.floor,
		ended:   was.ended + 1,
	}
	if now.ended >= samplesKept {
		now.floor, now.ended = 0, 0
	}
	l.put(k, now)
}

// put stores what was learned; the keys that were not seen for long are forgotten a generation at a time.
func (l *learner) put(k learnKey, v learned) {
	if _, ok := l.young[k]; !ok && len(l.young) >= maxLearned {
		l.old, l.young = l.young, map[learnKey]learned{}
	}
	l.young[k] = v
}

// warn takes the memory of a running task that outgrew its reservation, so that no more tasks of its
// family are placed too tightly before the first has ended.
func (l *learner) warn(j manager.Job, used manager.MegaBytes) {
	k := familyKey(j)
	v := l.find(k)
	if used <= v.floor {
		return
	}
	v.floor, v.ended = used, 0
	l.put(k, v)
}

// learn takes the largest use and the run time of a task that succeeded.
func (l *learner) learn(j manager.Job, peak manager.Resources, run manager.Duration) {
	if peak == (manager.Resources{}) {
		return
	}
	l.add(familyKey(j), sample{processors: peak.ProcessorMilliCores, memory: peak.MemoryMegaBytes, run: run})
	if j.Declared.ProcessorMilliCores == 0 || j.Declared.MemoryMegaBytes == 0 || j.DeclaredMs == 0 {
		return
	}
	share := sample{
		processors: peak.ProcessorMilliCores * perMille / j.Declared.ProcessorMilliCores,
		memory:     peak.MemoryMegaBytes * perMille / j.Declared.MemoryMegaBytes,
		run:        run * perMille / j.DeclaredMs,
	}
	l.add(teamKeyOf(j), share)
	l.add(classKeyOf(j), share)
}

// size returns what to reserve for a job: what jobs like it used, but never less than the bounded
// overcommit allows and never less than the job itself was seen to use.
func (l *learner) size(j manager.Job) manager.Resources {
	r := l.likely(j)
	r.Accelerators = j.Declared.Accelerators
	seen := j.Peak.Max(manager.Resources{MemoryMegaBytes: l.find(familyKey(j)).floor})
	return r.Max(withHeadroom(seen, j.Declared)).Max(manager.MinReservation(j.Declared))
}

func (l *learner) likely(j manager.Job) manager.Resources {
	if s := l.find(familyKey(j)); len(s.samples) >= familySamples {
		return withHeadroom(s.size, j.Declared)
	}
	s, ok := l.share(j)
	if !ok {
		return j.Declared
	}
	return withHeadroom(manager.Resources{
		ProcessorMilliCores: j.Declared.ProcessorMilliCores * s.size.ProcessorMilliCores / perMille,
		MemoryMegaBytes: max(
			j.Declared.MemoryMegaBytes*s.size.MemoryMegaBytes/perMille,
			j.Declared.MemoryMegaBytes/coarseOvercommit,
		),
	}, j.Declared)
}

// withHeadroom adds the headroom, but not beyond a declared size that was enough so far.
func withHeadroom(used, declared manager.Resources) manager.Resources {
	roomy := manager.Resources{
		ProcessorMilliCores: addPercent(used.ProcessorMilliCores, processorHeadroom),
		MemoryMegaBytes:     addPercent(used.MemoryMegaBytes, memoryHeadroom),
	}
	if used.ProcessorMilliCores <= declared.ProcessorMilliCores {
		roomy.ProcessorMilliCores = min(roomy.ProcessorMilliCores, declared.ProcessorMilliCores)
	}
	if used.MemoryMegaBytes <= declared.MemoryMegaBytes {
		roomy.MemoryMegaBytes = min(roomy.MemoryMegaBytes, declared.MemoryMegaBytes)
	}
	return roomy
}

func (l *learner) share(j manager.Job) (learned, bool) {
	if s := l.find(teamKeyOf(j)); len(s.samples) >= teamSamples {
		return s, true
	}
	s := l.find(classKeyOf(j))
	return s, len(s.samples) >= classSamples
}

// runTime returns how long a job is likely to run.
func (l *learner) runTime(j manager.Job) manager.Duration {
	if s := l.find(familyKey(j)); len(s.samples) >= familySamples {
		return s.run
	}
	if s, ok := l.share(j); ok {
		return j.DeclaredMs * s.run / perMille
	}
	return j.DeclaredMs
}

// sizeOf takes the most memory, as a lack of it kills tasks, and a usual amount of processors,
// as a lack of them only slows tasks down.
func sizeOf(list []sample) manager.Resources {
	var most manager.MegaBytes
	for _, s := range list {
		most = max(most, s.memory)
	}
	usual := quantile(list, func(s sample) manager.MilliCores { return s.processors })
	return manager.Resources{ProcessorMilliCores: usual, MemoryMegaBytes: most}
}

// quantile returns the value that three quarters of the samples do not exceed.
func quantile[T ~int64](list []sample, value func(sample) T) T {
	values := make([]T, 0, len(list))
	for _, s := range list {
		values = append(values, value(s))
	}
	slices.Sort(values)
	return values[(len(values)-1)*3/4]
}

func addPercent[T ~int64](v, percent T) T { return v + (v*percent+99)/100 }

// remaining returns how long a task is likely to run on.
func (l *learner) remaining(now manager.Time, t *held) manager.Duration {
	done := t.job.Progress.DoneMs
	if t.task != nil {
		done = t.task.report.DoneMs
	} else if t.job.Lease != nil {
		done += now.Sub(t.job.Lease.StartAt)
	}
	return max(0, l.runTime(*t.job)-done)
}
