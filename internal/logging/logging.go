// Package logging makes the program's loggers. Lines go to standard error; at the default level none is
// written for a job. The package has no state.
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

// Formats are the names of the formats of lines.
var Formats = []string{formatConsole, formatJSON}

// Levels are the names of the levels of lines, the least severe first.
var Levels = []string{"debug", "info", "warn", "error"}

// New returns a logger that writes lines of a level or a more severe one to w. The error names the flag
// whose value is not one of Formats or Levels.
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

// The limits of lines with the same message.
const (
	linesPerSecond = 3    // that are all written
	sampleInterval = 1000 // of those past them, one in so many is written
)

// Limited returns a logger for lines that input can cause. However much input comes, only some of the
// lines with the same message are written in a second.
func Limited(log *zap.Logger) *zap.Logger {
	return log.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, time.Second, linesPerSecond, sampleInterval)
	}))
}
