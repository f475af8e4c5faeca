package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/platform"
	"github.com/dalebend/dalebend/platform/standin"
)

const (
	// memoryMB and maxFDs are the limits of the box, and what it is held to; reservedFDs of the descriptors are not
	// for sockets.
	memoryMB    = 64
	maxFDs      = 400
	reservedFDs = 200
	// connTimeout ends a connection of a crowd that neither side closes.
	connTimeout = 30 * time.Second
	// metricsPort is the port of metrics, by default.
	metricsPort = "9464"
)

// rig is a dalebend-box process of its own with a store and backend servers.
type rig struct {
	t       *testing.T
	store   *standin.Store
	servers *standin.Fleet
	file    standin.SettingsFile
	// onRequest, if set before start, is called with each request that the sound server gets; the answer waits for it.
	onRequest func(standin.RequestRecord)
	box       *exec.Cmd
	ended     chan error
}

// built builds dalebend-box, without the race detector, whose memory is several times that of the program.
var built = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "dalebend-box")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "dalebend-box")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := built(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// newRig returns the settings of a box, and what is around it.
func newRig(t *testing.T) *rig {
	ip := ownLoopback(t)
	r := &rig{t: t, store: &standin.Store{Clock: clockwork.NewRealClock()}, ended: make(chan error, 1)}
	store := httptest.NewServer(r.store)
	t.Cleanup(store.Close)
	r.store.PutConfig(standin.Config{
		Version: 1,
		Routes: []standin.ConfigRoute{
			{Name: "sound", Host: "sound.test", PathPrefix: "/", Type: "idempotent", Service: "plain", MaxServers: 1, TimeoutMs: 20000},
			{Name: "once", Host: "once.test", PathPrefix: "/", Type: "non_idempotent", Service: "plain", MaxServers: 1, TimeoutMs: 1500},
			{Name: "faulty", Host: "faulty.test", PathPrefix: "/", Type: "non_idempotent", Service: "faulty", MaxServers: 1, TimeoutMs: 20000},
		},
		Services: []standin.ConfigService{{Name: "plain", MaxConns: 100}, {Name: "faulty", MaxConns: 1000}},
	})
	r.file = standin.SettingsFile{
		Name: "box-1", Domain: "hall", IP: ip, Store: store.Listener.Addr().String(), MemoryMB: memoryMB, MaxFDs: maxFDs,
		Grace: 6 * time.Second, RetryRatio: 0.2, RetryFloor: 8, RetryWindow: 10 * time.Second,
	}
	return r
}

// start starts the box with one sound server, and waits until it is ready.
func (r *rig) start() {
	t := r.t
	path, err := built()
	require.NoError(t, err)
	r.servers = &standin.Fleet{Store: r.store, Host: r.file.IP, OnRequest: r.onRequest}
	t.Cleanup(r.servers.Close)
	_, err = r.servers.Start("sound", "plain", "hall", false)
	require.NoError(t, err)
	text, err := r.file.Text()
	require.NoError(t, err)
	settings := filepath.Join(t.TempDir(), "settings")
	require.NoError(t, os.WriteFile(settings, []byte(text), 0o600))
	r.box = exec.Command(path)
	r.box.Env = append(os.Environ(), platform.SettingsVariable+"="+settings)
	r.box.Stderr = os.Stderr
	require.NoError(t, r.box.Start())
	go func() {
		defer close(r.ended)
		r.ended <- r.box.Wait()
	}()
	t.Cleanup(func() {
		_ = r.box.Process.Kill() // it may have ended
		<-r.ended
	})
	require.Eventually(t, r.ready, time.Minute, 10*time.Millisecond)
}

// await requires that the box ends without an error.
func (r *rig) await() { require.NoError(r.t, <-r.ended) }

// ready reports whether the box takes requests.
func (r *rig) ready() bool {
	resp, err := http.Get(r.file.Ready())
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // nothing is read
	return resp.StatusCode == http.StatusOK
}

// ownLoopback returns an address of the loopback network that no other test uses meanwhile.
func ownLoopback(t *testing.T) string {
	for n := 1; n < 255; n++ {
		ip := fmt.Sprintf("127.98.%d.1", n)
		claim, err := net.Listen("tcp", net.JoinHostPort(ip, "7199"))
		if err == nil {
			t.Cleanup(func() { require.NoError(t, claim.Close()) })
			return ip
		}
	}
	require.Fail(t, "no address of the loopback network is free")
	return ""
}

// addr returns an address of the box by a port.
func (r *rig) addr(port string) string { return net.JoinHostPort(r.file.IP, port) }

// requireHealthy requires that the process lives within its memory and descriptors, and answers an ordinary request.
func (r *rig) requireHealthy() {
	r.t.Helper()
	got, err := standin.Send(r.t.Context(), r.file.Front(), standin.Call{ID: "ordinary", Host: "sound.test", URI: "/"})
	require.NoError(r.t, err)
	text, err := got.Text()
	require.NoError(r.t, err)
	require.Equal(r.t, "answer of sound to ordinary", text)
	require.NoError(r.t, r.box.Process.Signal(syscall.Signal(0)), "the process lives")
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.box.Process.Pid))
	require.NoError(r.t, err)
	peak := r.peakMB()
	r.t.Logf("%d MB at the peak, %d descriptors", peak, len(files))
	require.LessOrEqual(r.t, peak, memoryMB, "MB resident at the peak")
	require.LessOrEqual(r.t, len(files), maxFDs-reservedFDs, "open descriptors")
}

// peakMB returns the most memory that the process has had resident, in MB.
func (r *rig) peakMB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.box.Process.Pid))
	require.NoError(r.t, err)
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			require.NoError(r.t, err)
			return kb >> 10
		}
	}
	require.Fail(r.t, "no peak of memory")
	return 0
}

// crowd opens connections to an address, and returns when each has sent all that it is to send, or was closed as often as
// it may open another one. The connections stay open until the test ends.
func (r *rig) crowd(count, again int, addr string, send func(n int, w *bufio.Writer) error) {
	var all sync.WaitGroup
	for n := range count {
		all.Go(func() {
			for range 1 + again {
				conn, err := net.Dial("tcp", addr)
				if err != nil {
					continue // refused
				}
				r.t.Cleanup(func() { _ = conn.Close() })          // the box may have closed it
				_ = conn.SetDeadline(time.Now().Add(connTimeout)) // a failure shows in the write
				w := bufio.NewWriter(conn)
				if send(n, w) == nil && w.Flush() == nil {
					return
				}
			}
		})
	}
	all.Wait()
}

// faultyServers registers servers that answer each request by a function, after they have read its head.
func (r *rig) faultyServers(count int, answer func(w *bufio.Writer) error) {
	for n := range count {
		ln, err := net.Listen("tcp", net.JoinHostPort(r.file.IP, "0"))
		require.NoError(r.t, err)
		r.t.Cleanup(func() { _ = ln.Close() })
		r.servers.Announce(fmt.Sprint("faulty-", n), "faulty", "hall", ln.Addr().String())
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				go serveFaulty(conn, answer)
			}
		}()
	}
}

func serveFaulty(conn net.Conn, answer func(w *bufio.Writer) error) {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(connTimeout)) // a failure shows in the read
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	w := bufio.NewWriter(conn)
	if answer(w) == nil && w.Flush() == nil {
		_, _ = io.Copy(io.Discard, conn) // until the box closes
	}
}

// callers sends requests to the faulty servers, and returns when all are answered.
func (r *rig) callers(count int) {
	var all sync.WaitGroup
	for n := range count {
		all.Go(func() {
			call := standin.Call{ID: fmt.Sprint("caller-", n), Host: "faulty.test", URI: "/", Timeout: 5 * time.Second}
			got, err := standin.Send(r.t.Context(), r.file.Front(), call)
			if err == nil {
				_, _ = got.Text() // whatever came
			}
		})
	}
	all.Wait()
}
