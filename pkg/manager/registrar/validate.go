package registrar

import (
	"fmt"
	"net/netip"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// maxNameBytes bounds each name of an announcement, and with it the memory of a member.
	maxNameBytes = 128
	// maxSlots bounds the slots and connections that an upstream may announce. Without a limit one upstream could
	// attract all requests.
	maxSlots = 1 << 16
)

// Validate returns an error for the first invalid field of an announcement.
func Validate(a manager.Announcement) error {
	if err := validateNames(a); err != nil {
		return err
	}
	switch {
	case a.Slots < 1 || a.Slots > maxSlots:
		return manager.ErrInvalid{Field: "Slots", Reason: fmt.Sprintf("must be from 1 to %d", maxSlots)}
	case a.Connections < 1 || a.Connections > maxSlots:
		return manager.ErrInvalid{Field: "Connections", Reason: fmt.Sprintf("must be from 1 to %d", maxSlots)}
	case a.InFlight < 0:
		return manager.ErrInvalid{Field: "InFlight", Reason: "must not be negative"}
	case a.State != manager.UpstreamReady && a.State != manager.UpstreamLeaving:
		return manager.ErrInvalid{Field: "State", Reason: `must be "ready" or "leaving"`}
	}
	if at, err := netip.ParseAddrPort(string(a.Address)); err != nil || at.Port() == 0 {
		return manager.ErrInvalid{Field: "Address", Reason: "must be an IP address and port"}
	}
	return nil
}

func validateNames(a manager.Announcement) error {
	names := []struct {
		field    string
		value    string
		required bool
	}{
		{"Upstream", string(a.Upstream), true},
		{"Service", string(a.Service), true},
		{"Pool", string(a.Pool), false},
		{"VM", string(a.VM), false},
		{"Address", string(a.Address), true},
		{"AvailabilityZone", string(a.AvailabilityZone), false},
		{"Rack", string(a.Rack), false},
	}
	for _, n := range names {
		switch {
		case n.required && n.value == "":
			return manager.ErrInvalid{Field: n.field, Reason: "is missing"}
		case len(n.value) > maxNameBytes:
			return manager.ErrInvalid{Field: n.field, Reason: fmt.Sprintf("is longer than %d bytes", maxNameBytes)}
		}
	}
	return nil
}

// checkSameIncarnation returns an error if b cannot be a later announcement of a's incarnation.
func checkSameIncarnation(a, b manager.Announcement) error {
	field := ""
	switch {
	case a.Service != b.Service:
		field = "Service"
	case a.Address != b.Address:
		field = "Address"
	case a.Slots != b.Slots:
		field = "Slots"
	case a.Connections != b.Connections:
		field = "Connections"
	}
	if field == "" {
		return nil
	}
	return manager.ErrInvalid{Field: field, Reason: "must not change within an incarnation"}
}
