package journaler_test

import (
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/journaler"
)

// simulatedDisk keeps what a loss of power leaves of a folder. The folder itself holds what the process reads.
type simulatedDisk struct {
	journaler.RealDisk
	folder string
	rand   *rand.Rand
	// faulty is the number of operations of which each may be refused.
	faulty int
	// stopsAfter is the number of operations, if any, after which the process ends: it does no more of them.
	stopsAfter int
	stopped    bool

	// names is what the folder holds now, durable what it holds after a loss of power if all in renames is lost.
	names, durable map[string]*simulatedFile
	renames        []rename
}

// simulatedFile holds the synced content and the changes since then.
type simulatedFile struct {
	synced  []byte
	changes []change
}

// change is a write, or a truncation if Data is nil.
type change struct {
	At   int64
	Data []byte
}

// rename makes the name refer to a file, or to none.
type rename struct {
	Name string
	File *simulatedFile
}

func newSimulatedDisk(folder string, r *rand.Rand) *simulatedDisk {
	return &simulatedDisk{folder: folder, rand: r, names: map[string]*simulatedFile{}, durable: map[string]*simulatedFile{}}
}

func (d *simulatedDisk) refuse() error {
	if d.stopped {
		return errDisk
	}
	if d.stopsAfter > 0 {
		d.stopsAfter--
		d.stopped = d.stopsAfter == 0
	}
	if d.faulty == 0 {
		return nil
	}
	d.faulty--
	switch d.rand.IntN(4) {
	case 0:
		return syscall.ENOSPC
	case 1:
		return syscall.EIO
	}
	return nil
}

func (d *simulatedDisk) Create(name string) (*os.File, error) {
	if err := d.refuse(); err != nil {
		return nil, err
	}
	d.rename(filepath.Base(name), &simulatedFile{})
	return d.RealDisk.Create(name)
}

func (d *simulatedDisk) rename(name string, file *simulatedFile) {
	if file == nil {
		delete(d.names, name)
	} else {
		d.names[name] = file
	}
	d.renames = append(d.renames, rename{Name: name, File: file})
}

func (d *simulatedDisk) Write(f *os.File, data []byte) error {
	at, err := f.Seek(0, io.SeekCurrent)
	if err != nil {
		return err
	}
	refused := d.refuse()
	if refused != nil {
		data = data[:d.rand.IntN(len(data)+1)]
	}
	if len(data) > 0 {
		file := d.names[filepath.Base(f.Name())]
		file.changes = append(file.changes, change{At: at, Data: slices.Clone(data)})
	}
	if err := d.RealDisk.Write(f, data); err != nil {
		return err
	}
	return refused
}

// Sync drops, when it is refused, any part of the changes: the process still reads them, and a later sync does not
// store them.
func (d *simulatedDisk) Sync(f *os.File) error {
	name := filepath.Base(f.Name())
	file := d.names[name]
	if err := d.refuse(); err != nil {
		var kept []change
		for _, c := range file.changes {
			switch d.rand.IntN(3) {
			case 0:
				file.synced = d.applyPart(file.synced, c)
			case 1:
				kept = append(kept, c)
			default:
				if c.Data == nil {
					kept = append(kept, c)
				}
			}
		}
		file.changes = kept
		return err
	}
	for _, c := range file.changes {
		file.synced = apply(file.synced, c)
	}
	file.changes = nil
	info, err := f.Stat()
	if err != nil {
		return err
	}
	file.synced = resize(file.synced, info.Size())
	d.durable[name] = file
	d.renames = slices.DeleteFunc(d.renames, func(r rename) bool { return r.Name == name })
	return nil
}

func (d *simulatedDisk) Truncate(f *os.File, size int64) error {
	if err := d.refuse(); err != nil {
		return err
	}
	file := d.names[filepath.Base(f.Name())]
	file.changes = append(file.changes, change{At: size})
	return d.RealDisk.Truncate(f, size)
}

func (d *simulatedDisk) Replace(name string, data []byte) error {
	if err := d.refuse(); err != nil {
		return err
	}
	d.rename(filepath.Base(name), &simulatedFile{synced: slices.Clone(data)})
	if err := os.WriteFile(name, data, 0o600); err != nil {
		return err
	}
	return d.SyncFolder(d.folder)
}

func (d *simulatedDisk) Remove(name string) error {
	if err := d.refuse(); err != nil {
		return err
	}
	if err := d.RealDisk.Remove(name); err != nil {
		return err
	}
	d.rename(filepath.Base(name), nil)
	return nil
}

func (d *simulatedDisk) SyncFolder(string) error {
	if err := d.refuse(); err != nil {
		return err
	}
	d.durable, d.renames = maps.Clone(d.names), nil
	return nil
}

// losePower leaves of the unsynced changes and names all, none or any part.
func (d *simulatedDisk) losePower(t *testing.T) {
	t.Helper()
	allGone := d.rand.IntN(3) == 0
	for _, r := range d.renames {
		switch {
		case allGone || d.rand.IntN(2) == 0:
		case r.File == nil:
			delete(d.durable, r.Name)
		default:
			d.durable[r.Name] = r.File
		}
	}
	for name := range d.names {
		require.NoError(t, os.Remove(filepath.Join(d.folder, name)))
	}
	d.names, d.renames = map[string]*simulatedFile{}, nil
	for _, name := range slices.Sorted(maps.Keys(d.durable)) {
		file := d.durable[name]
		content := file.synced
		for _, c := range file.changes {
			if !allGone {
				content = d.applyPart(content, c)
			}
		}
		require.NoError(t, os.WriteFile(filepath.Join(d.folder, name), content, 0o600))
		d.names[name] = &simulatedFile{synced: content}
	}
	d.durable = maps.Clone(d.names)
}

// applyPart applies a change wholly, not at all or in part.
func (d *simulatedDisk) applyPart(content []byte, c change) []byte {
	switch d.rand.IntN(3) {
	case 0:
		return content
	case 1:
		if c.Data != nil {
			c.Data = c.Data[:d.rand.IntN(len(c.Data))]
		}
	}
	return apply(content, c)
}

func apply(content []byte, c change) []byte {
	if c.Data == nil {
		return resize(content, c.At)
	}
	end := c.At + int64(len(c.Data))
	content = resize(content, max(end, int64(len(content))))
	copy(content[c.At:], c.Data)
	return content
}

// resize returns a copy that is cut or filled with zeros.
func resize(content []byte, size int64) []byte {
	b := make([]byte, size)
	copy(b, content)
	return b
}
