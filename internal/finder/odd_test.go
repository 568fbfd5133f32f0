package finder_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/finder"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// serveText answers each query with a text.
func serveText(t *testing.T, text string) manager.Address {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }))
	t.Cleanup(s.Close)
	return manager.Address(strings.TrimPrefix(s.URL, "http://"))
}

// followsAfter reports whether a node that has read an odd view still finds the leader.
func followsAfter(t *testing.T, odd string) {
	t.Helper()
	clock := &manager.ManualClock{At: 100_000}
	elected := newFinder(clock)
	elected.Own = serveView(t, elected)
	elected.Local = func() (finder.View, bool) { return finder.View{Term: 3, Leader: elected.Own}, true }
	seeds := []manager.Address{serveText(t, odd)}
	node := newFinder(clock)
	node.Seeds = func() []manager.Address { return seeds }
	node.Update(context.Background())
	seeds = append(seeds, elected.Own)
	began := time.Now()
	for range 6 {
		node.Update(context.Background())
		clock.Advance(700)
	}
	require.Less(t, time.Since(began), 8*time.Second, "updates take longer than the age up to which a view is used")
	require.Equal(t, elected.Own, node.View().Leader)
}

func TestViewThatCanNotBeReadIsSkipped(t *testing.T) {
	for _, odd := range []string{
		"", "null", "{}", "[]", `{"Term":-1}`, `{"Term":1e300}`, `{"Term":18446744073709551616,"Leader":"10.0.0.1:80"}`, `{"Leader":7}`,
		`{"Term":3,"Members":7}`, `{"Term":2,"Members":[null]}`, strings.Repeat("[", 60_000), `{"Term":3,"Leader":"` + strings.Repeat("x", 100_000) + `"}`,
	} {
		t.Run(fmt.Sprintf("%.40s", odd), func(t *testing.T) { followsAfter(t, odd) })
	}
}

// A term that no later one can follow makes the node ignore every view after it.
func TestViewOfAFarTermDoesNotHideTheLeader(t *testing.T) {
	followsAfter(t, `{"Term":18446744073709551615,"Leader":"127.0.0.1:9"}`)
}

func TestViewWithoutAUsableLeaderIsSkipped(t *testing.T) {
	for _, leader := range []string{"nowhere", "10.0.0.9:80000", "10.0.0.9:0", "10.0.0.9", "[", "http://10.0.0.9:80/"} {
		t.Run(leader, func(t *testing.T) { followsAfter(t, `{"Term":3,"Leader":"`+leader+`"}`) })
	}
}

func TestViewWithOddMembersDoesNotHoldUpTheSearch(t *testing.T) {
	var members []string
	for i := range 500 {
		members = append(members, fmt.Sprintf(`{"Replica":%d,"Address":"127.0.0.1:%d"}`, i, 70_000+i))
	}
	for name, list := range map[string]string{
		"ports out of range": strings.Join(members, ","),
		"no addresses":       `{"Replica":1,"Address":"nowhere"},{"Replica":2,"Address":""},{"Replica":3,"Address":"["}`,
	} {
		t.Run(name, func(t *testing.T) { followsAfter(t, `{"Term":2,"Members":[`+list+`]}`) })
	}
}
