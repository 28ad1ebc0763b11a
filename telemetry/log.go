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
	core := newCore(zaplogfmt.NewEncoder(enc), w, lvl)
	return zap.New(core).With(zap.String("vm", vm))
}

// reservingWriter is a writer with a reserved part for warnings and errors.
type reservingWriter interface {
	io.Writer
	WriteReserved(p []byte) (int, error)
}

// reservedPart writes to the reserved part of a writer.
type reservedPart struct{ reservingWriter }

func (p reservedPart) Write(line []byte) (int, error) { return p.WriteReserved(line) }

// newCore returns a core that writes warnings and errors to the reserved part of w, if
// it has one.
func newCore(enc zapcore.Encoder, w io.Writer, level zapcore.Level) zapcore.Core {
	reserving, ok := w.(reservingWriter)
	if !ok {
		return zapcore.NewCore(enc, zapcore.Lock(zapcore.AddSync(w)), level)
	}
	important := func(l zapcore.Level) bool { return l >= max(level, zapcore.WarnLevel) }
	routine := func(l zapcore.Level) bool { return l >= level && l < zapcore.WarnLevel }
	return zapcore.NewTee(
		zapcore.NewCore(enc, zapcore.AddSync(reserving), zap.LevelEnablerFunc(routine)),
		zapcore.NewCore(enc.Clone(), zapcore.AddSync(reservedPart{reserving}), zap.LevelEnablerFunc(important)),
	)
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
