package placer

import (
	"slices"
	"strings"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// maxEstimates bounds the keys of one generation of estimates; two generations are kept.
	maxEstimates = 2_048
	// maxSamples is how many ended tasks of a key are kept; with more, estimates would follow a change of size later.
	maxSamples = 16
	// Minimum numbers of samples for an estimate from a family, from a team's jobs of a class and from all jobs
	// of a class. Fewer samples say too little.
	minFamilySamples = 3
	minTeamSamples   = 8
	minClassSamples  = 16
	// memoryHeadroom and processorHeadroom are added to an estimate, in percent.
	memoryHeadroom    = 15
	processorHeadroom = 10
	perMille          = 1_000
	// coarseOvercommit is the factor by which a coarse estimate, made from the samples of other families, may be
	// below the declared memory. Other families say little about one whose tasks have not ended yet.
	coarseOvercommit = 2
)

// estimateKey identifies jobs that are assumed to be alike; an empty team or family matches all.
type estimateKey struct {
	profile manager.ProfileID
	class   string
	team    manager.TeamID
	family  string
}

// sample is the usage of one ended task: absolute amounts for a family, otherwise thousandths of the
// declared size.
type sample struct {
	processors manager.MilliCores
	memory     manager.MegaBytes
	run        manager.Duration
}

// estimator estimates the reservation and the run time of jobs from the usage of ended tasks. It keeps two
// generations of keys: when the current one is full, it replaces the previous one.
type estimator struct {
	current  map[estimateKey]estimate
	previous map[estimateKey]estimate
}

// estimate holds the samples of a key and the values derived from them.
type estimate struct {
	samples []sample
	size    manager.Resources
	run     manager.Duration
	// floor is the largest reported memory use of a task that outgrew its reservation. It is reset after
	// maxSamples further tasks have ended.
	floor manager.MegaBytes
	ended int
}

func newEstimator() *estimator {
	return &estimator{current: map[estimateKey]estimate{}, previous: map[estimateKey]estimate{}}
}

// family returns the name that similar jobs share: the job ID without its trailing number.
func family(id manager.JobID) string {
	name := strings.TrimRight(string(id), "0123456789-_.")
	if name == "" {
		return string(id)
	}
	return name
}

func familyEstimateKey(j manager.Job) estimateKey {
	return estimateKey{profile: j.Profile, class: j.Class, team: j.Team, family: family(j.Job)}
}

func teamEstimateKey(j manager.Job) estimateKey {
	return estimateKey{profile: j.Profile, class: j.Class, team: j.Team}
}

func classEstimateKey(j manager.Job) estimateKey {
	return estimateKey{profile: j.Profile, class: j.Class}
}

func (e *estimator) find(k estimateKey) estimate {
	if s, ok := e.current[k]; ok {
		return s
	}
	return e.previous[k]
}

func (e *estimator) add(k estimateKey, s sample) {
	was := e.find(k)
	list := append(slices.Clone(was.samples), s)
	if len(list) > maxSamples {
		list = list[1:]
	}
	now := estimate{
		samples: list,
		size:    sizeOf(list),
		run:     upperQuartile(list, func(s sample) manager.Duration { return s.run }),
		floor:   was.floor,
		ended:   was.ended + 1,
	}
	if now.ended >= maxSamples {
		now.floor, now.ended = 0, 0
	}
	e.put(k, now)
}

// put stores an estimate. Keys that are not updated for long are dropped a generation at a time.
func (e *estimator) put(k estimateKey, v estimate) {
	if _, ok := e.current[k]; !ok && len(e.current) >= maxEstimates {
		e.previous, e.current = e.current, map[estimateKey]estimate{}
	}
	e.current[k] = v
}

// raiseFloor records the memory use of a running task that outgrew its reservation, so that further tasks of
// its family get large enough reservations before the first one has ended.
func (e *estimator) raiseFloor(j manager.Job, used manager.MegaBytes) {
	k := familyEstimateKey(j)
	v := e.find(k)
	if used <= v.floor {
		return
	}
	v.floor, v.ended = used, 0
	e.put(k, v)
}

// record adds the peak usage and the run time of a task that succeeded.
func (e *estimator) record(j manager.Job, peak manager.Resources, run manager.Duration) {
	if peak == (manager.Resources{}) {
		return
	}
	e.add(familyEstimateKey(j), sample{processors: peak.ProcessorMilliCores, memory: peak.MemoryMegaBytes, run: run})
	if j.Declared.ProcessorMilliCores == 0 || j.Declared.MemoryMegaBytes == 0 || j.DeclaredMs == 0 {
		return
	}
	share := sample{
		processors: peak.ProcessorMilliCores * perMille / j.Declared.ProcessorMilliCores,
		memory:     peak.MemoryMegaBytes * perMille / j.Declared.MemoryMegaBytes,
		run:        run * perMille / j.DeclaredMs,
	}
	e.add(teamEstimateKey(j), share)
	e.add(classEstimateKey(j), share)
}

// reservation returns the capacity to reserve for a job: the estimate for similar jobs, but at least the
// bounded overcommit's minimum and at least the job's own peak usage.
func (e *estimator) reservation(j manager.Job) manager.Resources {
	r := e.predict(j)
	r.Accelerators = j.Declared.Accelerators
	seen := j.Peak.Max(manager.Resources{MemoryMegaBytes: e.find(familyEstimateKey(j)).floor})
	return r.Max(withHeadroom(seen, j.Declared)).Max(manager.MinReservation(j.Declared))
}

func (e *estimator) predict(j manager.Job) manager.Resources {
	if s := e.find(familyEstimateKey(j)); len(s.samples) >= minFamilySamples {
		return withHeadroom(s.size, j.Declared)
	}
	s, ok := e.coarseEstimate(j)
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

// withHeadroom adds the headroom, but not beyond the declared size unless usage exceeds it.
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

func (e *estimator) coarseEstimate(j manager.Job) (estimate, bool) {
	if s := e.find(teamEstimateKey(j)); len(s.samples) >= minTeamSamples {
		return s, true
	}
	s := e.find(classEstimateKey(j))
	return s, len(s.samples) >= minClassSamples
}

// runTime returns the estimated run time of a job.
func (e *estimator) runTime(j manager.Job) manager.Duration {
	if s := e.find(familyEstimateKey(j)); len(s.samples) >= minFamilySamples {
		return s.run
	}
	if s, ok := e.coarseEstimate(j); ok {
		return j.DeclaredMs * s.run / perMille
	}
	return j.DeclaredMs
}

// sizeOf returns the maximum of memory, because a lack of memory kills tasks, and the upper quartile of
// processors, because a lack of processors only slows tasks down.
func sizeOf(list []sample) manager.Resources {
	var most manager.MegaBytes
	for _, s := range list {
		most = max(most, s.memory)
	}
	usual := upperQuartile(list, func(s sample) manager.MilliCores { return s.processors })
	return manager.Resources{ProcessorMilliCores: usual, MemoryMegaBytes: most}
}

// upperQuartile returns the value that three quarters of the samples do not exceed.
func upperQuartile[T ~int64](list []sample, value func(sample) T) T {
	values := make([]T, 0, len(list))
	for _, s := range list {
		values = append(values, value(s))
	}
	slices.Sort(values)
	return values[(len(values)-1)*3/4]
}

func addPercent[T ~int64](v, percent T) T { return v + (v*percent+99)/100 }

// remaining returns the estimated remaining run time of a task.
func (e *estimator) remaining(now manager.Time, t *leasedTask) manager.Duration {
	done := t.job.Progress.DoneMs
	if t.usage != nil {
		done = t.usage.report.DoneMs
	} else if t.job.Lease != nil {
		done += now.Sub(t.job.Lease.StartAt)
	}
	return max(0, e.runTime(*t.job)-done)
}
