package viewshare

import (
	"bytes"
	"encoding/gob"
	"net"
	"net/rpc"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/digest"
	"github.com/dalebend/dalebend/internal/storerev"
)

// slowLink is a peer whose answer arrives in parts, controlled by the test.
type slowLink struct {
	t      *testing.T
	b      *box
	conn   net.Conn
	answer []byte
}

// askOverSlowLink makes a box ask a peer for a view of many servers.
func askOverSlowLink(t *testing.T, b *box) *slowLink {
	from := newShare()
	from.OfferView(wholeView(3000))
	s := &slowLink{t: t, b: b, answer: encodedAnswer(t, from)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, ln.Close()) })
	b.Receive(&digest.Digest{Box: "slow", CallAddr: ln.Addr().String(), ViewRevision: 7})
	s.conn, err = ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.conn.Close() })
	_, err = s.conn.Read(make([]byte, 1))
	require.NoError(t, err)
	return s
}

// encodedAnswer returns the bytes with which a share answers the first call of a connection.
func encodedAnswer(t *testing.T, from *Share) []byte {
	var reply FetchReply
	require.NoError(t, service{from}.View(&FetchArgs{}, &reply))
	var wire bytes.Buffer
	enc := gob.NewEncoder(&wire)
	require.NoError(t, enc.Encode(&rpc.Response{ServiceMethod: viewMethod}))
	require.NoError(t, enc.Encode(&reply))
	return wire.Bytes()
}

// send sends the next part of the answer, and returns when the box has read from it.
func (s *slowLink) send(part int) {
	_, err := s.conn.Write(s.answer[:part])
	require.NoError(s.t, err)
	s.answer = s.answer[part:]
	now := s.b.Clock.Now()
	s.b.fetches.mu.Lock()
	c := s.b.fetches.callers[s.conn.LocalAddr().String()]
	s.b.fetches.mu.Unlock()
	for !c.lastRead().Equal(now) {
		runtime.Gosched()
	}
}

// TestSlowLink: a call is not ended, nor another peer asked, while its answer keeps arriving,
// however long it takes; it is ended when bytes stop arriving. It guards against a timer that is set
// late and a check that overlooks bytes, see TestCallWatchInterrupted.
func TestSlowLink(t *testing.T) {
	const parts, apart = 10, callTimeout - 20*time.Millisecond
	for _, whole := range []bool{true, false} {
		clock := newClock()
		b := newBox(t, "b", clock)
		s := askOverSlowLink(t, b)
		part := len(s.answer)/parts + 1
		for len(s.answer) > part {
			s.send(part)
			clock.Advance(hedgeAfter / 2)
			b.Receive(&digest.Digest{Box: "other", CallAddr: "127.0.0.1:1", ViewRevision: 7})
			require.Equal(t, 1, b.fetching())
			clock.Advance(apart - hedgeAfter/2)
		}
		if whole {
			s.send(len(s.answer))
			require.Equal(t, storerev.Revision(7), (<-b.views).Revision)
			require.Zero(t, b.log.count("ran out of time"))
			continue
		}
		clock.Advance(callTimeout)
		for b.log.count("ran out of time") == 0 {
			runtime.Gosched()
		}
		require.Empty(t, b.views)
	}
}

// interruptedClock calls a function once the clock has been read, as if the goroutine that reads it
// were interrupted.
type interruptedClock struct {
	*clockwork.FakeClock

	interrupt func()
}

func (c *interruptedClock) Now() time.Time {
	now := c.FakeClock.Now()
	if f := c.interrupt; f != nil {
		c.interrupt = nil
		f()
	}
	return now
}

// watchedCall returns the watch of a call that began now.
func watchedCall(t *testing.T, clock *interruptedClock) *callWatch {
	conn, peer := net.Pipe()
	t.Cleanup(func() { require.NoError(t, peer.Close()) })
	return &callWatch{caller: &caller{clock: clock}, client: rpc.NewClient(conn), began: clock.Now()}
}

// TestCallWatchInterrupted guards against a call that is not ended in time, or is ended although
// its answer arrives, because its check is interrupted after it has read the clock.
func TestCallWatchInterrupted(t *testing.T) {
	t.Run("before the timer is set", func(t *testing.T) {
		clock := &interruptedClock{FakeClock: newClock()}
		w := watchedCall(t, clock)
		w.caller.read.Store(w.began.Add(callTimeout / 2))
		clock.Advance(callTimeout)
		clock.interrupt = func() { clock.Advance(callTimeout) }
		w.check()
		require.Eventually(t, w.late.Load, time.Minute, time.Millisecond)
	})
	t.Run("by bytes that arrive", func(t *testing.T) {
		clock := &interruptedClock{FakeClock: newClock()}
		w := watchedCall(t, clock)
		clock.Advance(callTimeout)
		clock.interrupt = func() { w.caller.read.Store(clock.FakeClock.Now()) }
		w.check()
		require.False(t, w.late.Load())
		w.stop()
	})
}
