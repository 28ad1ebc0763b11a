// Package telemetry configures logging and tracing.
package telemetry

import (
	"io"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// timeLayout is the format of timestamps in log lines.
const timeLayout = "2006-01-02T15:04:05.000Z"

// NewLogger returns a logger that writes one logfmt line per event. An unknown
// level is treated as info.
func NewLogger(w io.Writer, level, vm string) *zap.Logger {
	lvl, err := zapcore.ParseLevel(level)
	if err != nil {
		lvl = zapcore.InfoLevel
	}
	enc := zap.NewProductionEncoderConfig()
	enc.TimeKey = "time"
	enc.MessageKey = "event"
	enc.EncodeTime = func(t time.Time, e zapcore.PrimitiveArrayEncoder) {
		e.AppendString(t.UTC().Format(timeLayout))
	}
	enc.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(enc), zapcore.Lock(zapcore.AddSync(w)), lvl)
	return zap.New(core).With(zap.String("vm", vm))
}

// Error returns a field with the message of an error. Unlike zap.Error, it adds no
// stack trace.
func Error(err error) zap.Field { return NamedError("error", err) }

// NamedError is like Error, with a custom field name.
func NamedError(name string, err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String(name, err.Error())
}
