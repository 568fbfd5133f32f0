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

	mu   sync.Mutex
	file *os.File
	// failed is the first write or sync error; nothing is appended after it.
	failed error
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
	end, err := replay(f, each)
	if err != nil {
		return errors.Join(fmt.Errorf("replay %s: %w", name, err), f.Close())
	}
	if err := f.Truncate(end); err != nil {
		return errors.Join(fmt.Errorf("truncate torn record: %w", err), f.Close())
	}
	if _, err := f.Seek(end, io.SeekStart); err != nil {
		return errors.Join(fmt.Errorf("seek to end of log: %w", err), f.Close())
	}
	j.file = f
	return nil
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

// Append writes and syncs a record; after an error all further calls return that error.
func (j *Journal) Append(record []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failed != nil {
		return j.failed
	}
	data := make([]byte, headerBytes, headerBytes+len(record))
	binary.LittleEndian.PutUint32(data, uint32(len(record)))
	binary.LittleEndian.PutUint32(data[4:], crc32.Checksum(record, crcTable))
	data = append(data, record...)
	if _, err := j.file.Write(data); err != nil {
		j.failed = fmt.Errorf("write record: %w", err)
		return j.failed
	}
	if err := j.file.Sync(); err != nil {
		j.failed = fmt.Errorf("sync record: %w", err)
		return j.failed
	}
	return nil
}

// Close closes the file.
func (j *Journal) Close() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.file == nil {
		return nil
	}
	if err := j.file.Close(); err != nil {
		return fmt.Errorf("close log: %w", err)
	}
	j.file = nil
	return nil
}
