package manager

// minutesADay is the number of minutes of a day, leap seconds left out.
const minutesADay = 24 * 60

// HasWindow tells whether the rules bound the minutes of the day in which VMs may be taken.
func (r WaveRules) HasWindow() bool { return r.WindowStartMinute != r.WindowEndMinute }

// InWindow tells whether VMs may be taken at t; a window whose end is below its start passes midnight.
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

// NextWindow returns the first time from t on at which VMs may be taken.
func (r WaveRules) NextWindow(t Time) Time {
	if r.InWindow(t) {
		return t
	}
	wait := (r.WindowStartMinute - minuteOfDay(t) + minutesADay) % minutesADay
	start := t - t%Time(Minute)
	return start.Add(Duration(wait) * Minute)
}

// minuteOfDay returns the minute of the day (UTC) of a time counted from the Unix epoch.
func minuteOfDay(t Time) int {
	minute := int(t/Time(Minute)) % minutesADay
	return (minute + minutesADay) % minutesADay
}
