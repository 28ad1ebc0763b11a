// Package telemetry sets up logs, metrics and traces.
package telemetry

import (
	"io"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// timeLayout is the form of times in log lines.
const timeLayout = "2006-01-02T15:04:05.000Z"

// NewLogger returns a logger that writes one line of key=value pairs for each
// event. An unknown level counts as info.
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

// Error returns the field of an error, without the stack that zap.Error adds
// for some types.
func Error(err error) zap.Field { return NamedError("error", err) }

// NamedError is Error under another name.
func NamedError(name string, err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String(name, err.Error())
}
