package listener_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
	"github.com/mulberryhaven/mulberryhaven/internal/listener"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newTLS writes a certificate for loopback that signs itself.
func newTLS(t *testing.T) *configurer.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	secret, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	folder := t.TempDir()
	files := &configurer.TLS{
		CertificateFile: filepath.Join(folder, "cert.pem"), KeyFile: filepath.Join(folder, "key.pem"),
		AuthorityFile: filepath.Join(folder, "cert.pem"),
	}
	for name, block := range map[string]*pem.Block{
		files.CertificateFile: {Type: "CERTIFICATE", Bytes: certificate},
		files.KeyFile:         {Type: "EC PRIVATE KEY", Bytes: secret},
	} {
		require.NoError(t, os.WriteFile(name, pem.EncodeToMemory(block), 0o600))
	}
	return files
}

func startServer(t *testing.T, files *configurer.TLS) *listener.Server {
	t.Helper()
	e := listener.NewEcho()
	e.GET("/", func(c echo.Context) error { return c.NoContent(http.StatusOK) }, listener.Bearer("secret"))
	s := &listener.Server{Address: "127.0.0.1:0", TLS: files, Echo: e}
	require.NoError(t, s.Start())
	t.Cleanup(func() { require.NoError(t, s.Stop(nil)) })
	return s
}

// get returns the status of a request with a token over connections that dial opens.
func get(t *testing.T, s *listener.Server, dial listener.Dial, token string) (int, error) {
	t.Helper()
	transport := &http.Transport{DialContext: dial}
	defer transport.CloseIdleConnections()
	r, err := http.NewRequest(http.MethodGet, "http://"+string(s.Addr())+"/", nil)
	require.NoError(t, err)
	r.Header.Set("Authorization", token)
	response, err := (&http.Client{Transport: transport}).Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.StatusCode, nil
}

func TestOnlyTheTokenOpens(t *testing.T) {
	s := startServer(t, nil)
	for token, want := range map[string]int{
		"Bearer secret": 200, "": 401, "secret": 401, "Bearer ": 401, "Bearer secre": 401, "Bearer secret ": 200,
		"Bearer secrets": 401, "bearer secret": 401, "Basic secret": 401,
	} {
		status, err := get(t, s, nil, token)
		require.NoError(t, err)
		require.Equal(t, want, status, "%q", token)
	}
}

func TestProcessesTalkOverTLS(t *testing.T) {
	files := newTLS(t)
	s := startServer(t, files)
	dial, err := listener.PeerDial(files)
	require.NoError(t, err)
	status, err := get(t, s, dial, "Bearer secret")
	require.NoError(t, err)
	require.Equal(t, 200, status)
	stranger, err := listener.PeerDial(newTLS(t))
	require.NoError(t, err)
	_, err = get(t, s, stranger, "Bearer secret")
	require.ErrorContains(t, err, "certificate")
	status, err = get(t, s, nil, "Bearer secret")
	require.True(t, err != nil || status == http.StatusBadRequest)
}

func TestAuthorityWithoutCertificateIsRefused(t *testing.T) {
	files := newTLS(t)
	files.AuthorityFile = files.KeyFile
	_, err := listener.PeerDial(files)
	require.ErrorIs(t, err, listener.ErrAuthority)
	dial, err := listener.PeerDial(&configurer.TLS{})
	require.NoError(t, err)
	require.Nil(t, dial)
}

// A client that opens a connection in reserve does not hold up a stop for 5 s.
func TestStopEndsSilentConnections(t *testing.T) {
	s := startServer(t, nil)
	conn, err := net.Dial("tcp", string(s.Addr()))
	require.NoError(t, err)
	defer conn.Close()
	time.Sleep(20 * time.Millisecond)
	forced := make(chan struct{})
	timer := time.AfterFunc(4*time.Second, func() { close(forced) })
	require.NoError(t, s.Stop(forced))
	require.True(t, timer.Stop(), "the stop waited for the silent connection")
}
