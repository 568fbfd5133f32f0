package listener

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// silentGrace is how long a stop waits for the first byte on a connection that brought none so far;
// http.Server would wait 5 s for each.
const silentGrace = 100 * time.Millisecond

// silentConnections are the connections on which no byte has come yet, such as those that clients open
// in reserve.
type silentConnections struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// note takes a change of a connection's state.
func (s *silentConnections) note(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[net.Conn]struct{}{}
	}
	if state == http.StateNew {
		s.conns[conn] = struct{}{}
		return
	}
	delete(s.conns, conn)
}

// end lets the server close each silent connection unless a request comes within the grace.
func (s *silentConnections) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.SetReadDeadline(time.Now().Add(silentGrace))
	}
}
