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
	// maxRecordBytes bounds a record; a larger length in a header is damage.
	maxRecordBytes = 64 << 20
	fileMode       = 0o600
	folderMode     = 0o700
	logName        = "log"
)

// ErrDamaged reports a record before the last whose checksum does not fit.
var ErrDamaged = eris.New("log is damaged")

var table = crc32.MakeTable(crc32.Castagnoli)

// Journal is an append-only file of records that last once Append has returned.
type Journal struct {
	// Folder holds the file.
	Folder string

	mu   sync.Mutex
	file *os.File
	// failed keeps the first write error; nothing may be appended after it.
	failed error
}

// Open reads all records, cuts a torn last one and opens the file for appending.
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
		return errors.Join(fmt.Errorf("cut torn record: %w", err), f.Close())
	}
	if _, err := f.Seek(end, io.SeekStart); err != nil {
		return errors.Join(fmt.Errorf("seek to end of log: %w", err), f.Close())
	}
	j.file = f
	return nil
}

// replay returns the offset after the last whole record.
func replay(f io.ReadSeeker, each func([]byte) error) (int64, error) {
	r := bufio.NewReader(f)
	var offset int64
	header := make([]byte, headerBytes)
	for {
		if _, err := io.ReadFull(r, header); err != nil {
			return offset, endOfLog(err)
		}
		size := binary.LittleEndian.Uint32(header)
		if size > maxRecordBytes {
			return offset, fmt.Errorf("offset %d: length %d: %w", offset, size, ErrDamaged)
		}
		record := make([]byte, size)
		if _, err := io.ReadFull(r, record); err != nil {
			return offset, endOfLog(err)
		}
		if crc32.Checksum(record, table) != binary.LittleEndian.Uint32(header[4:]) {
			return offset, damagedOrTorn(r, offset)
		}
		if err := each(record); err != nil {
			return offset, fmt.Errorf("record at offset %d: %w", offset, err)
		}
		offset += headerBytes + int64(size)
	}
}

func endOfLog(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil
	}
	return fmt.Errorf("read log: %w", err)
}

// damagedOrTorn tells a torn last record, which is cut, from damage before the end.
func damagedOrTorn(r *bufio.Reader, offset int64) error {
	if _, err := r.Peek(1); errors.Is(err, io.EOF) {
		return nil
	}
	return fmt.Errorf("offset %d: checksum does not fit: %w", offset, ErrDamaged)
}

// Append writes a record and syncs it; after a failure the journal takes nothing more.
func (j *Journal) Append(record []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failed != nil {
		return j.failed
	}
	data := make([]byte, headerBytes, headerBytes+len(record))
	binary.LittleEndian.PutUint32(data, uint32(len(record)))
	binary.LittleEndian.PutUint32(data[4:], crc32.Checksum(record, table))
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
