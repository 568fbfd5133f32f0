package forwarder

import (
	"net/http"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/internal/connector"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/applier"
)

// toRecord returns an answer as it is kept for resends; one that can't be kept whole is left out.
func toRecord(a *connector.Answer) *manager.RecordedAnswer {
	if !a.Whole() || len(a.Trailer) > 0 || len(a.Body) > applier.MaxAnswerBytes {
		return &manager.RecordedAnswer{Status: a.Status, TooLarge: true}
	}
	record := &manager.RecordedAnswer{Status: a.Status, Body: a.Body}
	h := forwardedHeader(a.Header)
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

func fromRecord(r manager.RecordedAnswer) *connector.Answer {
	h := http.Header{}
	for _, line := range r.Headers {
		h.Add(line.Name, line.Value)
	}
	return &connector.Answer{Status: r.Status, Header: h, Body: r.Body, Length: int64(len(r.Body))}
}

func copyHeader(to, from http.Header) {
	for name, values := range forwardedHeader(from) {
		to[name] = values
	}
	to.Del("Content-Length")
}
