package claimer

import (
	"encoding/binary"

	"github.com/google/uuid"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// timedVersion is the UUID version whose first 48 bits are milliseconds since the Unix epoch.
const timedVersion = 7

// IDTimestamp returns the creation time in a request ID, in milliseconds since the Unix epoch. It returns false if
// the ID is not a UUIDv7.
func IDTimestamp(id manager.RequestID) (manager.Time, bool) {
	const length = 36
	if len(id) != length {
		return 0, false
	}
	u, err := uuid.Parse(string(id))
	if err != nil || u.Version() != timedVersion || u.Variant() != uuid.RFC4122 {
		return 0, false
	}
	const unusedBits = 16
	return manager.Time(binary.BigEndian.Uint64(u[:8]) >> unusedBits), true
}
