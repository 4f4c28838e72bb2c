package daemon

import (
	"os"

	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/platform"
)

// Read reads and checks all of the configuration, and starts nothing.
func Read(o Options) (*config.Scheduler, *config.Operator, []byte, error) {
	cfg, err := config.Load(o.Getenv)
	if err != nil {
		return nil, nil, nil, err
	}
	if err := platform.ValidateCachedEndpoints(cfg.Known); err != nil {
		return nil, nil, nil, err
	}
	op, text, err := readOperator(o.Operator, cfg.Settings)
	return cfg, op, text, err
}

func readOperator(path string, s *config.Settings) (*config.Operator, []byte, error) {
	if path == "" {
		return &config.Operator{}, nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, config.Faults{{File: path, Text: err.Error()}}
	}
	op, err := config.ParseOperator(path, text, s)
	return op, text, err
}
