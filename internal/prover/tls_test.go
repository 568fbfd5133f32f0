package prover

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
	"github.com/mulberryhaven/mulberryhaven/internal/launcher"
)

// TestProcessesReachEachOtherOverTLS waits for gateways to be ready, which needs a leader that a quorum
// of controllers elected and confirmed, and the support of the other gateways.
func TestProcessesReachEachOtherOverTLS(t *testing.T) {
	t.Parallel()
	authority, files := writeCertificate(t)
	c := &launcher.Cluster{
		Binary: binary, Folder: t.TempDir(), Controllers: replicas, Gateways: 3, Zones: zones, Fleet: fleet(), TLS: files,
	}
	require.NoError(t, c.Start())
	t.Cleanup(func() { require.NoError(t, c.Close()) })
	client := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		TLSClientConfig:   &tls.Config{RootCAs: authority, ServerName: "127.0.0.1", MinVersion: tls.VersionTLS12},
	}}
	for _, g := range c.GatewayAddresses() {
		require.Eventually(t, func() bool {
			response, err := client.Get("https://" + string(g) + "/readyz")
			if err != nil {
				return false
			}
			defer response.Body.Close()
			return response.StatusCode == http.StatusOK
		}, patience, poll)
		require.False(t, answers(g, "pricing"), "a plain client gets no service")
	}
}

// writeCertificate writes a certificate for the relays' address that is its own authority.
func writeCertificate(t *testing.T) (*x509.CertPool, *configurer.TLS) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	folder := t.TempDir()
	files := &configurer.TLS{CertificateFile: filepath.Join(folder, "certificate"), KeyFile: filepath.Join(folder, "key")}
	files.AuthorityFile = files.CertificateFile
	certificate := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	require.NoError(t, os.WriteFile(files.CertificateFile, certificate, 0o600))
	require.NoError(t, os.WriteFile(files.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600))
	pool := x509.NewCertPool()
	require.True(t, pool.AppendCertsFromPEM(certificate))
	return pool, files
}
