package journaler

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// headerBytes is the size of a record's header: length and checksum, four bytes each.
	headerBytes = 8
	// maxRecordBytes limits the size of a record; a header with a larger length is damaged.
	maxRecordBytes = 64 << 20
	fileMode       = 0o600
	folderMode     = 0o700
	logName        = "log"
)

// ErrDamaged reports stored data that is missing or invalid, other than a torn last record.
var ErrDamaged = eris.New("log is damaged")

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Journal is an append-only file of records; a record is durable once Append has returned.
type Journal struct {
	// Folder holds the file.
	Folder string
	// Disk is RealDisk unless a test replaces it.
	Disk Disk

	mu   sync.Mutex
	file *os.File
	// size is the number of synced bytes in the file.
	size int64
	// tornTail means that the file may hold bytes of a failed write after size.
	tornTail bool
}

func (j *Journal) disk() Disk {
	if j.Disk == nil {
		return RealDisk{}
	}
	return j.Disk
}

// Open calls each with every record, truncates a torn last one and opens the file for appending.
func (j *Journal) Open(each func(record []byte) error) error {
	if err := os.MkdirAll(j.Folder, folderMode); err != nil {
		return fmt.Errorf("create data folder: %w", err)
	}
	name := filepath.Join(j.Folder, logName)
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	var last []byte
	end, err := replay(f, func(record []byte) error {
		last = record
		return each(record)
	})
	if err != nil {
		return errors.Join(fmt.Errorf("replay %s: %w", name, err), f.Close())
	}
	if err := j.completeLast(f, end, last); err != nil {
		return errors.Join(err, f.Close())
	}
	j.file, j.size, j.tornTail = f, end, false
	return nil
}

// completeLast truncates a torn record and makes the last complete one durable: it is written again, as a
// sync alone does not store what a failed sync of a killed process has dropped.
func (j *Journal) completeLast(f *os.File, end int64, last []byte) error {
	if err := j.disk().Truncate(f, end); err != nil {
		return err
	}
	if last == nil {
		return nil
	}
	data := encodeRecord(last)
	if _, err := f.Seek(end-int64(len(data)), io.SeekStart); err != nil {
		return fmt.Errorf("seek to last record: %w", err)
	}
	if err := j.disk().Write(f, data); err != nil {
		return err
	}
	return j.disk().Sync(f)
}

// replay calls each with every complete record and returns the offset after the last one.
func replay(f io.ReadSeeker, each func([]byte) error) (int64, error) {
	r := bufio.NewReader(f)
	var offset int64
	header := make([]byte, headerBytes)
	for {
		if _, err := io.ReadFull(r, header); err != nil {
			return offset, ignoreEOF(err)
		}
		size := binary.LittleEndian.Uint32(header)
		if size > maxRecordBytes {
			return offset, fmt.Errorf("offset %d: length %d: %w", offset, size, ErrDamaged)
		}
		record := make([]byte, size)
		if _, err := io.ReadFull(r, record); err != nil {
			return offset, ignoreEOF(err)
		}
		if crc32.Checksum(record, crcTable) != binary.LittleEndian.Uint32(header[4:]) {
			return offset, classifyBadRecord(r, offset)
		}
		if err := each(record); err != nil {
			return offset, fmt.Errorf("record at offset %d: %w", offset, err)
		}
		offset += headerBytes + int64(size)
	}
}

func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil
	}
	return fmt.Errorf("read log: %w", err)
}

// classifyBadRecord returns nil for a torn last record, which Open truncates, and ErrDamaged if more
// data follows the record.
func classifyBadRecord(r *bufio.Reader, offset int64) error {
	if _, err := r.Peek(1); errors.Is(err, io.EOF) {
		return nil
	}
	return fmt.Errorf("offset %d: checksum mismatch: %w", offset, ErrDamaged)
}

func encodeRecord(record []byte) []byte {
	data := make([]byte, headerBytes, headerBytes+len(record))
	binary.LittleEndian.PutUint32(data, uint32(len(record)))
	binary.LittleEndian.PutUint32(data[4:], crc32.Checksum(record, crcTable))
	return append(data, record...)
}

// Append writes and syncs a record; after ErrUnwritten it may be repeated.
func (j *Journal) Append(record []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.file == nil {
		return os.ErrClosed
	}
	if j.tornTail {
		if err := j.disk().Truncate(j.file, j.size); err != nil {
			return unwritten(err)
		}
	}
	data := encodeRecord(record)
	j.tornTail = true
	if err := j.disk().Write(j.file, data); err != nil {
		return unwritten(err)
	}
	if err := j.disk().Sync(j.file); err != nil {
		return unwritten(err)
	}
	j.tornTail = false
	j.size += int64(len(data))
	return nil
}

// Close closes the file; later calls of Append return os.ErrClosed.
func (j *Journal) Close() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.file == nil {
		return nil
	}
	err := j.file.Close()
	j.file = nil
	if err != nil {
		return fmt.Errorf("close log: %w", err)
	}
	return nil
}
