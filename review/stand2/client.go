package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// record is the file that holds what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func openRecord(name string) (*record, error) {
	f, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

func (r *record) write(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// ledger holds the runs that the minions have begun and ended.
type ledger struct {
	record *record
	mu     sync.Mutex
	// open holds the number of runs of a task that are under way, done those that have ended so.
	open, done, starts map[string]int
	// stopped is when a run of a task was ended by an order to stop.
	stopped map[string]time.Time
}

func (l *ledger) init(r *record) {
	l.record = r
	l.open, l.done, l.starts, l.stopped = map[string]int{}, map[string]int{}, map[string]int{}, map[string]time.Time{}
}

func (l *ledger) start(task string, run uint64, on string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[task]++
	l.starts[task]++
	l.record.write("start %s run %d on %s", task, run, on)
}

func (l *ledger) end(task string, run uint64, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[task]--
	switch how {
	case "done":
		l.done[task]++
	case "stopped":
		l.stopped[task] = time.Now()
	}
	l.record.write("end %s run %d: %s", task, run, how)
}

func (l *ledger) noted(task string, run uint64) {
	l.record.write("end of %s run %d is taken note of", task, run)
}

// tally returns how many runs of a task are open, were begun and have ended done.
func (l *ledger) tally(task string) (open, starts, done int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open[task], l.starts[task], l.done[task]
}

// stops returns how many of the tasks were ended by an order to stop.
func (l *ledger) stops(tasks []string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, t := range tasks {
		if !l.stopped[t].IsZero() {
			n++
		}
	}
	return n
}

// caller sends requests to the nodes in turn.
type caller struct {
	record *record
	http   *http.Client
	fronts []string
	next   int
	mu     sync.Mutex
}

func newCaller(r *record, fronts []string) *caller {
	return &caller{record: r, fronts: fronts, http: &http.Client{Timeout: 3 * time.Second}}
}

func (c *caller) node() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return c.fronts[c.next%len(c.fronts)]
}

// call sends one request and returns the status, 0 without an answer.
func (c *caller) call(method, host, path string, body any) (int, map[string]any) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	to := c.node()
	r, err := http.NewRequest(method, "http://"+to+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", "3000")
	response, err := c.http.Do(r)
	if err != nil {
		c.record.write("%s %s at %s: no answer: %v", method, path, to, err)
		return 0, nil
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	c.record.write("%s %s at %s: %d %s", method, path, to, response.StatusCode, bytes.TrimSpace(text))
	var answer map[string]any
	_ = json.Unmarshal(text, &answer)
	return response.StatusCode, answer
}

// submit hands a job in, up to 5 times, and reports whether it was accepted.
func (c *caller) submit(host, path string, body any) bool {
	for try := range 5 {
		status, _ := c.call(http.MethodPost, host, path, body)
		if status/100 == 2 {
			return true
		}
		if status == http.StatusBadRequest || status == http.StatusNotFound {
			return false
		}
		time.Sleep(time.Duration(1+try) * 400 * time.Millisecond)
	}
	return false
}

// state asks for a job's state until it is answered, 5 times at most.
func (c *caller) state(host, path string) string {
	for range 5 {
		status, answer := c.call(http.MethodGet, host, path, nil)
		switch {
		case status == http.StatusOK:
			s, _ := answer["state"].(string)
			return s
		case status == http.StatusGone, status == http.StatusNotFound:
			return fmt.Sprint(status)
		}
		time.Sleep(300 * time.Millisecond)
	}
	return "no answer"
}

// operate sends one call of the operator to a node and follows two redirects. It returns the status, 0 without an answer.
func operate(r *record, method, address string, data []byte) (int, []byte) {
	q, err := http.NewRequest(method, "http://"+address+"/config", bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	q.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: time.Second, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return http.ErrUseLastResponse
		}
		return nil
	}}
	response, err := client.Do(q)
	if err != nil {
		r.write("%s /config at %s: no answer: %v", method, address, err)
		return 0, nil
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	r.write("%s /config at %s: %d %s", method, address, response.StatusCode, cmp.Or(string(bytes.TrimSpace(text)), "-"))
	return response.StatusCode, text
}

// configure sends a manifest until it is acknowledged or the time is over.
func configure(r *record, controls []string, document any, limit time.Duration) error {
	data, err := json.Marshal(document)
	if err != nil {
		return err
	}
	for end, i := time.Now().Add(limit), 0; time.Now().Before(end); i++ {
		if status, _ := operate(r, http.MethodPut, controls[i%len(controls)], data); status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("the manifest was not acknowledged")
}
