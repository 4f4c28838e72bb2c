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

const replanTimeout = 5 * time.Second // limits how long a reload waits for the core to apply a new cell plan

// Reload reads the configuration file and the operator's file again, and applies the new discovery address
// and cell plan. It rejects the changes that checkReloadable lists, and ignores other changed settings until a
// restart. If it returns an error, nothing has changed, except that the core may still apply the cell plan after
// ctx or replanTimeout has ended the wait for it.
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

// checkReloadable returns an error if a setting of the operator's file has changed that only a restart can apply.
func (d *Daemon) checkReloadable(settings *config.OperatorConfig) error {
	current := d.operator.settings
	switch {
	case settings.ControlSocket != current.ControlSocket:
		return fmt.Errorf("control.socket: change from %q to %q requires a restart of the scheduler",
			current.ControlSocket, settings.ControlSocket)
	case settings.EndpointCheckpoint != current.EndpointCheckpoint:
		return fmt.Errorf("list.checkpoint: change from %q to %q requires a restart of the scheduler",
			current.EndpointCheckpoint, settings.EndpointCheckpoint)
	case (settings.Cells == nil) != (current.Cells == nil):
		return errors.New("cells: adding or removing the cells form requires a restart of the scheduler")
	}
	return nil
}

// replan applies the cell plan of the operator's file if the text of the file has changed. If it has not,
// tenants stay in the cells to which operators have migrated them. After an error because of ctx or
// replanTimeout the core may still apply the plan.
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
	d.options.Log.Info("reload: new cell plan applied",
		zap.Int("tenants", migration.Tenants),
		zap.Int("held", migration.Queued),
		zap.Int("out", migration.InFlight))
	return nil
}
