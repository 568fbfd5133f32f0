package main

import (
	"fmt"
	"strings"
	"time"
)

// The bounds of the site that the judgement needs.
const (
	recovery   = 12 * time.Second // recoveryS
	finish     = 14 * time.Second // finish_s
	nothingFor = 3 * time.Second
)

// xmlText is a checkpoint: the state of a task's work as XML, a little less than the 4,000 bytes that a spec may have.
func xmlText(task string, worked time.Duration) string {
	var b strings.Builder
	fmt.Fprintf(&b, `<state task="%s" ms="%d">`, task, worked.Milliseconds())
	for i := 0; b.Len() < 3950; i++ {
		fmt.Fprintf(&b, `<row n="%d"/>`, i)
	}
	b.WriteString("</state>")
	return b.String()
}

// hexText is a checkpoint of the same length in hexadecimal digits.
func hexText(task string, worked time.Duration) string {
	s := fmt.Sprintf("%s.%08x.", task, worked.Milliseconds())
	return s + strings.Repeat("5c0e7a21d94b36f8", 250)[:4000-len(s)]
}

// savingJob is a job whose tasks save their progress.
type savingJob struct {
	tasks, perMinion int
	task             need
	saved            func(task string, worked time.Duration) string
}

// escapedCheckpoints: 160 tasks run on one of three minions.
func escapedCheckpoints(b *bench) (bool, error) {
	return lapse(b, savingJob{tasks: 160, task: need{400, 512}, saved: xmlText})
}

// manyCheckpoints: 240 tasks run on each of three minions.
func manyCheckpoints(b *bench) (bool, error) {
	return lapse(b, savingJob{tasks: 720, perMinion: 240, task: need{125, 128}, saved: hexText})
}

// lapse plays a job of tasks that save their progress, during which all machines with a disk lose power for 9.5 s. The leases
// lapse, and the minions list the ends with their checkpoints.
func lapse(b *bench, saving savingJob) (bool, error) {
	const work, down = 25 * time.Second, 9500 * time.Millisecond
	var minions []*minion
	for i := range 3 {
		minions = append(minions, &minion{
			id: fmt.Sprintf("i-%d", i+1), machine: fmt.Sprintf("m-%d", i+1), service: service, addr: fmt.Sprintf("127.0.0.1:%d", 9000+i),
			zone: fmt.Sprintf("zone-%d", i), labels: []string{"a", fmt.Sprintf("r1-%d", i)}, cpu: 64000, mem: 262144,
		})
	}
	if err := b.begin(3, 1, minions); err != nil {
		return false, err
	}
	w, fronts := b.w, b.c.fronts()
	j := &job{
		id: "5c0e7a21d94b36f8", spec: "close", count: saving.tasks, perMinion: saving.perMinion, task: saving.task, work: work,
		every: 500 * time.Millisecond, saved: saving.saved,
	}
	if s := w.submit(fronts, prefix, j, 5*time.Second); s/100 != 2 {
		return false, fmt.Errorf("the job was not accepted: %d", s)
	}
	b.sleep(4 * time.Second)
	running, _ := w.runningOf(j.id)
	for _, m := range minions {
		n, _, _ := m.counts()
		w.rec.say("%s runs %d tasks of %d", m.id, n, running)
	}
	if running < saving.tasks {
		return false, fmt.Errorf("%d of %d tasks run", running, saving.tasks)
	}
	if b.trouble {
		w.rec.say("all machines with a disk lose power for %v", down)
		b.c.losePower()
		b.sleep(down)
		if err := b.c.returnPower(b.root); err != nil {
			return false, err
		}
		w.rec.say("all machines are back")
	}
	// The traffic has ended. recoveryS and finish_s later the job is asked for.
	b.watch(j, recovery+finish)
	return b.idle(fronts, j)
}

// watch writes down once a second what runs, until a job is done or the time is over.
func (b *bench) watch(j *job, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end) && b.ctx.Err() == nil; {
		b.sleep(time.Second)
		running, done := b.w.runningOf(j.id)
		ends, refused := 0, 0
		for _, m := range b.w.minions {
			_, e, r := m.counts()
			ends, refused = ends+e, refused+r
		}
		used, all := b.w.used()
		b.rec.line("job %s: %d tasks run, %d of %d are done; minions list %d ends, %d heartbeats got a 400; %d of %d thousandths of cores in use",
			j.id, running, done, j.count, ends, refused, used, all)
		if done == j.count {
			return
		}
	}
}

// idle tells whether for 3 s a job that hasn't ended has nothing running, while there is capacity for all its tasks twice over
// and under half of the service's is in use.
func (b *bench) idle(fronts []string, j *job) (bool, error) {
	w := b.w
	status, state := w.state(fronts, prefix, j.id)
	w.rec.say("the job is asked for: %d %s", status, state)
	if status/100 != 2 {
		w.rec.say("LOST: the job gets no answer")
		return true, nil
	}
	need := j.task.cpu * j.count
	for end := time.Now().Add(nothingFor); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		running, done := w.runningOf(j.id)
		used, all := w.used()
		if running > 0 || state == "completed" || 2*used >= all || all-used < 2*need {
			w.rec.say("%d tasks run, %d are done", running, done)
			return len(w.problems()) > 0, nil
		}
	}
	status, state = w.state(fronts, prefix, j.id)
	for _, text := range []string{"Changes not committed", "Heartbeat refused"} {
		if n, first := b.c.countLog(text); n > 0 {
			w.rec.say("the nodes' logs have %d lines like %s", n, first)
		}
	}
	w.rec.say("LOST: for 3 s the job, which is shown as %q, has nothing running, and nothing else runs either", state)
	return true, nil
}

func (w *world) problems() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.problem {
		w.rec.say("%s", p)
	}
	return w.problem
}

func (b *bench) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-b.ctx.Done():
	}
}
