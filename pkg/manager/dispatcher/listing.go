package dispatcher

import (
	"maps"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// maxUnreadNotes limits the log lines of a dispatcher about unusable entries: an entry stays in the list for hours.
const maxUnreadNotes = 16

// mayHold reports whether the list may hold a VM that it does not show.
func (l *Listing) mayHold(vm manager.VMID) bool {
	_, unread := l.Unread[vm]
	return unread || l.Unnamed > 0
}

// logUnread logs the entries of a list that could not be used, each once.
func (d *Dispatcher) logUnread(l *Listing) {
	if d.lending.noted == nil {
		d.lending.noted = map[string]bool{}
	}
	note := func(vm manager.VMID, reason string, count int) {
		key := string(vm) + "\n" + reason
		if d.lending.noted[key] || len(d.lending.noted) >= maxUnreadNotes {
			return
		}
		d.lending.noted[key] = true
		d.log(manager.LogListEntryNotUsed, "VM", vm, "Reason", reason, "Entries", count)
	}
	for _, vm := range slices.Sorted(maps.Keys(l.Unread)) {
		note(vm, l.Unread[vm], 1)
	}
	if l.Unnamed > 0 {
		note("", l.UnnamedReason, l.Unnamed)
	}
}
