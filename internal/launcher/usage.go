package launcher

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is what a process has used so far.
type Usage struct {
	// ResidentBytes is the memory that it holds now.
	ResidentBytes int64
	// Processor is the processor time since its start.
	Processor time.Duration
}

const (
	// clockTick is the unit of processor times in /proc on Linux.
	clockTick = 10 * time.Millisecond
	// userTime and systemTime are the places of the times in /proc/PID/stat after the command's name.
	userTime   = 11
	systemTime = 12
)

// Usage reads what the process has used, on Linux only.
func (p *Process) Usage() (Usage, error) {
	folder := fmt.Sprintf("/proc/%d/", p.command.Process.Pid)
	stat, err := os.ReadFile(folder + "stat")
	if err != nil {
		return Usage{}, fmt.Errorf("read processor time: %w", err)
	}
	memory, err := os.ReadFile(folder + "statm")
	if err != nil {
		return Usage{}, fmt.Errorf("read memory: %w", err)
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	pages, err := strconv.ParseInt(strings.Fields(string(memory))[1], 10, 64)
	if err != nil {
		return Usage{}, fmt.Errorf("parse memory: %w", err)
	}
	var ticks int64
	for _, i := range []int{userTime, systemTime} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return Usage{}, fmt.Errorf("parse processor time: %w", err)
		}
		ticks += n
	}
	return Usage{
		ResidentBytes: pages * int64(os.Getpagesize()),
		Processor:     time.Duration(ticks) * clockTick,
	}, nil
}
