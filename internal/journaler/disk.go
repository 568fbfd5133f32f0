package journaler

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/google/renameio/v2"
)

// Disk is the set of operations that a Log performs on its folder; tests replace it to inject
// failed writes and syncs.
type Disk interface {
	// Create creates a new file; the file is durable after its first Sync.
	Create(name string) (*os.File, error)
	// Write appends to an open file.
	Write(f *os.File, data []byte) error
	// Sync returns once the file's content is durable.
	Sync(f *os.File) error
	// Truncate cuts an open file to a size, from which on the next Write goes on.
	Truncate(f *os.File, size int64) error
	// Replace replaces a file atomically: after a crash it holds either the old or the new content.
	Replace(name string, data []byte) error
	// Remove removes a file; the removal is durable after SyncFolder.
	Remove(name string) error
	// SyncFolder returns once the folder's names are durable.
	SyncFolder(folder string) error
	// FreeBytes returns the free space of the file system that holds the folder.
	FreeBytes(folder string) (uint64, error)
}

// RealDisk is the Disk that uses the operating system's file system.
type RealDisk struct{}

var _ Disk = RealDisk{}

// Create creates a new file.
func (RealDisk) Create(name string) (*os.File, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("create file: %w", err)
	}
	return f, nil
}

// Write appends to an open file.
func (RealDisk) Write(f *os.File, data []byte) error {
	if _, err := f.Write(data); err != nil {
		return fmt.Errorf("write %s: %w", f.Name(), err)
	}
	return nil
}

// Sync returns once the file's content is durable.
func (RealDisk) Sync(f *os.File) error {
	if err := f.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", f.Name(), err)
	}
	return nil
}

// Truncate cuts an open file to a size.
func (RealDisk) Truncate(f *os.File, size int64) error {
	if err := f.Truncate(size); err != nil {
		return fmt.Errorf("truncate: %w", err)
	}
	if _, err := f.Seek(size, io.SeekStart); err != nil {
		return fmt.Errorf("seek after truncation: %w", err)
	}
	return nil
}

// Replace writes a temporary file, syncs it, renames it and syncs the folder.
func (d RealDisk) Replace(name string, data []byte) error {
	if err := renameio.WriteFile(name, data, fileMode); err != nil {
		return fmt.Errorf("replace %s: %w", name, err)
	}
	return d.SyncFolder(filepath.Dir(name))
}

// Remove removes a file.
func (RealDisk) Remove(name string) error {
	if err := os.Remove(name); err != nil {
		return fmt.Errorf("remove file: %w", err)
	}
	return nil
}

// SyncFolder returns once the folder's names are durable.
func (RealDisk) SyncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return fmt.Errorf("open folder: %w", err)
	}
	defer f.Close()
	if err := f.Sync(); err != nil {
		return fmt.Errorf("sync folder %s: %w", folder, err)
	}
	return nil
}

// FreeBytes returns the free space of the file system that holds the folder.
func (RealDisk) FreeBytes(folder string) (uint64, error) {
	var s syscall.Statfs_t
	if err := syscall.Statfs(folder, &s); err != nil {
		return 0, fmt.Errorf("read free space of %s: %w", folder, err)
	}
	return s.Bavail * uint64(s.Bsize), nil
}

// isFull reports whether the error means that the disk or the quota is full.
func isFull(err error) bool { return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) }

// unwritten marks the error of a disk operation with ErrUnwritten, and with ErrFull on a full disk.
func unwritten(err error) error {
	if isFull(err) {
		return fmt.Errorf("%w: %w: %w", ErrUnwritten, ErrFull, err)
	}
	return fmt.Errorf("%w: %w", ErrUnwritten, err)
}

// removeTemporaryFiles removes what a process that was killed inside Replace has left; a file that can't be removed
// stays until the next start.
func removeTemporaryFiles(d Disk, folder string) {
	for _, name := range []string{snapshotName, identityName} {
		left, err := filepath.Glob(filepath.Join(folder, "."+name+"*"))
		if err != nil {
			continue
		}
		for _, file := range left {
			_ = d.Remove(file)
		}
	}
}
