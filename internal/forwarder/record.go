package forwarder

import (
	"net/http"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/applier"
)

// toRecord returns an answer as it is kept for resends.
func toRecord(a answer) *manager.RecordedAnswer {
	if len(a.body) > applier.MaxAnswerBytes {
		return &manager.RecordedAnswer{Status: a.status, TooLarge: true}
	}
	record := &manager.RecordedAnswer{Status: a.status, Body: a.body}
	h := forwardedHeader(a.header)
	names := make([]string, 0, len(h))
	for name := range h {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for _, value := range h[name] {
			record.Headers = append(record.Headers, manager.Header{Name: name, Value: value})
		}
	}
	return record
}

func fromRecord(r manager.RecordedAnswer) answer {
	h := http.Header{}
	for _, line := range r.Headers {
		h.Add(line.Name, line.Value)
	}
	return answer{status: r.Status, header: h, body: r.Body}
}

func copyHeader(to, from http.Header) {
	for name, values := range forwardedHeader(from) {
		to[name] = values
	}
}
