package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	host   = "desk.example"
	prefix = "/jobs/"
)

// client is a requester and the operator.
type client struct {
	nodes  *nodes
	record *record
	http   *http.Client
}

func (c *client) call(method, address, path string, body any) (int, []byte) {
	var reader io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		reader = bytes.NewReader(data)
	}
	r, err := http.NewRequest(method, "http://"+address+path, reader)
	if err != nil {
		return 0, nil
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", "3000")
	response, err := c.http.Do(r)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, data
}

// every calls the nodes in turn until one answers with one of the codes.
func (c *client) every(port int, method, path string, body any, d time.Duration, codes ...int) (int, []byte, error) {
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		n := c.nodes.list[i%len(c.nodes.list)]
		code, data := c.call(method, n.at(port), path, body)
		for _, want := range codes {
			if code == want {
				return code, data, nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, nil, fmt.Errorf("%s %s: no clear answer in %s", method, path, d)
}

// configure sends a manifest with one queue for each service.
func (c *client) configure(version int, services ...string) error {
	routes, pools := []map[string]any{}, []map[string]any{}
	for _, s := range services {
		routes = append(routes, map[string]any{
			"name": "r-" + s, "host": host, "pathPrefix": prefix + s + "/", "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 3600,
			"priority": 0, "service": s, "maxAttempts": 4, "stretchFactor": 1.6,
		})
		pools = append(pools, map[string]any{
			"name": s, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false, "rejectsOverload": true, "standby": false,
		})
	}
	manifest := map[string]any{
		"version": version, "routes": routes, "services": pools,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	_, _, err := c.every(controlPort, http.MethodPut, "/config", manifest, 20*time.Second, 200)
	if err == nil {
		c.record.add("operator: manifest %d is acknowledged", version)
	}
	return err
}

func (c *client) submit(service, id string, steps ...map[string]any) error {
	code, _, err := c.every(frontPort, http.MethodPost, prefix+service+"/"+id, map[string]any{"spec": "work " + id, "steps": steps}, 10*time.Second, 200)
	if err == nil {
		c.record.add("client: POST of job %s is answered %d", id, code)
	}
	return err
}

func (c *client) state(service, id string) string {
	code, data, err := c.every(frontPort, http.MethodGet, prefix+service+"/"+id, nil, 5*time.Second, 200, 410)
	answer := strings.TrimSpace(string(data))
	c.record.add("client: GET of job %s is answered %d %s", id, code, answer)
	if err != nil || code == 410 {
		return fmt.Sprint(code)
	}
	var b struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(data, &b)
	return b.State
}
