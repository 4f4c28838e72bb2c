// Package logging makes the program's loggers. Lines go to standard error; none is
// written for a job at the default level.
package logging

import (
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Formats are the words for how lines are written.
var Formats = []string{"console", "json"}

// Levels are the words for which lines are written.
var Levels = []string{"debug", "info", "warn", "error"}

// New returns a logger that writes to w.
func New(w io.Writer, format, level string) (*zap.Logger, error) {
	at, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log-level: %q is not one of %v", level, Levels)
	}
	ec := zap.NewProductionEncoderConfig()
	ec.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	ec.EncodeDuration = zapcore.StringDurationEncoder
	var enc zapcore.Encoder
	switch format {
	case "json":
		enc = zapcore.NewJSONEncoder(ec)
	case "console":
		ec.EncodeLevel = zapcore.CapitalLevelEncoder
		enc = zapcore.NewConsoleEncoder(ec)
	default:
		return nil, fmt.Errorf("log-format: %q is not one of %v", format, Formats)
	}
	return zap.New(zapcore.NewCore(enc, zapcore.Lock(zapcore.AddSync(w)), at)), nil
}

// How many lines of one wording go through in a second, and which after that.
const (
	perSecond = 3
	thenEvery = 1000
)

// Limited returns a logger for lines that input can cause, however much of it comes:
// of each wording a few go through in a second, and then one of many.
func Limited(l *zap.Logger) *zap.Logger {
	return l.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(c, time.Second, perSecond, thenEvery)
	}))
}
