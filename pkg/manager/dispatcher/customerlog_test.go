package dispatcher_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

// Without these lines an operator can't tell from a job's ID whose job it is, nor that its customer's cap holds it. A line for each
// start that is held would fill the log.
func TestJobHeldByCapIsLoggedOnceASecond(t *testing.T) {
	f := newFleet(t)
	f.configureCustomers(manager.CustomerSettings{Customer: large, Weight: 100, Cap: processors(1000)})
	f.worker("w", pool, 8000)
	f.run(200)
	lines := map[string][]dispatcher.LogLine{}
	f.onLog = func(l dispatcher.LogLine) { lines[l.Message] = append(lines[l.Message], l) }
	f.submitFor(large, "a", task(1000, 2))
	f.submitFor(large, "b", task(1000, 2))
	f.submit("free", task(1000, 1))
	f.run(6 * manager.Second)
	require.Equal(t, manager.GraphCompleted, f.jobState("b"))
	for _, message := range []string{manager.LogJobAccepted, manager.LogJobEnded} {
		require.Len(t, lines[message], 3, message)
		owners := map[manager.CustomerID]int{}
		for _, l := range lines[message] {
			owners[l.Customer]++
			require.Equal(t, l.Customer != "", fieldOf(l, "Customer") != nil, "%s %v", message, l.Fields)
		}
		require.Equal(t, map[manager.CustomerID]int{large: 2, "": 1}, owners, message)
	}
	held := lines[manager.LogCustomerAtCap]
	require.NotEmpty(t, held)
	require.LessOrEqual(t, len(held), 6)
	require.Equal(t, large, fieldOf(held[0], "Customer"))
	require.Equal(t, "a", fmt.Sprint(fieldOf(held[0], "FirstWaiting")))
	require.Equal(t, processors(1000), fieldOf(held[0], "Cap"))
}

func fieldOf(l dispatcher.LogLine, name string) any {
	for i := 0; i+1 < len(l.Fields); i += 2 {
		if l.Fields[i] == name {
			return l.Fields[i+1]
		}
	}
	return nil
}
