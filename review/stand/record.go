package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(name string) (*record, error) {
	f, err := os.Create(name)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// span is one run of a task on a minion, by the clock that all minions share.
type span struct {
	task, minion string
	run          uint64
	from, to     time.Time
}

// ledger holds the runs of all minions.
type ledger struct {
	mu   sync.Mutex
	list []*span
	// stopped holds the runs that an order ended while they were at work.
	stopped []*span
}

func (l *ledger) stop(s *span) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = append(l.stopped, s)
}

// stops returns the runs that an order ended while they were at work.
func (l *ledger) stops() []*span {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*span{}, l.stopped...)
}

func (l *ledger) begin(task, minion string, run uint64) *span {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &span{task: task, minion: minion, run: run, from: time.Now()}
	l.list = append(l.list, s)
	return s
}

func (l *ledger) end(s *span) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.to = time.Now()
}

// overlaps returns the pairs of runs of one task that ran at the same time, and for how long.
func (l *ledger) overlaps() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	until := func(s *span) time.Time {
		if s.to.IsZero() {
			return now
		}
		return s.to
	}
	list := []string{}
	for i, a := range l.list {
		for _, b := range l.list[i+1:] {
			if a.task != b.task || !b.from.Before(until(a)) {
				continue
			}
			end := until(a)
			if until(b).Before(end) {
				end = until(b)
			}
			list = append(list, fmt.Sprintf("%s: run %d on %s and run %d on %s at the same time for %d ms", a.task, a.run, a.minion, b.run, b.minion, end.Sub(b.from).Milliseconds()))
		}
	}
	return list
}

// on returns the tasks that a minion runs now.
func (l *ledger) on(minion string) []*span {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := []*span{}
	for _, s := range l.list {
		if s.minion == minion && s.to.IsZero() {
			list = append(list, s)
		}
	}
	return list
}

// running returns the runs of all tasks that are under way.
func (l *ledger) running() []*span {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := []*span{}
	for _, s := range l.list {
		if s.to.IsZero() {
			list = append(list, s)
		}
	}
	return list
}
