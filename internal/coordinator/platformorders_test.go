package coordinator

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/dispatcher"
)

// slowPlatform takes a while for each order and counts those under way.
type slowPlatform struct {
	PlatformCaller
	takes time.Duration

	mu             sync.Mutex
	now, most, all int
}

func (p *slowPlatform) Perform(ctx context.Context, _ dispatcher.PlatformOrder) dispatcher.PlatformOutcome {
	p.mu.Lock()
	p.now++
	p.all++
	p.most = max(p.most, p.now)
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.now--
	}()
	select {
	case <-ctx.Done():
		return dispatcher.OutcomeUnknown
	case <-time.After(p.takes):
		return dispatcher.OutcomeAccepted
	}
}

// orderAll performs orders for many VMs at once and counts their outcomes.
func orderAll(b *orderLimiter, p PlatformCaller, n int) map[dispatcher.PlatformOutcome]int {
	var mu sync.Mutex
	var work sync.WaitGroup
	outcomes := map[dispatcher.PlatformOutcome]int{}
	for i := range n {
		work.Go(func() {
			o := b.perform(p, dispatcher.PlatformOrder{VM: manager.VMID(fmt.Sprint(i)), Token: 1})
			mu.Lock()
			defer mu.Unlock()
			outcomes[o]++
		})
	}
	work.Wait()
	return outcomes
}

func newDutyLimiter(leads func(manager.FencingToken) bool) *orderLimiter {
	return &orderLimiter{slots: make(chan struct{}, maxPlatformOrders), leads: leads}
}

// At the end of a turn most of a fleet of thousands of VMs is switched off at once.
func TestOrdersGoOutAFewAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &slowPlatform{takes: 10 * time.Millisecond}
		outcomes := orderAll(newDutyLimiter(func(manager.FencingToken) bool { return true }), p, 1500)
		require.Equal(t, 1500, outcomes[dispatcher.OutcomeAccepted])
		require.Equal(t, maxPlatformOrders, p.most)
	})
}

func TestOrdersThatWaitEndWithTheLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &slowPlatform{takes: 10 * time.Millisecond}
		began := time.Now()
		leads := func(manager.FencingToken) bool { return time.Since(began) < 25*time.Millisecond }
		outcomes := orderAll(newDutyLimiter(leads), p, 1500)
		require.Equal(t, 3*maxPlatformOrders, p.all)
		require.Equal(t, 1500-3*maxPlatformOrders, outcomes[dispatcher.OutcomeUnknown])
	})
}

func TestOrdersOfASilentPlatformEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		p := &slowPlatform{takes: time.Hour}
		outcomes := orderAll(newDutyLimiter(func(manager.FencingToken) bool { return true }), p, 1500)
		require.Equal(t, 1500, outcomes[dispatcher.OutcomeUnknown])
		require.LessOrEqual(t, time.Since(began), 2*platformTimeout)
	})
}
