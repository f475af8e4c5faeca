package box

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/boxsettings"
)

// TestConnLimits: callers get a part of the sockets or of the memory, whichever is less, unless a setting says otherwise.
func TestConnLimits(t *testing.T) {
	const mb = 1 << 20
	for name, c := range map[string]struct {
		settings  boxsettings.Settings
		conns     int
		headBytes int64
	}{
		"small machine":       {boxsettings.Settings{MemoryBytes: 134 * mb, Sockets: 3900, HeadShare: 0.0625}, 1300, 134 * mb / 16},
		"less memory":         {boxsettings.Settings{MemoryBytes: 48 * mb, Sockets: 3900}, 512, 0},
		"few sockets":         {boxsettings.Settings{MemoryBytes: 134 * mb, Sockets: 200}, 66, 0},
		"no sockets stated":   {boxsettings.Settings{MemoryBytes: 48 * mb}, 512, 0},
		"nothing stated":      {boxsettings.Settings{HeadShare: 0.0625}, 2730, 16 * mb},
		"stated by a setting": {boxsettings.Settings{MemoryBytes: 48 * mb, Sockets: 200, MaxConnections: 7}, 7, 0},
	} {
		b := &Box{Settings: &c.settings}
		require.Equal(t, c.conns, b.callerConnLimit().MaxConns, name)
		require.Equal(t, c.headBytes, b.callerConnLimit().MaxHeadBytes, name)
		require.Equal(t, c.headBytes/8, b.smallConnLimit(portReady).MaxHeadBytes, name)
		require.Equal(t, c.settings.Sockets/4, b.callsConnLimit().MaxConns, name)
	}
}
