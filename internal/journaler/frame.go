package journaler

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/rotisserie/eris"
)

const (
	// frameHeaderBytes is the size of a frame's header: mark, length and checksum, four bytes each.
	frameHeaderBytes = 12
	// maxFrameBytes bounds a frame; a larger length in a header is damage.
	maxFrameBytes = 64 << 20
)

// frameMark begins each frame; its first byte never occurs in UTF-8, so that records can't hold it.
var frameMark = []byte{0xF5, 'M', 'H', 1}

// ErrTorn reports a last frame that was not written whole.
var ErrTorn = eris.New("the last record is torn")

// appendFrame appends a frame around data.
func appendFrame(to, data []byte) []byte {
	to = append(to, frameMark...)
	to = binary.LittleEndian.AppendUint32(to, uint32(len(data)))
	to = binary.LittleEndian.AppendUint32(to, frameChecksum(data))
	return append(to, data...)
}

// frameChecksum covers the length too, so that a header of zeros is no frame.
func frameChecksum(data []byte) uint32 {
	var size [4]byte
	binary.LittleEndian.PutUint32(size[:], uint32(len(data)))
	return crc32.Update(crc32.Checksum(size[:], table), table, data)
}

// readFrame returns the frame at the start of b and its size, or false.
func readFrame(b []byte) ([]byte, int, bool) {
	if len(b) < frameHeaderBytes || !bytes.Equal(b[:len(frameMark)], frameMark) {
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

// readFrames calls each with every frame and its offset. It returns the offset after the last whole
// frame, with ErrTorn if something unfinished follows it and ErrDamaged if a whole frame does: each
// frame was synced before the next one was written, so that only the last one can be torn.
func readFrames(b []byte, each func(offset int, data []byte) error) (int, error) {
	offset := 0
	for offset < len(b) {
		data, n, ok := readFrame(b[offset:])
		if !ok {
			return offset, tornOrDamaged(b, offset)
		}
		if err := each(offset, data); err != nil {
			return offset, fmt.Errorf("record at offset %d: %w", offset, err)
		}
		offset += n
	}
	return offset, nil
}

func tornOrDamaged(b []byte, offset int) error {
	for at := offset + 1; at < len(b); at++ {
		next := bytes.Index(b[at:], frameMark)
		if next < 0 {
			break
		}
		at += next
		if _, _, ok := readFrame(b[at:]); ok {
			return fmt.Errorf("offset %d: the record does not fit its checksum: %w", offset, ErrDamaged)
		}
	}
	return fmt.Errorf("offset %d: %w", offset, ErrTorn)
}
