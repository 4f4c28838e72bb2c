package daemon

import (
	"os"

	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/platform"
)

// A Configuration is all that a scheduler is configured by.
type Configuration struct {
	Scheduler *config.Scheduler
	Operator  *config.OperatorConfig // of the operator's file; empty if there is none

	operatorText []byte // of the operator's file
}

func (c *Configuration) operatorFile() operatorFile { return operatorFile{c.Operator, c.operatorText} }

// An operatorFile is the operator's file as it was read last.
type operatorFile struct {
	settings *config.OperatorConfig
	text     []byte
}

// ReadConfiguration reads and checks all of the configuration, and starts nothing.
func ReadConfiguration(options Options) (*Configuration, error) {
	cfg, err := config.Load(options.Getenv)
	if err != nil {
		return nil, err
	}
	if err := platform.ValidateCachedEndpoints(cfg.CachedEndpoints); err != nil {
		return nil, err
	}
	file, err := readOperatorFile(options.OperatorPath, cfg.Settings)
	if err != nil {
		return nil, err
	}
	return &Configuration{Scheduler: cfg, Operator: file.settings, operatorText: file.text}, nil
}

func readOperatorFile(path string, settings *config.Settings) (operatorFile, error) {
	if path == "" {
		return operatorFile{settings: &config.OperatorConfig{}}, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return operatorFile{}, config.OperatorErrors{{File: path, Text: err.Error()}}
	}
	operator, err := config.ParseOperator(path, text, settings)
	return operatorFile{operator, text}, err
}
