package launcher

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// RefuseWrites makes each write of the process to a file fail with EFBIG until AllowWrites, on Linux only.
func (p *Process) RefuseWrites() error { return p.limitFiles(0) }

// AllowWrites ends RefuseWrites.
func (p *Process) AllowWrites() error { return p.limitFiles(unix.RLIM_INFINITY) }

// limitFiles bounds the size of the process's files; the bound that only root could raise again stays.
func (p *Process) limitFiles(size uint64) error {
	var limit unix.Rlimit
	pid := p.command.Process.Pid
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, nil, &limit); err != nil {
		return fmt.Errorf("read file limit of %s: %w", p.Node, err)
	}
	limit.Cur = min(size, limit.Max)
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		return fmt.Errorf("set file limit of %s: %w", p.Node, err)
	}
	return nil
}
