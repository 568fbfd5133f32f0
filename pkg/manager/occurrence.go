package manager

import (
	"strconv"
	"strings"
)

// occurrenceSeparator separates the ID of a job graph from the number of an occurrence.
const occurrenceSeparator = "#"

// Occurrence returns the ID of occurrence k of a job graph; occurrence 0 has the ID of the job graph itself.
func (g GraphID) Occurrence(k int) GraphID {
	if k == 0 {
		return g
	}
	return g + GraphID(occurrenceSeparator+strconv.Itoa(k))
}

// Split returns the ID chosen by the caller and the number of the occurrence.
func (g GraphID) Split() (GraphID, int) {
	id, number, ok := strings.Cut(string(g), occurrenceSeparator)
	if !ok {
		return g, 0
	}
	k, err := strconv.Atoi(number)
	if err != nil {
		// Callers choose IDs, so one that contains the separator need not be an occurrence.
		return g, 0
	}
	return GraphID(id), k
}
