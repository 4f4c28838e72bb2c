package daemon

import (
	"os"

	"github.com/vatu-meals/foxlift/internal/config"
	"github.com/vatu-meals/foxlift/internal/platform"
)

// A Configuration is the complete configuration of a scheduler, read and checked.
type Configuration struct {
	Scheduler *config.Scheduler
	Operator  *config.OperatorConfig // from the operator's file; the zero value if there is no file

	operatorText []byte // content of the operator's file; nil if there is no file
}

// operatorFile returns the operator's file as it was read for this configuration.
func (c *Configuration) operatorFile() operatorFile { return operatorFile{c.Operator, c.operatorText} }

// An operatorFile holds the settings and the text of the operator's file as of the last read.
type operatorFile struct {
	settings *config.OperatorConfig
	text     []byte
}

// ReadConfiguration reads and checks the configuration file and the operator's file. It starts nothing. Errors in
// the operator's file are config.OperatorErrors.
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

// readOperatorFile reads the operator's file and checks it against the settings. An empty path yields empty
// settings. Its errors are config.OperatorErrors.
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
