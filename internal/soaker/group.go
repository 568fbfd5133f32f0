package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/mulberryhaven/mulberryhaven/internal/finder"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Group is the nodes' part in the replica group, as the node with the newest view shows it.
type Group struct {
	// Leader is nil while no node names one.
	Leader           *Node
	Voters, Learners []*Node
}

// Group asks the nodes for the replica group.
func (f *Fleet) Group() Group {
	var newest finder.View
	for _, n := range f.Nodes {
		if v, err := n.view(); err == nil && v.Leader != "" && v.Term >= newest.Term {
			newest = v
		}
	}
	g := Group{Leader: f.at(newest.Leader)}
	for _, m := range newest.Members {
		n := f.at(m.Address)
		switch {
		case n == nil:
		case m.Learner:
			g.Learners = append(g.Learners, n)
		default:
			g.Voters = append(g.Voters, n)
		}
	}
	return g
}

func (f *Fleet) at(a manager.Address) *Node {
	for _, n := range f.Nodes {
		if a != "" && n.At(portPeer) == string(a) {
			return n
		}
	}
	return nil
}

func (n *Node) view() (finder.View, error) {
	const patience = time.Second
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var v finder.View
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.At(portPeer)+finder.PathView, nil)
	if err != nil {
		return v, fmt.Errorf("create request: %w", err)
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return v, fmt.Errorf("ask %s for its view: %w", n.Name, err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&v); err != nil {
		return v, fmt.Errorf("decode view of %s: %w", n.Name, err)
	}
	return v, nil
}

// Logged counts the lines with a message in a node's log.
func (f *Fleet) Logged(n *Node, message string) (int, error) {
	n.mu.Lock()
	file := n.process.LogFile()
	n.mu.Unlock()
	data, err := os.ReadFile(file)
	if err != nil {
		return 0, fmt.Errorf("read log: %w", err)
	}
	return strings.Count(string(data), message), nil
}

// RefuseWrites makes a node's disk refuse each write, or ends that, if its process runs.
func (f *Fleet) RefuseWrites(n *Node, on bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil || !n.process.Running() {
		return nil
	}
	if on {
		return n.process.RefuseWrites()
	}
	return n.process.AllowWrites()
}
