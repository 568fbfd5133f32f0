package claimer

import (
	"encoding/binary"

	"github.com/google/uuid"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// timedVersion is the UUID version whose first 48 bits are milliseconds since the Unix epoch.
const timedVersion = 7

// IDTimestamp returns when a request id was made, in milliseconds since the Unix epoch, if the id says so:
// a UUIDv7 does.
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
