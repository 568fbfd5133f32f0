package manager

import (
	"strconv"
	"strings"
)

// occurrenceSeparator separates the id of a job graph from the number of an occurrence.
const occurrenceSeparator = "#"

// Occurrence returns the id of occurrence k of a job graph; occurrence 0 has the id of the job graph itself.
func (g GraphID) Occurrence(k int) GraphID {
	if k == 0 {
		return g
	}
	return g + GraphID(occurrenceSeparator+strconv.Itoa(k))
}

// Split returns the id chosen by the caller and the number of the occurrence.
func (g GraphID) Split() (GraphID, int) {
	id, number, ok := strings.Cut(string(g), occurrenceSeparator)
	if !ok {
		return g, 0
	}
	k, err := strconv.Atoi(number)
	if err != nil {
		// Callers choose ids, so one that contains the separator need not be an occurrence.
		return g, 0
	}
	return GraphID(id), k
}
