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
	// Write appends to an open file.
	Write(f *os.File, data []byte) error
	// Sync returns once the file's content is durable.
	Sync(f *os.File) error
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

// undoWrite truncates the file to its size before a failed write, which may have written a part.
func undoWrite(f *os.File, to int64) error {
	if err := f.Truncate(to); err != nil {
		return fmt.Errorf("truncate after a failed write: %w", err)
	}
	if _, err := f.Seek(to, io.SeekStart); err != nil {
		return fmt.Errorf("seek after a failed write: %w", err)
	}
	return nil
}
