package main

import (
	"os"
	"time"

	"chervilwalk/platform"
)

// settingsCheckInterval is the time between two checks of the settings file, which may
// change without a signal.
const settingsCheckInterval = time.Second

// settingsFile is a settings file that may change while the process runs.
type settingsFile struct {
	path string
	// modifiedAt and size are those of the file when it was last read.
	modifiedAt time.Time
	size       int64
}

// load reads the file.
func (sf *settingsFile) load() (platform.Settings, error) {
	// Before reading: a change in between shows in the next check.
	sf.modifiedAt, sf.size = sf.state()
	return platform.LoadSettings(sf.path)
}

// changed reports whether the file is another than the one last read.
func (sf *settingsFile) changed() bool {
	modifiedAt, size := sf.state()
	return !modifiedAt.Equal(sf.modifiedAt) || size != sf.size
}

// state returns when the file was modified and its size, or zeros if it can't be
// found; load then tells why.
func (sf *settingsFile) state() (time.Time, int64) {
	info, err := os.Stat(sf.path)
	if err != nil {
		return time.Time{}, 0
	}
	return info.ModTime(), info.Size()
}
