// Package logging creates the program's loggers. The program logs to standard error; at the default level it
// writes no line per job. The package has no state.
package logging

import (
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	formatConsole = "console"
	formatJSON    = "json"
)

// Formats lists the names of the log formats.
var Formats = []string{formatConsole, formatJSON}

// Levels lists the names of the log levels, the least severe first.
var Levels = []string{"debug", "info", "warn", "error"}

// New returns a logger that writes lines of the given level and of more severe levels to w. If format is not
// one of Formats, or level not one of Levels, the error names the flag.
func New(w io.Writer, format, level string) (*zap.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log-level: %q is not one of %v", level, Levels)
	}
	encoder, err := newEncoder(format)
	if err != nil {
		return nil, err
	}
	return zap.New(zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), minLevel)), nil
}

// newEncoder returns the encoder of a log format.
func newEncoder(format string) (zapcore.Encoder, error) {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	switch format {
	case formatJSON:
		return zapcore.NewJSONEncoder(config), nil
	case formatConsole:
		config.EncodeLevel = zapcore.CapitalLevelEncoder
		return zapcore.NewConsoleEncoder(config), nil
	default:
		return nil, fmt.Errorf("log-format: %q is not one of %v", format, Formats)
	}
}

// Limits on lines with the same message.
const (
	linesPerSecond = 3    // lines per second that are all written
	sampleInterval = 1000 // beyond that, one line of this number is written
)

// RateLimited returns a logger for lines that input can cause. In each second it writes only a sample of the lines
// with the same message, however much input arrives.
func RateLimited(log *zap.Logger) *zap.Logger {
	return log.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, time.Second, linesPerSecond, sampleInterval)
	}))
}
