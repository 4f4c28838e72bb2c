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

const replanTimeout = 5 * time.Second // for the core to apply another plan of cells

// Reload reads the configuration again and applies it. With an error nothing has changed.
func (d *Daemon) Reload(ctx context.Context) error {
	cfg, err := config.Reload(d.options.Getenv)
	if err != nil {
		return err
	}
	file, err := readOperatorFile(d.options.OperatorPath, d.Config.Settings)
	if err != nil {
		return err
	}
	if err := d.checkReloadable(file.settings); err != nil {
		return err
	}
	if err := platform.ValidateCachedEndpoints(cfg.CachedEndpoints); err != nil {
		return err
	}
	if err := d.replan(ctx, file); err != nil {
		return err
	}
	if err := d.platform.Reload(cfg); err != nil {
		return err
	}
	d.operator = file
	d.Config.Discovery = cfg.Discovery
	return nil
}

// checkReloadable checks that nothing has changed that holds until the next start.
func (d *Daemon) checkReloadable(settings *config.OperatorConfig) error {
	current := d.operator.settings
	switch {
	case settings.ControlSocket != current.ControlSocket:
		return errors.New("control.socket: it holds until the scheduler is started again")
	case settings.EndpointCheckpoint != current.EndpointCheckpoint:
		return errors.New("list.checkpoint: it holds until the scheduler is started again")
	case (settings.Cells == nil) != (current.Cells == nil):
		return errors.New("cells: a scheduler goes from none to some, or back, when it is started again")
	}
	return nil
}

// replan applies the plan of cells of an operator's file that has changed. A file that is the same keeps
// tenants where operators have migrated them.
func (d *Daemon) replan(ctx context.Context, file operatorFile) error {
	if file.settings.Cells == nil || bytes.Equal(file.text, d.operator.text) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, replanTimeout)
	defer cancel()
	migration, err := d.Core.Replan(ctx, file.settings.Cells)
	if err != nil {
		return fmt.Errorf("cells: %w", err)
	}
	d.options.Log.Info("reload: plan of cells has changed",
		zap.Int("tenants", migration.Tenants),
		zap.Int("held", migration.Queued),
		zap.Int("out", migration.InFlight))
	return nil
}
