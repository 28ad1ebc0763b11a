package daemon

import (
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
)

// entrySignals are the signals to an entry VM, on the users' platform or not. Each kind has a
// channel of its own: a signal is dropped if its channel is full, and a reload may take long.
type entrySignals struct{ stop, reload chan os.Signal }

// awaitSignals must be called before anything that takes time: a signal that is not awaited
// ends the process.
func awaitSignals() entrySignals {
	s := entrySignals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// handle calls stop and reload for each signal. A reload does not delay a stop.
func (s entrySignals) handle(log *zap.Logger, stop, reload func()) {
	go func() {
		for received := range s.stop {
			log.Info("signal_received", zap.Stringer("signal", received))
			stop()
		}
	}()
	for received := range s.reload {
		log.Info("signal_received", zap.Stringer("signal", received))
		reload()
	}
}
