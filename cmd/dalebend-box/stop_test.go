package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/platform/standin"
)

const (
	// stopCallers is the number of callers that keep their connections, and of those that open one for each request.
	stopCallers = 4
	// workStep is the step in which the server's work on a request grows from none, workSteps the number of steps after which
	// it begins anew.
	workStep  = 300 * time.Millisecond
	workSteps = 5
)

// caller sends requests until the box accepts no more.
type caller struct {
	transport *http.Transport
	// broken are the ids of the requests without a whole answer.
	broken []string
	sent   int
}

// call sends one request, and reports whether the box accepts more.
func (c *caller) call(front, id string) bool {
	req, err := http.NewRequest(http.MethodPost, "http://"+front+"/", nil)
	if err != nil {
		return false
	}
	req.Host = "once.test"
	req.Header.Set(standin.IDHeader, id)
	c.sent++
	resp, err := c.transport.RoundTrip(req)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close() // a failure shows in the read
	}
	if err == nil {
		return true
	}
	c.broken = append(c.broken, id)
	conn, err := net.Dial("tcp", front)
	if err != nil {
		return false
	}
	_ = conn.Close() // nothing was sent
	return true
}

// TestRequestsLateInTheGraceAreAnsweredOrNotRun guards against requests that are taken late in a planned stop, given to a server, and cut at its end.
func TestRequestsLateInTheGraceAreAnsweredOrNotRun(t *testing.T) {
	r := newRig(t)
	var mu sync.Mutex
	arrived := make(map[string]bool)
	r.onRequest = func(record standin.RequestRecord) {
		mu.Lock()
		arrived[record.ID] = true
		work := time.Duration(len(arrived)%workSteps) * workStep
		mu.Unlock()
		time.Sleep(work)
	}
	r.start()
	var all sync.WaitGroup
	var begun atomic.Int64
	callers := make([]*caller, 2*stopCallers)
	for n := range callers {
		c := &caller{transport: &http.Transport{DisableKeepAlives: n%2 == 0}}
		callers[n] = c
		all.Go(func() {
			for i := 0; c.call(r.file.Front(), fmt.Sprintf("late-%d-%d", n, i)); i++ {
				begun.Add(1)
			}
		})
	}
	require.Eventually(t, func() bool { return begun.Load() > stopCallers }, time.Minute, time.Millisecond)
	require.NoError(t, r.box.Process.Signal(syscall.SIGTERM))
	all.Wait()
	r.await()
	mu.Lock()
	defer mu.Unlock()
	sent := 0
	for _, c := range callers {
		sent += c.sent
		for _, id := range c.broken {
			require.False(t, arrived[id], "%s was given to a server and cut", id)
		}
	}
	t.Logf("%d requests, %d reached the server", sent, len(arrived))
}
