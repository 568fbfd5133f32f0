package commander

import (
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
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/platform"
)

// settingsPeriod is the pause between two looks at the settings file, which may change without a signal.
const settingsPeriod = time.Second

// flushPatience bounds the wait for the log's reader at the end.
const flushPatience = 300 * time.Millisecond

func newFleetNode() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "fleet",
		Short: "Run a node on the platform until SIGTERM",
		Long:  "Run a node on the platform until SIGTERM. Without --config, " + platform.SettingsVariable + " names the settings file.",
		Args:  exactly(0),
		RunE: func(*cobra.Command, []string) error {
			// The platform may signal changed settings at any time; a signal before this call ends the process.
			signals := make(chan os.Signal, 4)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
			defer signal.Stop(signals)
			if file == "" {
				file = os.Getenv(platform.SettingsVariable)
			}
			settings, err := configurer.ReadFleetNode(file)
			if err != nil {
				return errUsage{err}
			}
			return runFleetNode(file, settings, signals)
		},
	}
	cmd.Flags().StringVar(&file, "config", "", "settings file")
	return cmd
}

func runFleetNode(file string, settings configurer.FleetNode, signals <-chan os.Signal) error {
	out := &logger.Bounded{To: os.Stdout, Node: settings.Node}
	out.Start()
	if err := logger.Setup(out, settings.Node, max(logger.Minor, settings.Log.Verbosity)); err != nil {
		return fmt.Errorf("set up log: %w", err)
	}
	defer out.Stop(flushPatience)
	for {
		f := &assembler.FleetNode{Clock: timekeeper.NewBoot(), Seed: uint64(time.Now().UnixNano())}
		if err := f.Start(settings); err != nil {
			return fmt.Errorf("start node: %w", err)
		}
		removed, failure := serveFleetNode(file, f, signals)
		if err := f.Stop(); err != nil {
			klog.InfoS(manager.LogNodeDidNotStopCleanly, "Error", err.Error())
		}
		if failure != nil {
			return fmt.Errorf("run node: %w", failure)
		}
		if !removed {
			klog.InfoS(manager.LogNodeStopped)
			return nil
		}
		if err := f.Discard(); err != nil {
			return fmt.Errorf("discard removed replica: %w", err)
		}
		settings.Found = false
	}
}

// serveFleetNode waits until the node is to stop; it returns true where the node's replica was removed, and an error
// where a part has failed for good.
func serveFleetNode(file string, f *assembler.FleetNode, signals <-chan os.Signal) (bool, error) {
	t := time.NewTicker(settingsPeriod)
	defer t.Stop()
	changed := modified(file)
	if !changed.IsZero() {
		// The node may have started with settings that were read earlier.
		reloadFleetNode(file, f)
	}
	for {
		select {
		case <-f.Removed:
			return true, nil
		case err := <-f.Failed:
			klog.ErrorS(err, manager.LogNodeFailed)
			return false, err
		case s := <-signals:
			if s != syscall.SIGHUP {
				klog.InfoS(manager.LogShutdownStarted, "Signal", s.String())
				return false, nil
			}
			klog.InfoS(manager.LogReloadingSettings, "Signal", s.String())
			reloadFleetNode(file, f)
		case <-t.C:
			if at := modified(file); !at.Equal(changed) {
				changed = at
				klog.InfoS(manager.LogReloadingSettings, "Changed", at)
				reloadFleetNode(file, f)
			}
		}
	}
}

func reloadFleetNode(file string, f *assembler.FleetNode) {
	settings, err := configurer.ReloadFleetNode(file)
	if err != nil {
		klog.ErrorS(err, manager.LogSettingsRejected)
		return
	}
	f.Reload(settings)
}

func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		klog.V(2).InfoS("Settings file not found", "Error", err.Error())
		return time.Time{}
	}
	return info.ModTime()
}
