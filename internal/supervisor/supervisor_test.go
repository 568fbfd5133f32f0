package supervisor

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

var errCut = eris.New("cut")

type recorder struct{ events []string }

type fake struct {
	name  string
	needs []string
	log   *recorder
	// block makes Stop wait for the forced end.
	block bool
}

func (f *fake) Name() string    { return f.name }
func (f *fake) Needs() []string { return f.needs }
func (f *fake) PrepareStop()    { f.log.events = append(f.log.events, "prepare "+f.name) }

func (f *fake) Start(r *Registry) error {
	for _, need := range f.needs {
		if _, err := Find[*fake](r, need); err != nil {
			return err
		}
	}
	f.log.events = append(f.log.events, "start "+f.name)
	return nil
}

func (f *fake) Stop(stop <-chan struct{}) error {
	f.log.events = append(f.log.events, "stop "+f.name)
	if !f.block {
		return nil
	}
	<-stop
	return errCut
}

func TestStartsByNeedAndStopsInReverse(t *testing.T) {
	log := &recorder{}
	s := &Supervisor{Services: []Service{
		&fake{name: "gateway", needs: []string{"store"}, log: log},
		&fake{name: "store", log: log},
	}}
	require.NoError(t, s.Start())
	require.NoError(t, s.Stop(nil))
	require.Equal(t, []string{
		"start store", "start gateway", "prepare store", "prepare gateway", "stop gateway", "stop store",
	}, log.events)
}

func TestRefusesMissingAndCircularNeeds(t *testing.T) {
	log := &recorder{}
	missing := &Supervisor{Services: []Service{&fake{name: "a", needs: []string{"b"}, log: log}}}
	require.True(t, manager.IsErrNotExist(missing.Start()))
	circle := &Supervisor{Services: []Service{
		&fake{name: "a", needs: []string{"b"}, log: log}, &fake{name: "b", needs: []string{"a"}, log: log},
	}}
	require.True(t, manager.IsErrConflict(circle.Start()))
	require.Empty(t, log.events)
}

func TestStopEndsAtGraceOrSecondSignal(t *testing.T) {
	for name, forceAfter := range map[string]time.Duration{"grace": time.Hour, "second signal": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &Supervisor{
					Services:   []Service{&fake{name: "a", log: &recorder{}, block: true}},
					ReadyDelay: manager.Second, Grace: 10 * manager.Second,
				}
				require.NoError(t, s.Start())
				force := make(chan struct{})
				timer := time.AfterFunc(forceAfter, func() { close(force) })
				defer timer.Stop()
				start := time.Now()
				require.ErrorIs(t, s.Stop(force), errCut)
				require.Equal(t, min(forceAfter, 11*time.Second), time.Since(start))
			})
		})
	}
}
