package commander

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"github.com/mulberryhaven/mulberryhaven/internal/assembler"
	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
	"github.com/mulberryhaven/mulberryhaven/internal/logger"
	"github.com/mulberryhaven/mulberryhaven/internal/timekeeper"
	"github.com/mulberryhaven/mulberryhaven/internal/tracer"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// flushTimeout bounds the export of the last traces.
const flushTimeout = 5 * time.Second

func newServe() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run the services that a settings file names until SIGTERM",
		Args:  exactly(0),
		RunE: func(*cobra.Command, []string) error {
			settings, err := configurer.Read(file)
			if err != nil {
				return errUsage{err}
			}
			return serve(settings)
		},
	}
	cmd.Flags().StringVar(&file, "config", "", "settings file")
	_ = cmd.MarkFlagRequired("config")
	return cmd
}

func serve(settings configurer.Settings) error {
	if err := logger.Setup(os.Stderr, settings.Node, settings.Log.Verbosity); err != nil {
		return fmt.Errorf("set up log: %w", err)
	}
	flush, err := tracer.Setup(context.Background(), settings.Node, settings.Trace)
	if err != nil {
		return fmt.Errorf("set up traces: %w", err)
	}
	ctx, force, end := watchSignals()
	defer end()
	p := assembler.Process{Settings: settings, Clock: timekeeper.New(), Seed: uint64(time.Now().UnixNano())}
	s, err := p.Build()
	if err != nil {
		return errors.Join(fmt.Errorf("build process: %w", err), flush(ctx))
	}
	err = s.Run(ctx, force)
	flushCtx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	return errors.Join(err, flush(flushCtx))
}

// watchSignals returns a context that ends at the first signal and a channel that is closed at the second.
func watchSignals() (context.Context, <-chan struct{}, func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithCancel(context.Background())
	force := make(chan struct{})
	go func() {
		s := <-signals
		klog.InfoS(manager.LogShutdownStarted, "Signal", s.String())
		cancel()
		s = <-signals
		klog.InfoS("Stop is forced", "Signal", s.String())
		close(force)
	}()
	return ctx, force, func() { signal.Stop(signals) }
}
