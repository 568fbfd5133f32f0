package explainer_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/explainer"
)

const logs = `   2.9 node-a {"Time":"2026-03-18T13:57:48.9Z","Level":"INFO","Message":"Job refused","Node":"node-a","RequestID":"r1","Queue":"q","RetryAfterMs":1000,"Load":7.5,"Token":2}
{"Time":"2026-03-18T13:57:49.9Z","Level":"INFO","Message":"Job accepted","Node":"node-a","RequestID":"r2","Queue":"q","Customer":"large","Token":2}
{"Time":"2026-03-18T13:57:50.0Z","Level":"INFO","Message":"Customer at cap","Node":"node-a","Customer":"small","FirstWaiting":"r3","Token":2}
{"Time":"2026-03-18T13:57:50.0Z","Level":"INFO","Message":"Customer at cap","Node":"node-a","Customer":"large","FirstWaiting":"r2","Token":2}
{"Time":"2026-03-18T13:57:50.1Z","Level":"DEBUG+3","Message":"Task placed","Node":"node-a","RequestID":"r2","Task":"r2.0.0.0","Run":1,"Worker":"w1","Token":2}
{"Time":"2026-03-18T13:57:51.0Z","Level":"INFO","Message":"Dispatcher ended","Node":"node-a","Token":2,"Reason":"another replica leads"}
{"Time":"2026-03-18T13:57:52.0Z","Level":"INFO","Message":"Dispatcher started","Node":"node-b","Token":3}
{"Time":"2026-03-18T13:57:58.0Z","Level":"INFO","Message":"Run lost","Node":"node-b","RequestID":"r2","Task":"r2.0.0.0","Run":1,"Worker":"w1","Token":3}
{"Time":"2026-03-18T13:58:01.0Z","Level":"INFO","Message":"Job ended","Node":"node-b","RequestID":"r2","State":"completed","TookMs":11100,"ObjectiveMs":5200,"InTime":false,"WaitedMs":200,"Token":3}
{"Time":"2026-03-18T13:58:02.0Z","Level":"INFO","Message":"Configuration taken","Node":"node-b","Version":9,"Token":3}
{"Time":"2026-03-18T13:58:03.0Z","Level":"INFO","Message":"Upkeep ordered","Node":"node-b","VM":"m-1","Wave":1,"Token":3}
not a line
{"Time":
`

func explain(t *testing.T, s explainer.Subject) (string, []string) {
	t.Helper()
	lines, err := explainer.Read(strings.NewReader(logs))
	require.NoError(t, err)
	require.Len(t, lines, 11)
	way, causes := explainer.Explain(s, lines)
	var out bytes.Buffer
	explainer.Print(&out, way, causes)
	return out.String(), causes
}

func TestRefusedRequestIsExplained(t *testing.T) {
	_, causes := explain(t, explainer.Subject{Request: "r1"})
	require.Contains(t, causes, "refused at the peak: load 7.5 of its pool, to come back after 1000 ms")
}

func TestLateRequestAfterATakeoverIsExplained(t *testing.T) {
	out, causes := explain(t, explainer.Subject{Request: "r2"})
	all := strings.Join(causes, "\n")
	require.Contains(t, all, "run 1 of task r2.0.0.0 was lost with worker w1")
	require.Contains(t, all, "ended as completed after 11100 ms of 5200 ms, in time: false; its first task waited 200 ms")
	require.Contains(t, all, "dispatcher started on node-b Token=3")
	require.Contains(t, all, "customer at cap on node-a Customer=large FirstWaiting=r2")
	require.NotContains(t, all, "Customer=small", "the cap of another customer holds no job of this one")
	require.Contains(t, out, "13:57:50.100 node-a                   Task placed RequestID=r2")
}

func TestVersionAndVMAreExplained(t *testing.T) {
	out, _ := explain(t, explainer.Subject{Version: 9})
	require.Contains(t, out, "Configuration taken Version=9")
	out, _ = explain(t, explainer.Subject{VM: "m-1"})
	require.Contains(t, out, "Upkeep ordered VM=m-1")
}

func TestUnknownSubjectHasNoWay(t *testing.T) {
	out, causes := explain(t, explainer.Subject{Request: "none"})
	require.Empty(t, causes)
	require.Contains(t, out, "none found")
}
