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
	list := append(slices.Clone(l.find(k).samples), s)
	if len(list) > samplesKept {
		list = list[1:]
	}
	if _, ok := l.young[k]; !ok && len(l.young) >= maxLearned {
		l.old, l.young = l.young, map[learnKey]learned{}
	}
	l.young[k] = learned{
		samples: list,
		size:    sizeOf(list),
		run:     quantile(list, func(s sample) manager.Duration { return s.run }),
	}
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
	seen := manager.Resources{
		ProcessorMilliCores: j.Peak.ProcessorMilliCores,
		MemoryMegaBytes:     withHeadroom(j.Peak.MemoryMegaBytes, memoryHeadroom),
	}
	return r.Max(seen).Max(manager.LeastReservation(j.Declared))
}

func (l *learner) likely(j manager.Job) manager.Resources {
	if s := l.find(familyKey(j)); len(s.samples) >= familySamples {
		return s.size
	}
	s, ok := l.share(j)
	if !ok {
		return j.Declared
	}
	return manager.Resources{
		ProcessorMilliCores: j.Declared.ProcessorMilliCores * s.size.ProcessorMilliCores / perMille,
		MemoryMegaBytes:     j.Declared.MemoryMegaBytes * s.size.MemoryMegaBytes / perMille,
	}
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
	return manager.Resources{
		ProcessorMilliCores: withHeadroom(usual, processorHeadroom),
		MemoryMegaBytes:     withHeadroom(most, memoryHeadroom),
	}
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

func withHeadroom[T ~int64](v, percent T) T { return v + (v*percent+99)/100 }

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
