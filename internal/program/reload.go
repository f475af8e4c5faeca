package program

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/boxsettings"
	"github.com/dalebend/dalebend/internal/decisionlog/event"
)

// pollInterval is the interval between checks of the settings file: it may change without a signal,
// and may take effect a second late.
const pollInterval = time.Second

// reloader applies changed settings.
type reloader interface{ Reload(s *boxsettings.Settings) }

// settingsFile is the platform's settings file.
type settingsFile struct {
	path   string
	read   func() (*boxsettings.Settings, error)
	logger *slog.Logger

	modified time.Time
	size     int64
}

// load reads the settings. A later change of the file is noticed by follow.
func (f *settingsFile) load() (*boxsettings.Settings, error) {
	if info, err := os.Stat(f.path); err == nil { // read reports an error
		f.note(info)
	}
	return f.read()
}

// follow reloads the settings at each SIGHUP and when the file has changed since load, until the context ends.
// An invalid file is logged and has no effect.
func (f *settingsFile) follow(ctx context.Context, hangup <-chan os.Signal, clock clockwork.Clock, to reloader) {
	ticker := clock.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			f.changed()
		case <-ticker.Chan():
			if !f.changed() {
				continue
			}
		}
		s, err := f.read()
		if err != nil {
			logRefused(f.logger, err)
			continue
		}
		to.Reload(s)
	}
}

// logRefused logs that the file is unreadable or invalid, so that nothing changes.
func logRefused(logger *slog.Logger, cause error) {
	logger.LogAttrs(context.Background(), event.SettingsRefused.Level(), string(event.SettingsRefused),
		slog.String(event.KeyCause, cause.Error()))
}

// changed reports whether the file differs from the last check.
func (f *settingsFile) changed() bool {
	info, err := os.Stat(f.path)
	if err != nil {
		logRefused(f.logger, err)
		return false
	}
	same := info.ModTime().Equal(f.modified) && info.Size() == f.size
	f.note(info)
	return !same
}

func (f *settingsFile) note(info os.FileInfo) {
	f.modified = info.ModTime()
	f.size = info.Size()
}
