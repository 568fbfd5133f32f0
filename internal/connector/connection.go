package connector

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/pooler"
)

// bufferBytes is the size of each of a connection's three buffers.
const bufferBytes = 4 << 10

// link is one open connection to an upstream.
type link struct {
	id      pooler.ConnectionID
	conn    net.Conn
	reader  reader
	writer  *bufio.Writer
	sent    atomic.Int64
	heard   atomic.Int64
	lost    atomic.Bool
	closing sync.Once
}

func newLink(id pooler.ConnectionID, conn net.Conn) *link {
	l := &link{id: id, conn: conn}
	l.reader = reader{source: bufio.NewReaderSize(l, bufferBytes), body: bufio.NewReaderSize(nil, bufferBytes)}
	l.writer = bufio.NewWriterSize(l, bufferBytes)
	return l
}

// Read counts the bytes that were heard.
func (l *link) Read(p []byte) (int, error) {
	n, err := l.conn.Read(p)
	l.heard.Add(int64(n))
	return n, err
}

// Write counts the bytes that the connection took.
func (l *link) Write(p []byte) (int, error) {
	n, err := l.conn.Write(p)
	l.sent.Add(int64(n))
	return n, err
}

func (l *link) close() {
	l.closing.Do(func() { _ = l.conn.Close() })
}

// abandon makes the exchange on l fail as silent.
func (l *link) abandon() {
	l.lost.Store(true)
	l.close()
}

// past is a deadline that makes reads and writes return at once.
var past = time.Unix(1, 0)

// until lets reads and writes fail once ctx ends; the returned function lifts that and tells whether
// ctx had not ended before.
func (l *link) until(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, func() { _ = l.conn.SetDeadline(past) })
}

// quiet tells whether an idle connection is open and has nothing to read. Connections that can't be
// asked without waiting count as quiet.
func (l *link) quiet() bool {
	if !l.reader.drained() {
		return false
	}
	s, ok := l.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// newRequest builds the message for an upstream; its path goes out as the caller sent it.
func newRequest(to manager.Address, r Request) (*http.Request, error) {
	u, err := url.ParseRequestURI(r.Path)
	if err != nil {
		err = fmt.Errorf("parse path: %w", err)
		return nil, ErrExchange{RunState: manager.RunStateNotRun, Stage: "connect", Err: err}
	}
	out := &http.Request{
		Method: r.Method, URL: u, Host: string(to), Header: r.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(r.Body)),
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header = http.Header{}
		maps.Copy(out.Header, r.Header)
		// An empty value keeps the library from naming itself.
		out.Header.Set("User-Agent", "")
	}
	return out, nil
}

// send writes a request.
func (l *link) send(r *http.Request, body []byte) error {
	setBody(r, body)
	if err := r.Write(l.writer); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	if err := l.writer.Flush(); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	return nil
}

func setBody(r *http.Request, body []byte) {
	if len(body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
}
