package forwarder

import "sync/atomic"

// DefaultMemoryBytes bounds the bodies that all requests in flight hold together; with more, a gateway
// VM's memory would depend on its callers.
const DefaultMemoryBytes = 32 << 20

// overheadBytes is reserved for each request beside its body: headers, buffers and goroutines.
const overheadBytes = 16 << 10

// Memory counts the bytes held by requests in flight.
type Memory struct {
	// Limit is in bytes; 0 takes the default.
	Limit int64

	used atomic.Int64
}

// reserve takes n bytes if the limit allows it.
func (m *Memory) reserve(n int64) bool {
	limit := m.Limit
	if limit == 0 {
		limit = DefaultMemoryBytes
	}
	if m.used.Add(n) <= limit {
		return true
	}
	m.used.Add(-n)
	return false
}

// Used returns the bytes reserved now.
func (m *Memory) Used() int64 { return m.used.Load() }

// share is what one request holds.
type share struct {
	memory *Memory
	bytes  int64
}

// grow reserves n more bytes.
func (s *share) grow(n int64) bool {
	if !s.memory.reserve(n) {
		return false
	}
	s.bytes += n
	return true
}

// free gives everything back.
func (s *share) free() {
	s.memory.used.Add(-s.bytes)
	s.bytes = 0
}
