package relayer

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// chunkBytes is what a relay moves at once.
const chunkBytes = 32 << 10

// Relay carries TCP connections to a target.
type Relay struct {
	Target manager.Address
	// Listen is where the relay listens; empty stands for any free port.
	Listen manager.Address
	// Judge returns what befalls the data of a connection from an IP address, towards the target or back;
	// nil carries everything at once.
	Judge func(from string, toTarget bool) Verdict

	listener net.Listener
	mu       sync.Mutex
	changed  *sync.Cond
	cut      bool
	closed   bool
	pairs    map[*pair]bool
	work     sync.WaitGroup
}

// Verdict is what befalls data on its way.
type Verdict struct {
	// Hold keeps the data until another verdict comes.
	Hold bool
	// Delay passes before the data goes on.
	Delay time.Duration
}

// judgePeriod is the pause between two looks at a verdict that holds data.
const judgePeriod = 20 * time.Millisecond

// pair is one carried connection.
type pair struct {
	near, far net.Conn
	// from is the IP address that opened the connection.
	from string
	// silent says that nothing is carried any more although both ends stay open.
	silent bool
}

// Run listens on a loopback address and carries connections until Close.
func (r *Relay) Run() error {
	listen := cmp.Or(r.Listen, "127.0.0.1:0")
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", string(listen))
	if err != nil {
		return fmt.Errorf("listen as relay: %w", err)
	}
	r.listener = l
	r.changed = sync.NewCond(&r.mu)
	r.pairs = map[*pair]bool{}
	r.work.Go(r.accept)
	return nil
}

// Addr returns the address that stands for the target.
func (r *Relay) Addr() manager.Address { return manager.Address(r.listener.Addr().String()) }

func (r *Relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.work.Go(func() { r.carry(near) })
	}
}

func (r *Relay) carry(near net.Conn) {
	p := &pair{near: near}
	if a, ok := near.RemoteAddr().(*net.TCPAddr); ok {
		p.from = a.IP.String()
	}
	if !r.open(p) {
		_ = near.Close()
		return
	}
	defer r.drop(p)
	if !r.pass(p) || !r.judged(p, true) {
		return
	}
	far, err := (&net.Dialer{}).Dial("tcp", string(r.Target))
	if err != nil {
		return
	}
	r.mu.Lock()
	p.far = far
	closed := r.closed
	r.mu.Unlock()
	if closed {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { r.copy(p, far, near, true) })
	both.Go(func() { r.copy(p, near, far, false) })
	both.Wait()
}

func (r *Relay) open(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.pairs[p] = true
	return true
}

func (r *Relay) drop(p *pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
	p.close()
}

func (p *pair) close() {
	_ = p.near.Close()
	if p.far != nil {
		_ = p.far.Close()
	}
}

// pass waits while the relay is cut or the pair is silent; it returns false once the relay is closed.
func (r *Relay) pass(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.closed && (r.cut || p.silent) {
		r.changed.Wait()
	}
	return !r.closed
}

// judged waits as the verdict on the pair's data says; it returns false once the relay is closed.
func (r *Relay) judged(p *pair, toTarget bool) bool {
	if r.Judge == nil {
		return true
	}
	for {
		v := r.Judge(p.from, toTarget)
		if !v.Hold {
			time.Sleep(v.Delay)
			return true
		}
		r.mu.Lock()
		closed := r.closed
		r.mu.Unlock()
		if closed {
			return false
		}
		time.Sleep(judgePeriod)
	}
}

// copy carries one direction; the end of a stream passes only while the pair does, so that a cut
// hides it from the other end.
func (r *Relay) copy(p *pair, to, from net.Conn, toTarget bool) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		if !r.pass(p) || !r.judged(p, toTarget) {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

// Cut stops everything, new connections included, without closing any.
func (r *Relay) Cut() { r.set(func() { r.cut = true }) }

// Heal ends a cut; what was held is delivered.
func (r *Relay) Heal() { r.set(func() { r.cut = false }) }

// Silence makes the open connections silent for good; new ones work.
func (r *Relay) Silence() {
	r.set(func() {
		for p := range r.pairs {
			p.silent = true
		}
	})
}

// Reset ends the open connections with a reset; new ones work.
func (r *Relay) Reset() {
	r.set(func() {
		for p := range r.pairs {
			for _, c := range []net.Conn{p.near, p.far} {
				if t, ok := c.(*net.TCPConn); ok {
					_ = t.SetLinger(0)
				}
			}
			p.close()
		}
	})
}

func (r *Relay) set(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	r.changed.Broadcast()
}

// Close closes every connection and ends the relay.
func (r *Relay) Close() {
	r.set(func() {
		r.closed = true
		for p := range r.pairs {
			p.close()
		}
	})
	_ = r.listener.Close()
	r.work.Wait()
}
