package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
)

// cloud is the infrastructure's interface for machines. It lists the machines; moves are not offered.
type cloud struct {
	minions []*minion
	server  *httptest.Server
}

func startCloud() *cloud {
	c := &cloud{}
	c.server = httptest.NewServer(c)
	return c
}

func (c *cloud) address() string { return strings.TrimPrefix(c.server.URL, "http://") }

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/machines" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	rows := []map[string]any{}
	for _, m := range c.minions {
		rows = append(rows, map[string]any{
			"machine": m.machine, "pool": m.pool, "state": "up", "zone": "zone-a", "labels": []string{"a", "r1"},
			"capacity": map[string]int{"cpu": m.cpu, "memMb": 32768, "gpu": 0}, "id": m.id,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": rows})
}
