package gate_test

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/exchange"
)

// lostPath connects to servers until the box has lost its paths to them.
type lostPath struct{ exchange.Paths }

func (lostPath) Connect(ctx context.Context, _ string, direct exchange.DialFunc) (net.Conn, error) {
	return direct(ctx)
}

func (lostPath) Check(context.Context, string, exchange.DialFunc) (net.Conn, error) {
	return nil, exchange.ErrNoPath
}

func (lostPath) Usable(string, net.Conn) bool { return true }

func (lostPath) RecordAnswer(string, net.Conn) {}

// TestNoPathProvesNoEnd checks that a cut connection is no end of a server that this box can't reach.
func TestNoPathProvesNoEnd(t *testing.T) {
	r := newRig(t, "", true)
	r.gate.Exchanger.(*exchange.Client).Paths = lostPath{}
	require.Error(t, r.send(t.Context(), "s1"))
	require.False(t, r.suspected())
}
