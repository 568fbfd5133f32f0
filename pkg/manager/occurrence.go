package manager

import (
	"strconv"
	"strings"
)

// occurrenceMark parts a job's id from the number of one of its occurrences.
const occurrenceMark = "#"

// Occurrence returns the id of an occurrence of a job; the first one has the job's own id.
func (g GraphID) Occurrence(k int) GraphID {
	if k == 0 {
		return g
	}
	return g + GraphID(occurrenceMark+strconv.Itoa(k))
}

// Split returns the id that the caller chose and the number of the occurrence.
func (g GraphID) Split() (GraphID, int) {
	id, number, ok := strings.Cut(string(g), occurrenceMark)
	if !ok {
		return g, 0
	}
	k, err := strconv.Atoi(number)
	if err != nil {
		// Callers choose ids; one with the mark in it is no occurrence.
		return g, 0
	}
	return GraphID(id), k
}
