package finder

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"sync"

	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

const (
	// announcePeriod is the interval between two announcements of a node without a replica, of which there may be hundreds.
	announcePeriod = 2100 * manager.Millisecond
	// replicaAnnouncePeriod is that of a replica, a little less than the time between two updates: failed calls bring more.
	replicaAnnouncePeriod = 600 * manager.Millisecond
)

// announcer remembers what a node has told others.
type announcer struct {
	term   manager.Term
	leader manager.Address
	at     manager.Time
	next   int
}

// Learn takes over the view of another node.
func (f *Finder) Learn(v View) {
	if v.Leader != "" && v.AgeMs <= maxViewAge && v.Term <= maxTerm {
		f.merge(v)
	}
}

// announce tells seeds, members and silent callers who leads. A seed without a replica knows only what others tell it, and after a restart of all
// nodes those that ask it know no more.
func (f *Finder) announce(ctx context.Context) {
	v := f.View()
	if v.Leader == "" {
		return
	}
	targets := f.announceTargets(v)
	if f.Local != nil {
		targets = append(targets, f.silentCallers(f.Clock.Now())...)
	}
	var work sync.WaitGroup
	for _, a := range targets {
		work.Go(func() {
			theirs, err := f.post(ctx, a, v)
			if err != nil {
				klog.V(2).InfoS("View not announced", "Address", a, "Error", err.Error())
				return
			}
			f.Learn(theirs)
			if v.Leader != f.Own {
				f.forgetCaller(a)
			}
		})
	}
	work.Wait()
}

// announceTargets returns the nodes to tell: all seeds when a replica has another leader, and one in turn otherwise, so that
// a seed that restarts learns the leader too. A replica also tells the members: one that has lost its disk does not hear
// from the leader, and its seeds may be down. Other nodes tell only seeds that are no members.
func (f *Finder) announceTargets(v View) []manager.Address {
	f.mu.Lock()
	defer f.mu.Unlock()
	var seeds, members []manager.Address
	for _, m := range v.Members {
		if m.Address != f.Own && m.Address != v.Leader {
			members = append(members, m.Address)
		}
	}
	for _, a := range f.Seeds() {
		if a != f.Own && a != v.Leader && !slices.Contains(members, a) {
			seeds = append(seeds, a)
		}
	}
	now, hasReplica := f.Clock.Now(), f.Local != nil
	changed := v.Leader != f.announced.leader || v.Term != f.announced.term
	if f.announced.at == 0 {
		// Nodes that start together do not all begin with the same seed.
		h := fnv.New32a()
		_, _ = h.Write([]byte(f.Own))
		f.announced.next = int(h.Sum32() >> 16)
	}
	age := now.Sub(f.announced.at)
	if hasReplica && !changed && age < replicaAnnouncePeriod || !hasReplica && (len(seeds) == 0 || age < announcePeriod) {
		return nil
	}
	f.announced.term, f.announced.leader, f.announced.at = v.Term, v.Leader, now
	f.announced.next++
	if !hasReplica {
		return oneOf(seeds, f.announced.next)
	}
	if !changed {
		seeds = oneOf(seeds, f.announced.next)
	}
	return append(seeds, oneOf(members, f.announced.next)...)
}

// oneOf returns the address whose turn it is, or none of an empty list.
func oneOf(list []manager.Address, turn int) []manager.Address {
	if len(list) == 0 {
		return nil
	}
	return list[turn%len(list):][:1:1]
}

// post tells a node a view and returns that node's.
func (f *Finder) post(ctx context.Context, a manager.Address, v View) (View, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return View{}, fmt.Errorf("encode view: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(a)+PathView, bytes.NewReader(data))
	if err != nil {
		return View{}, fmt.Errorf("create announcement: %w", err)
	}
	r.Header.Set("Content-Type", "application/json")
	return f.exchange(r)
}
