package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/internal/translator"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/decoder"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

// Paths of the endpoints between replicas.
const (
	PathReplicate = "/control/replicate"
	PathProbe     = "/control/probe"
)

const (
	// exchangeTimeout limits one exchange with a peer; it must be well under the election timeout, or
	// one stalled connection makes a follower start an election.
	exchangeTimeout = 600 * manager.Millisecond
	// maxQueuedMessages limits the messages queued for one peer; the oldest are dropped.
	maxQueuedMessages = 256
	// maxExchangeBytes limits the size of a peer's answer.
	maxExchangeBytes = 32 << 20
)

// Exchange is the request and the response body of a call between replicas.
type Exchange struct {
	From     manager.ReplicaID        `json:",omitempty"`
	Messages []manager.ReplicaMessage `json:",omitempty"`
}

// peerSet sends messages to the other replicas, with at most one exchange in flight to each.
type peerSet struct {
	store  *Replicated
	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup

	mu      sync.Mutex
	peers   map[manager.ReplicaID]*peer
	sending snapshotCache
}

// peer is the queue of messages to one replica.
type peer struct {
	queue []manager.ReplicaMessage
	busy  bool
}

// snapshotCache holds the snapshot that is being sent in pieces.
type snapshotCache struct {
	mu    sync.Mutex
	index manager.Index
	data  []byte
}

func newPeerSet(r *Replicated) *peerSet {
	ctx, cancel := context.WithCancel(context.Background())
	return &peerSet{store: r, ctx: ctx, cancel: cancel, peers: map[manager.ReplicaID]*peer{}}
}

func (s *peerSet) close() {
	s.cancel()
	s.work.Wait()
}

// send adds the messages to the answers of the calls that wait in b and queues the others.
func (s *peerSet) send(list []manager.ReplicaMessage, b *batch) {
	for _, m := range list {
		if b != nil {
			if in := b.caller(m.To); in != nil {
				in.answers = append(in.answers, m)
				continue
			}
		}
		s.queue(m)
	}
}

func (s *peerSet) queue(m manager.ReplicaMessage) {
	member, ok := s.store.memberAddress(m.To)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peers[m.To]
	if p == nil {
		p = &peer{}
		s.peers[m.To] = p
	}
	p.queue = append(p.queue, m)
	if len(p.queue) > maxQueuedMessages {
		p.queue = p.queue[1:]
	}
	if p.busy || s.ctx.Err() != nil {
		return
	}
	p.busy = true
	s.work.Go(func() { s.drain(p, member) })
}

// drain sends the queued messages until the queue is empty.
func (s *peerSet) drain(p *peer, a manager.Address) {
	for {
		s.mu.Lock()
		list := p.queue
		p.queue = nil
		p.busy = len(list) > 0 && s.ctx.Err() == nil
		busy := p.busy
		s.mu.Unlock()
		if !busy {
			return
		}
		if err := s.exchange(a, list); err != nil {
			klog.V(2).InfoS("Replica not reached", "Address", a, "Error", err.Error())
		}
	}
}

func (s *peerSet) exchange(a manager.Address, list []manager.ReplicaMessage) error {
	filled := make([]manager.ReplicaMessage, 0, len(list))
	for _, m := range list {
		if m.Kind == manager.MessageSnapshot && !s.fillPiece(&m) {
			continue
		}
		filled = append(filled, m)
	}
	ctx, cancel := context.WithTimeout(s.ctx, s.store.exchangeTimeout().Std())
	defer cancel()
	var answer Exchange
	if err := s.post(ctx, a, PathReplicate, Exchange{From: s.store.Replica, Messages: filled}, &answer); err != nil {
		return err
	}
	if len(answer.Messages) == 0 {
		return nil
	}
	in := &inbound{messages: answer.Messages, done: make(chan []manager.ReplicaMessage, 1)}
	return s.store.inbox.add(func(b *batch) { b.inbound = append(b.inbound, in) })
}

// exchangeTimeout returns the timeout of one exchange: at most half an election timeout.
func (r *Replicated) exchangeTimeout() manager.Duration {
	if t := r.Options.ElectionTimeout; t > 0 {
		return min(exchangeTimeout, t/2)
	}
	return exchangeTimeout
}

// fillPiece reads the data of a snapshot piece into its message. It returns false for a piece of an older
// snapshot, which isn't sent.
func (s *peerSet) fillPiece(m *manager.ReplicaMessage) bool {
	s.sending.mu.Lock()
	defer s.sending.mu.Unlock()
	p := *m.Snapshot
	if s.sending.index != p.Meta.Index {
		meta, data, err := s.store.log.ReadSnapshot()
		if err != nil || meta.Index != p.Meta.Index {
			return false
		}
		s.sending.index, s.sending.data = meta.Index, data
	}
	size := int64(replicator.DefaultPieceBytes)
	total := int64(len(s.sending.data))
	if p.Offset > total {
		return false
	}
	end := min(p.Offset+size, total)
	p.Data = s.sending.data[p.Offset:end]
	if end == total {
		s.sending.index, s.sending.data = 0, nil
	}
	m.Snapshot = &p
	return true
}

func (s *peerSet) probe(ctx context.Context, a manager.Address, q manager.BootstrapProbe) (manager.BootstrapAnswer, error) {
	var answer manager.BootstrapAnswer
	err := s.post(ctx, a, PathProbe, q, &answer)
	return answer, err
}

func (s *peerSet) post(ctx context.Context, a manager.Address, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode exchange: %w", err)
	}
	scheme := s.store.Scheme
	if scheme == "" {
		scheme = "http"
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, scheme+"://"+string(a)+path, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("create exchange: %w", err)
	}
	r.Header.Set("Authorization", "Bearer "+s.store.Token)
	r.Header.Set("User-Agent", "")
	response, err := s.store.HTTP.Do(r)
	if err != nil {
		return fmt.Errorf("send exchange: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("replica %s rejected the request: %w", a, translator.ReadError(response))
	}
	if err := decoder.Read(response.Body, maxExchangeBytes, answer); err != nil {
		return fmt.Errorf("decode exchange: %w", err)
	}
	return nil
}

// memberAddress returns the address of a member; a replica without any log entry uses the initial
// members.
func (r *Replicated) memberAddress(id manager.ReplicaID) (manager.Address, bool) {
	members := r.replica.Status().Members.List
	if len(members) == 0 {
		members = r.Initial
	}
	for _, m := range members {
		if m.Replica == id {
			return m.Address, true
		}
	}
	return "", false
}

// Exchange handles a peer's messages and returns the answers once the entries they acknowledge are synced.
// If a slow disk delays the answers until the caller has given up, they are sent as separate messages.
func (r *Replicated) Exchange(ctx context.Context, e Exchange) (Exchange, error) {
	in := &inbound{from: e.From, messages: e.Messages, done: make(chan []manager.ReplicaMessage, 1)}
	if err := r.inbox.add(func(b *batch) { b.inbound = append(b.inbound, in) }); err != nil {
		return Exchange{}, err
	}
	select {
	case answers := <-in.done:
		return Exchange{Messages: answers}, nil
	case <-ctx.Done():
		r.peers.work.Go(func() { r.sendLate(<-in.done) })
		return Exchange{}, fmt.Errorf("handle messages: %w", ctx.Err())
	}
}

// sendLate queues the answers to an exchange whose caller has given up.
func (r *Replicated) sendLate(answers []manager.ReplicaMessage) {
	if len(answers) == 0 {
		return
	}
	r.inbox.control(func(manager.Time) {
		for _, m := range answers {
			r.peers.queue(m)
		}
	})
}
