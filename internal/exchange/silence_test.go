package exchange

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// longestSilence is how long a sound server may be silent: a second or so.
const longestSilence = 1500 * time.Millisecond

// TestSilentServerKept checks that a server that is silent for a second or so loses no connection: sent
// bytes may wait for longer, and so may keep-alive probes. With a user timeout Linux ends a connection
// at the first probe that is due after that time, if one before it is unanswered, whatever their count.
func TestSilentServerKept(t *testing.T) {
	require.Greater(t, userTimeout, longestSilence)
	end := keepAliveIdle + keepAliveInterval
	for end < userTimeout {
		end += keepAliveInterval
	}
	// The silence may begin just before the first probe.
	require.Greater(t, end-keepAliveIdle, longestSilence)
	require.Equal(t, end, keepAliveIdle+keepAliveCount*keepAliveInterval, "the count says the same")
}
