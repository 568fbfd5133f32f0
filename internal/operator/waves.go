package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"

	"github.com/mulberryhaven/mulberryhaven/internal/proposer"

	"github.com/mulberryhaven/mulberryhaven/internal/listener"

	"github.com/labstack/echo/v4"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// WaveChange plans a wave.
type WaveChange struct {
	Change
	Wave  manager.WaveID
	Pools []manager.PoolID
}

// WaveApproval approves the plan of a wave.
type WaveApproval struct {
	Change
	PlanVersion manager.Version
}

func (a *API) getWave(c echo.Context) error {
	id := manager.WaveID(c.Param("Wave"))
	return get(a, c, "wave", string(id), waves, func(w manager.Wave) bool { return w.Wave == id })
}

func (a *API) planWave(c echo.Context) error {
	var change WaveChange
	if err := listener.Decode(c, maxBodyBytes, &change); err != nil {
		return err
	}
	if change.Wave == "" {
		return manager.ErrInvalid{Field: "Wave", Reason: "is missing"}
	}
	spec := manager.WaveSpec{Wave: change.Wave, Pools: change.Pools}
	digest := specDigest(spec)
	plan, err := a.Client.Plan(c.Request().Context(), proposer.PlanRequest{
		Spec: spec, Command: change.CommandID, Digest: digest,
	})
	if err != nil {
		return fmt.Errorf("plan wave: %w", err)
	}
	// A resend is proposed without a plan, as its first result stands.
	result, err := a.propose(c, change.Change, manager.Command{PlanWave: &manager.PlanWave{Wave: plan.Wave}, Digest: digest})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, result.Wave)
}

// specDigest stands for what an operator asked, as the plan made from it changes with the fleet.
func specDigest(spec manager.WaveSpec) string {
	h := sha256.New()
	fmt.Fprintf(h, "%q %q", spec.Wave, spec.Pools)
	return hex.EncodeToString(h.Sum(nil))
}

func (a *API) approveWave(c echo.Context) error {
	var approval WaveApproval
	if err := listener.Decode(c, maxBodyBytes, &approval); err != nil {
		return err
	}
	result, err := a.propose(c, approval.Change, manager.Command{ApproveWave: &manager.ApproveWave{
		Wave: manager.WaveID(c.Param("Wave")), PlanVersion: approval.PlanVersion,
	}})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, result.Wave)
}

func (a *API) cancelWave(c echo.Context) error {
	return a.setWave(c, manager.SetWaveState{State: manager.WaveCancelled, Reason: "cancelled by an operator"})
}

// pauseWave stops a wave from taking more VMs until an operator resumes it.
func (a *API) pauseWave(c echo.Context) error {
	return a.setWave(c, manager.SetWaveState{State: manager.WavePaused, Held: true, Reason: "paused by an operator"})
}

// resumeWave lets a wave go on, despite the VMs that are lost now.
func (a *API) resumeWave(c echo.Context) error {
	return a.setWave(c, manager.SetWaveState{State: manager.WaveRunning, Accept: true})
}

func (a *API) setWave(c echo.Context, set manager.SetWaveState) error {
	var change Change
	if err := listener.Decode(c, maxBodyBytes, &change); err != nil {
		return err
	}
	set.Wave = manager.WaveID(c.Param("Wave"))
	result, err := a.propose(c, change, manager.Command{SetWaveState: &set})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, result.Wave)
}
