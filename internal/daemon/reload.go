package daemon

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/platform"
)

const replanTimeout = 5 * time.Second // for the core to take over another plan of cells

// Reload reads the configuration again. With an error nothing has changed.
func (d *Daemon) Reload() error {
	cfg, err := config.Reload(d.options.Getenv)
	if err != nil {
		return err
	}
	op, text, err := readOperator(d.options.Operator, d.Config.Settings)
	if err != nil {
		return err
	}
	if err := d.checkReloadable(op); err != nil {
		return err
	}
	if err := platform.ValidateCachedEndpoints(cfg.Known); err != nil {
		return err
	}
	// Only what is new is carried out: a reload for another reason leaves tenants
	// where the operators have moved them.
	if op.Cells != nil && !bytes.Equal(text, d.operatorText) {
		ctx, cancel := context.WithTimeout(context.Background(), replanTimeout)
		defer cancel()
		m, err := d.Core.Replan(ctx, op.Cells)
		if err != nil {
			return fmt.Errorf("cells: %w", err)
		}
		d.options.Log.Info("the map of cells has changed", zap.Int("tenants", m.Tenants), zap.Int("held", m.Queued), zap.Int("out", m.InFlight))
	}
	if err := d.platform.Reload(cfg); err != nil {
		return err
	}
	d.operator, d.operatorText = op, text
	d.Config.Discovery = cfg.Discovery
	return nil
}

// checkReloadable checks what a reload cannot change.
func (d *Daemon) checkReloadable(op *config.Operator) error {
	switch {
	case op.ControlSocket != d.operator.ControlSocket:
		return errors.New("control.socket: it holds until the scheduler is started again")
	case op.EndpointCheckpoint != d.operator.EndpointCheckpoint:
		return errors.New("list.checkpoint: it holds until the scheduler is started again")
	case (op.Cells == nil) != (d.operator.Cells == nil):
		return errors.New("cells: a scheduler goes from none to some, or back, when it is started again")
	}
	return nil
}
