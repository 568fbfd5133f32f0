package journaler

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/rotisserie/eris"
)

const (
	// frameHeaderBytes is the size of a frame's header: magic number, length and checksum, four bytes each.
	frameHeaderBytes = 12
	// maxFrameBytes limits the size of a frame; a header with a larger length is damaged.
	maxFrameBytes = 64 << 20
)

// frameMagic is the magic number at the start of each frame; its first byte never occurs in UTF-8, so
// that no record contains it.
var frameMagic = []byte{0xF5, 'M', 'H', 1}

// ErrTorn reports a last frame that was not written completely.
var ErrTorn = eris.New("the last record is torn")

// appendFrame appends data with a frame header.
func appendFrame(to, data []byte) []byte {
	to = append(to, frameMagic...)
	to = binary.LittleEndian.AppendUint32(to, uint32(len(data)))
	to = binary.LittleEndian.AppendUint32(to, frameChecksum(data))
	return append(to, data...)
}

// frameChecksum covers the length too, so that a header of zeros is not a valid frame.
func frameChecksum(data []byte) uint32 {
	var size [4]byte
	binary.LittleEndian.PutUint32(size[:], uint32(len(data)))
	return crc32.Update(crc32.Checksum(size[:], crcTable), crcTable, data)
}

// readFrame returns the data of the frame at the start of b and the frame's size, or false if there is
// no valid frame.
func readFrame(b []byte) ([]byte, int, bool) {
	if len(b) < frameHeaderBytes || !bytes.Equal(b[:len(frameMagic)], frameMagic) {
		return nil, 0, false
	}
	size := int(binary.LittleEndian.Uint32(b[4:]))
	if size > maxFrameBytes || size > len(b)-frameHeaderBytes {
		return nil, 0, false
	}
	data := b[frameHeaderBytes : frameHeaderBytes+size]
	if frameChecksum(data) != binary.LittleEndian.Uint32(b[8:]) {
		return nil, 0, false
	}
	return data, frameHeaderBytes + size, true
}

// readFrames calls each with every frame's data and offset. It returns the offset after the last valid
// frame. If the bytes after that are not a valid frame, the error is ErrDamaged when a valid frame
// follows them and ErrTorn when none does: each frame is synced before the next one is written, so that
// only the last one can be torn.
func readFrames(b []byte, each func(offset int, data []byte) error) (int, error) {
	offset := 0
	for offset < len(b) {
		data, n, ok := readFrame(b[offset:])
		if !ok {
			return offset, classifyBadFrame(b, offset)
		}
		if err := each(offset, data); err != nil {
			return offset, fmt.Errorf("record at offset %d: %w", offset, err)
		}
		offset += n
	}
	return offset, nil
}

// classifyBadFrame returns ErrDamaged if a valid frame follows the invalid one at offset, else ErrTorn.
func classifyBadFrame(b []byte, offset int) error {
	for at := offset + 1; at < len(b); at++ {
		next := bytes.Index(b[at:], frameMagic)
		if next < 0 {
			break
		}
		at += next
		if _, _, ok := readFrame(b[at:]); ok {
			return fmt.Errorf("offset %d: the record's header or checksum is invalid: %w", offset, ErrDamaged)
		}
	}
	return fmt.Errorf("offset %d: %w", offset, ErrTorn)
}
