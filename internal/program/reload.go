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

// lookEvery is how often the settings file is looked at: it may change without
// a signal, and what it holds may be in force a second late.
const lookEvery = time.Second

// reloader takes changed settings.
type reloader interface{ Reload(s *boxsettings.Settings) }

// settingsFile is the file that the platform lays out.
type settingsFile struct {
	path   string
	read   func() (*boxsettings.Settings, error)
	logger *slog.Logger

	modified time.Time
	size     int64
}

// follow reloads the settings at each hang-up signal and when the file has
// changed, until the context ends. A file that cannot be used is logged and
// changes nothing.
func (f *settingsFile) follow(ctx context.Context, hangup <-chan os.Signal, clock clockwork.Clock, to reloader) {
	ticker := clock.NewTicker(lookEvery)
	defer ticker.Stop()
	f.changed()
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

// logRefused tells that the file cannot be read or used, so that nothing changes.
func logRefused(logger *slog.Logger, cause error) {
	logger.LogAttrs(context.Background(), event.SettingsRefused.Level(), string(event.SettingsRefused),
		slog.String(event.KeyCause, cause.Error()))
}

// changed reports whether the file differs from when it was last looked at.
func (f *settingsFile) changed() bool {
	info, err := os.Stat(f.path)
	if err != nil {
		logRefused(f.logger, err)
		return false
	}
	same := info.ModTime().Equal(f.modified) && info.Size() == f.size
	f.modified = info.ModTime()
	f.size = info.Size()
	return !same
}
