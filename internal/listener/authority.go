package listener

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
)

// handshakeTimeout bounds a connection's opening to another process, TLS included.
const handshakeTimeout = 2 * time.Second

// ErrAuthority reports an authority file without a certificate.
var ErrAuthority = eris.New("holds no certificate in PEM form")

// Dial opens a connection to another of the system's own processes.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// PeerDial returns how to reach the other processes: over TLS if the settings name the authority that
// signs their certificates, which name their IP addresses, or else nil for plain TCP.
func PeerDial(t *configurer.TLS) (Dial, error) {
	if t == nil || t.AuthorityFile == "" {
		return nil, nil
	}
	data, err := os.ReadFile(t.AuthorityFile)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("authority file %s: %w", t.AuthorityFile, ErrAuthority)
	}
	d := &tls.Dialer{
		NetDialer: &net.Dialer{Timeout: handshakeTimeout},
		Config:    &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12},
	}
	return d.DialContext, nil
}
