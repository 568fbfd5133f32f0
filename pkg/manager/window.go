package manager

// minutesPerDay is the number of minutes in a day, ignoring leap seconds.
const minutesPerDay = 24 * 60

// HasWindow reports whether the rules have a maintenance window.
func (r WaveRules) HasWindow() bool { return r.WindowStartMinute != r.WindowEndMinute }

// InWindow reports whether t is in the maintenance window. A window whose end is before its start spans midnight.
func (r WaveRules) InWindow(t Time) bool {
	if !r.HasWindow() {
		return true
	}
	minute := minuteOfDay(t)
	if r.WindowStartMinute < r.WindowEndMinute {
		return minute >= r.WindowStartMinute && minute < r.WindowEndMinute
	}
	return minute >= r.WindowStartMinute || minute < r.WindowEndMinute
}

// NextWindow returns the earliest time, not before t, that is in the maintenance window.
func (r WaveRules) NextWindow(t Time) Time {
	if r.InWindow(t) {
		return t
	}
	wait := (r.WindowStartMinute - minuteOfDay(t) + minutesPerDay) % minutesPerDay
	start := t - t%Time(Minute)
	return start.Add(Duration(wait) * Minute)
}

// minuteOfDay returns the minute of the day (UTC) of a time counted from the Unix epoch.
func minuteOfDay(t Time) int {
	minute := int(t/Time(Minute)) % minutesPerDay
	return (minute + minutesPerDay) % minutesPerDay
}
