package explainer

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Subject is what is to be explained; exactly one field is set.
type Subject struct {
	Request string
	VM      string
	// Version is a configuration version.
	Version manager.Version
}

// Line is a decoded log line.
type Line struct {
	At      time.Time
	Node    string
	Message string
	// Fields are the others, in the order of the line.
	Fields []Field
}

// Field is one field of a line.
type Field struct {
	Name  string
	Value string
}

// Get returns a field's value, or an empty string.
func (l Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// maxLineBytes bounds a log line; longer ones are passed over.
const maxLineBytes = 1 << 20

// Read decodes the lines of a log that are JSON objects; text before the object is passed over.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if l, ok := decode(s.Bytes()); ok {
			lines = append(lines, l)
		}
	}
	if err := s.Err(); err != nil {
		return lines, fmt.Errorf("read log: %w", err)
	}
	return lines, nil
}

func decode(data []byte) (Line, bool) {
	var l Line
	i := bytes.IndexByte(data, '{')
	if i < 0 {
		return l, false
	}
	d := json.NewDecoder(bytes.NewReader(data[i:]))
	d.UseNumber()
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return l, false
	}
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return l, false
		}
		var value any
		if err := d.Decode(&value); err != nil {
			return l, false
		}
		l.set(fmt.Sprint(name), fmt.Sprint(value))
	}
	return l, l.Message != "" && !l.At.IsZero()
}

func (l *Line) set(name, value string) {
	switch name {
	case "Time":
		at, err := time.Parse(time.RFC3339Nano, value)
		if err == nil {
			l.At = at
		}
	case "Message":
		l.Message = value
	case "Node":
		l.Node = value
	case "Level":
	default:
		l.Fields = append(l.Fields, Field{Name: name, Value: value})
	}
}

// Explain returns the lines about the subject in the order of time, and the causes that they show.
func Explain(s Subject, lines []Line) (way []Line, causes []string) {
	for _, l := range lines {
		if s.concerns(l) {
			way = append(way, l)
		}
	}
	slices.SortStableFunc(way, func(a, b Line) int { return a.At.Compare(b.At) })
	if len(way) == 0 {
		return nil, nil
	}
	return way, append(causesOf(way), around(way, lines)...)
}

func (s Subject) concerns(l Line) bool {
	switch {
	case s.Request != "":
		// The occurrences of a job that repeats belong to its caller's request.
		id, _ := manager.GraphID(l.Get("RequestID")).Split()
		return string(id) == s.Request
	case s.VM != "":
		return l.Get("VM") == s.VM
	}
	v := strconv.FormatUint(uint64(s.Version), 10)
	return l.Get("Version") == v && strings.HasPrefix(l.Message, "Configuration")
}

// causesOf names what the subject's own lines show.
func causesOf(way []Line) []string {
	var causes []string
	add := func(format string, args ...any) { causes = append(causes, fmt.Sprintf(format, args...)) }
	ends := map[string]int{}
	for _, l := range way {
		switch l.Message {
		case manager.LogJobRefused:
			if load := l.Get("Load"); load != "" {
				add("refused at the peak: load %s of its pool, to come back after %s ms", load, l.Get("RetryAfterMs"))
			} else {
				add("refused: %s", l.Get("Reason"))
			}
		case manager.LogCallRefused:
			add("%s answered %s with status %s: %s", l.Node, l.Get("Kind"), l.Get("Status"), l.Get("Reason"))
		case manager.LogRunLost:
			add("run %s of task %s was lost with worker %s", l.Get("Run"), l.Get("Task"), l.Get("Worker"))
		case manager.LogRunStalled:
			add("task %s stood still for %s ms on worker %s", l.Get("Task"), l.Get("StillMs"), l.Get("Worker"))
		case manager.LogRunEnded:
			ends[l.Get("How")]++
		case manager.LogJobEnded:
			add("ended as %s after %s ms of %s ms, in time: %s; its first task waited %s ms",
				l.Get("State"), l.Get("TookMs"), l.Get("ObjectiveMs"), l.Get("InTime"), l.Get("WaitedMs"))
		}
	}
	for _, how := range slices.Sorted(keys(ends)) {
		if how != string(manager.RunDone) {
			add("%d runs ended as %s", ends[how], how)
		}
	}
	return causes
}

func keys(m map[string]int) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// margin is how long before and after the subject's own lines a change of the dispatcher counts.
const margin = 5 * time.Second

// heldPeriod is the time that one line about a customer at its cap stands for: the dispatcher logs them once a second.
const heldPeriod = time.Second

// around names the changes of the dispatcher while the subject was under way.
func around(way, lines []Line) []string {
	first, last := way[0].At.Add(-margin), way[len(way)-1].At.Add(margin)
	customers := map[string]bool{}
	for _, l := range way {
		customers[l.Get("Customer")] = l.Get("Customer") != ""
	}
	var changes []Line
	for _, l := range lines {
		if l.Message == manager.LogCustomerAtCap && customers[l.Get("Customer")] && l.At.After(way[0].At.Add(-heldPeriod)) && l.At.Before(last) {
			changes = append(changes, l)
		}
		switch l.Message {
		case manager.LogDispatcherStarted, manager.LogDispatcherEnded, manager.LogChangesNotCommitted, manager.LogLinesDropped:
			if l.At.After(first) && l.At.Before(last) {
				changes = append(changes, l)
			}
		}
	}
	slices.SortStableFunc(changes, func(a, b Line) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Node, b.Node)) })
	var causes []string
	for _, l := range changes {
		causes = append(causes, fmt.Sprintf("%s %s on %s%s", l.At.Format(clockFormat), strings.ToLower(l.Message[:1])+l.Message[1:], l.Node, fieldsOf(l)))
	}
	return causes
}

const clockFormat = "15:04:05.000"

func fieldsOf(l Line) string {
	var b strings.Builder
	for _, f := range l.Fields {
		fmt.Fprintf(&b, " %s=%s", f.Name, f.Value)
	}
	return b.String()
}

// Print writes the way and the causes for a reader.
func Print(w io.Writer, way []Line, causes []string) {
	for _, l := range way {
		fmt.Fprintf(w, "%s %-24s %s%s\n", l.At.Format(clockFormat), l.Node, l.Message, fieldsOf(l))
	}
	fmt.Fprintln(w, "Likely causes:")
	if len(causes) == 0 {
		fmt.Fprintln(w, "- none found in these logs")
	}
	for _, c := range causes {
		fmt.Fprintf(w, "- %s\n", c)
	}
}
