package coordinator

import (
	"sync/atomic"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// atomicTime is a time that several goroutines read and set.
type atomicTime struct{ v atomic.Int64 }

func (t *atomicTime) set(at manager.Time) { t.v.Store(int64(at)) }

// setOnce sets the time unless it was set before.
func (t *atomicTime) setOnce(at manager.Time) { t.v.CompareAndSwap(0, int64(at)) }

func (t *atomicTime) get() manager.Time { return manager.Time(t.v.Load()) }
