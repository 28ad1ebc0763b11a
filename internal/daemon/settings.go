package daemon

import (
	"bytes"
	"os"
	"time"

	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/platform"
)

const (
	// settingsSettleTime is how long a settings file must stay the same before it is applied. A
	// reader of a file that is being written may get a part of it that is valid by itself, with a
	// number that lacks its last digits.
	settingsSettleTime = 200 * time.Millisecond
	// maxSettleReads bounds the reads of a file that changes all the time.
	maxSettleReads = 25
)

// readSettled reads a file until two reads in a row give the same. pause is called between reads.
// After maxSettleReads it returns the latest content.
func readSettled(read func() ([]byte, error), pause func()) ([]byte, error) {
	before, err := read()
	for range maxSettleReads {
		if err != nil {
			return nil, err
		}
		pause()
		var now []byte
		if now, err = read(); err == nil && bytes.Equal(before, now) {
			return now, nil
		}
		before = now
	}
	return before, err
}

// loadSettled reads the settings of a process that runs.
func loadSettled(path string) (config.Deployment, error) {
	data, err := readSettled(func() ([]byte, error) { return os.ReadFile(path) }, func() { time.Sleep(settingsSettleTime) })
	if err != nil {
		return config.Deployment{}, &platform.SettingsError{Path: path, Cause: err}
	}
	deployment, err := platform.DecodeSettings(data)
	if err != nil {
		return config.Deployment{}, &platform.SettingsError{Path: path, Cause: err}
	}
	return deployment, nil
}
