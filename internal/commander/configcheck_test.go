package commander

import (
	"bytes"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the golden files")

// soundKeys are keys of the documents in testdata, which no output may hold.
var soundKeys = []string{"pqk8bdk9eevyxq2yyaza", "x6pwawxdmdejk7f92bqu", "7s4hcmkkt0yqp1kz", "0yqp1kz7s4hcmkkt"}

// newNode returns the control address of a node that redirects once to the leader, which answers with a document.
func newNode(t *testing.T, status int, document string) string {
	t.Helper()
	leader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet || r.URL.Path != "/config" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(document))
	}))
	t.Cleanup(leader.Close)
	node := httptest.NewServer(http.RedirectHandler(leader.URL+"/config", http.StatusTemporaryRedirect))
	t.Cleanup(node.Close)
	return strings.TrimPrefix(node.URL, "http://")
}

func readTestdata(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	require.NoError(t, err)
	return string(data)
}

// Scripts and operators read this output; it must not change unnoticed, and it must hold no key.
func TestConfigCheckOutput(t *testing.T) {
	against := newNode(t, http.StatusOK, readTestdata(t, "inforce.json"))
	for golden, c := range map[string]struct {
		args []string
		code int
	}{
		"sound.txt":            {[]string{"inforce.json"}, ExitOK},
		"sound.out.json":       {[]string{"inforce.json", "--json"}, ExitOK},
		"inforce.txt":          {[]string{"inforce.json", "--against", against}, exitErrors},
		"warnings.txt":         {[]string{"warnings.json"}, exitWarnings},
		"warnings-against.txt": {[]string{"warnings.json", "--against", against}, exitWarnings},
		"warnings.out.json":    {[]string{"warnings.json", "--json", "--against", "http://" + against + "/"}, exitWarnings},
		"errors.txt":           {[]string{"errors.json", "--against", against}, exitErrors},
		"errors.out.json":      {[]string{"errors.json", "--output", "json"}, exitErrors},
	} {
		t.Run(golden, func(t *testing.T) {
			c.args[0] = filepath.Join("testdata", c.args[0])
			var out, errOut bytes.Buffer
			require.Equal(t, c.code, Execute(append([]string{"config", "check"}, c.args...), &out, &errOut))
			require.Empty(t, errOut.String())
			if *update {
				require.NoError(t, os.WriteFile(filepath.Join("testdata", golden), out.Bytes(), 0o600))
			}
			require.Equal(t, readTestdata(t, golden), out.String())
			for _, k := range soundKeys {
				require.NotContains(t, out.String(), k)
			}
		})
	}
}

// A node that is down must not keep an operator from checking a document, nor pass for one without changes.
func TestConfigCheckWithoutAnswer(t *testing.T) {
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	for name, c := range map[string]struct{ against, says string }{
		"no node":                     {gone.URL, "connection refused"},
		"no leader":                   {newNode(t, http.StatusServiceUnavailable, ""), "the node answered with status 503"},
		"something else":              {newNode(t, http.StatusOK, "<html>"), "can't be decoded"},
		"an address that can't exist": {"127.0.0.1:99999", "invalid port"},
	} {
		t.Run(name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			require.Equal(t, exitWarnings, Execute([]string{"config", "check", "testdata/inforce.json", "--against", c.against}, &out, &errOut))
			require.Empty(t, errOut.String())
			require.Contains(t, out.String(), "warning: document: ")
			require.Contains(t, out.String(), c.says)
			require.NotContains(t, out.String(), "change:")

			out.Reset()
			require.Equal(t, exitErrors, Execute([]string{"config", "check", "testdata/errors.json", "--against", c.against}, &out, &errOut))
			require.Contains(t, out.String(), "error: routes[0].pathPrefix: ")
			out.Reset()
			require.Equal(t, exitWarnings, Execute([]string{"config", "check", "testdata/inforce.json", "--json", "--against", c.against}, &out, &errOut))
			require.Contains(t, out.String(), `"Changes": null`)
		})
	}
}

func TestConfigCheckArguments(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "broken.json")
	require.NoError(t, os.WriteFile(broken, []byte(`{"version":7,`), 0o600))
	for name, c := range map[string]struct {
		args []string
		code int
		out  string
		err  string
	}{
		"missing file":           {[]string{"testdata/none.json"}, ExitUsage, "", "no such file"},
		"document that ends":     {[]string{broken}, exitErrors, "error: document: is no JSON: it ends too early\n", ""},
		"settings as a document": {[]string{"../../configs/qirsh/gateway.json", "--json"}, exitErrors, `"Path": "services[0]"`, ""},
		"settings":               {[]string{"../../configs/qirsh/gateway.json"}, ExitOK, ": fine\n", ""},
		"settings of a node":     {[]string{"--fleet", "../../deploy/settings.example.json"}, ExitOK, ": fine\n", ""},
		"fleet with a node":      {[]string{"--fleet", "--against", "h", broken}, ExitUsage, "", "none of the others can be"},
	} {
		t.Run(name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			require.Equal(t, c.code, Execute(append([]string{"config", "check"}, c.args...), &out, &errOut), errOut.String())
			require.Contains(t, out.String(), c.out)
			require.Contains(t, errOut.String(), c.err)
		})
	}
}

func TestConfigCheckReadsStandardInput(t *testing.T) {
	var out bytes.Buffer
	root := newRoot(&out)
	root.SetArgs([]string{"config", "check", "-"})
	root.SetIn(strings.NewReader(readTestdata(t, "inforce.json")))
	require.NoError(t, root.Execute())
	require.Equal(t, "nothing found\n", out.String())
}

// Output that is lost, as on a full disk, must not pass for a document with mere warnings.
func TestConfigCheckReportsLostOutput(t *testing.T) {
	var errOut bytes.Buffer
	require.Equal(t, ExitUsage, Execute([]string{"config", "check", "testdata/warnings.json"}, failing{}, &errOut))
	require.Contains(t, errOut.String(), "no space")
}

type failing struct{}

func (failing) Write([]byte) (int, error) { return 0, syscall.ENOSPC }
