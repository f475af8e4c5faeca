package front_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/heldup"
)

// TestConfigurationOfAPauseIsReadBeforeRequests: a request that waits when the process runs again is not admitted by a
// configuration that was replaced while it did not.
func TestConfigurationOfAPauseIsReadBeforeRequests(t *testing.T) {
	r := newRig(t)
	clock := clockwork.NewFakeClock()
	r.HeldUp = &heldup.Detector{Clock: clock}
	r.HeldUp.Check()
	require.Equal(t, http.StatusOK, r.get("plain.test", "/").StatusCode)
	clock.Advance(3 * time.Second)
	answered, waits := make(chan int, 1), make(chan error, 1)
	go func() { answered <- r.get("plain.test", "/").StatusCode }()
	go func() { waits <- clock.BlockUntilContext(t.Context(), 1) }()
	select {
	case status := <-answered:
		require.Fail(t, "the request does not wait", "status %d", status)
	case err := <-waits:
		require.NoError(t, err)
	}
	newer := spec()
	newer.Version, newer.Routes = 2, newer.Routes[1:]
	r.use(newer)
	clock.Advance(time.Second)
	require.Equal(t, http.StatusNotFound, <-answered)
}

// TestRequestOfAPauseIsNotAdmittedAtTheEnd: a request that waits after a pause is rejected if the box ends meanwhile.
func TestRequestOfAPauseIsNotAdmittedAtTheEnd(t *testing.T) {
	r := newRig(t)
	clock := clockwork.NewFakeClock()
	r.HeldUp = &heldup.Detector{Clock: clock}
	r.HeldUp.Check()
	clock.Advance(3 * time.Second)
	answered := make(chan int, 1)
	go func() { answered <- r.get("plain.test", "/").StatusCode }()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	r.cancel()
	require.Equal(t, http.StatusServiceUnavailable, <-answered)
}
