package operator

import (
	"fmt"
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/budgeter"
)

// VMExplanation says where a VM is, what is done to it and why.
type VMExplanation struct {
	VM    manager.VM
	Lines []string
}

func (a *API) explainVM(c echo.Context) error {
	f, err := a.fleet(c.Request().Context())
	if err != nil {
		return err
	}
	id := manager.VMID(c.Param("VM"))
	i := slices.IndexFunc(f.VMs, func(v manager.VM) bool { return v.VM == id })
	if i < 0 {
		return manager.ErrNotExist{Kind: "VM", Name: string(id)}
	}
	return c.JSON(http.StatusOK, VMExplanation{VM: f.VMs[i], Lines: explain(f, f.VMs[i])})
}

func explain(f manager.Fleet, v manager.VM) []string {
	book := budgeter.FromFleet(f)
	lines := []string{ownerLine(book, v)}
	if v.Reason != "" {
		lines = append(lines, "latest reason: "+v.Reason)
	}
	if v.Quarantined {
		lines = append(lines, "is quarantined: no task starts on it")
	}
	lines = append(lines, phaseLine(v))
	if v.Available() {
		lines = append(lines, budgetLine(book, v))
	}
	return append(lines, stepLines(f, v)...)
}

func ownerLine(book *budgeter.Tracker, v manager.VM) string {
	origin := "since the settings were loaded"
	if v.PoolSince != 0 {
		origin = fmt.Sprintf("since a move at %d ms", v.PoolSince)
	}
	return fmt.Sprintf("belongs to pool %q of service %q %s, at epoch %d", v.Pool, book.Service(v.Pool), origin, v.Epoch)
}

func phaseLine(v manager.VM) string {
	switch {
	case v.MoveTo != "":
		return fmt.Sprintf("drains (%s) to move to pool %q", v.State, v.MoveTo)
	case v.Wave != "":
		return fmt.Sprintf("is %s for wave %q (%s)", v.Phase, v.Wave, v.State)
	case v.Phase != manager.PhaseInService:
		return fmt.Sprintf("is %s (%s) and counts as in service once it has run for its profile's settle time", v.Phase, v.State)
	case v.State != manager.VMRunning:
		return fmt.Sprintf("is lost: the platform says %s", v.State)
	default:
		return "is in service"
	}
}

func budgetLine(book *budgeter.Tracker, v manager.VM) string {
	if reason := book.Check(v); reason != "" {
		return "may not be taken out of service now: " + reason
	}
	return fmt.Sprintf("may be taken out of service now: the budget leaves %d VMs of pool %q", book.Left(v.Pool), v.Pool)
}

// stepLines tells which unfinished waves have a step for the VM.
func stepLines(f manager.Fleet, v manager.VM) []string {
	var lines []string
	for _, w := range unfinished(f.Waves) {
		for _, step := range w.Steps {
			if step.VM == v.VM {
				lines = append(lines, fmt.Sprintf("wave %q (%s): step %s %s", w.Wave, w.State, step.State, step.Reason))
			}
		}
	}
	return lines
}

func (a *API) listReserves(c echo.Context) error {
	list, err := a.Client.Reserves(c.Request().Context())
	if err != nil {
		return fmt.Errorf("read reserves: %w", err)
	}
	return c.JSON(http.StatusOK, list)
}
