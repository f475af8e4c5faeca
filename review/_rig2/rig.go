package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/platform"
	"github.com/dalebend/dalebend/platform/standin"
)

const (
	// boxProgram and metricsPort are those of the command in deploy/system.toml.
	boxProgram  = "target/dalebend-box"
	metricsPort = "9464"

	// firstPort and lastPort bound the search for free ports for the boxes; each takes three.
	firstPort, lastPort, portStep = 8740, 9400, 20
	// readyWait bounds the start of a box.
	readyWait = 15 * time.Second
)

// rig is a small deployment on loopback addresses: a store, servers and boxes.
type rig struct {
	record  *record
	dir     string
	network int
	// ports are those of all boxes.
	ports   ports
	claim   net.Listener
	store   *standin.Store
	storeAt string
	serving *http.Server
	boxes   []*box
	servers []*server
	// memoryMB is the memory limit of a box.
	memoryMB int
}

// current is the rig of the case that is played.
var current atomic.Pointer[rig]

// closeCurrent ends what the present rig started.
func closeCurrent() {
	if r := current.Load(); r != nil {
		for _, b := range r.boxes {
			b.signal(syscall.SIGKILL)
		}
		_ = os.RemoveAll(r.dir)
	}
}

// newRig starts the store on a loopback network that no other run uses.
func newRig(rec *record) (*rig, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r := &rig{record: rec, dir: dir, memoryMB: 134}
	for n := 10; n < 250 && r.claim == nil; n++ {
		if ln, err := net.Listen("tcp", fmt.Sprintf("127.88.%d.1:7199", n)); err == nil {
			r.claim, r.network = ln, n
		}
	}
	if r.claim == nil {
		return nil, fmt.Errorf("no loopback network is free")
	}
	current.Store(r)
	if err := r.findPorts(); err != nil {
		return nil, err
	}
	r.store = &standin.Store{Clock: clockwork.NewRealClock()}
	ln, err := net.Listen("tcp", r.ip(2)+":0")
	if err != nil {
		return nil, err
	}
	r.storeAt = ln.Addr().String()
	r.serving = &http.Server{Handler: r.store}
	go func() { _ = r.serving.Serve(ln) }()
	return r, nil
}

// ports are the ports of a box.
type ports struct{ front, control, ready string }

// findPorts finds ports for the boxes that nothing on this machine uses.
func (r *rig) findPorts() error {
	for port := firstPort; port < lastPort; port += portStep {
		front, control, ready := strconv.Itoa(port), strconv.Itoa(port+1), strconv.Itoa(port+2)
		if portIsFree(r.ip(11), front) && portIsFree(r.ip(11), control) && portIsFree(r.ip(11), ready) {
			r.ports = ports{front: front, control: control, ready: ready}
			return nil
		}
	}
	return fmt.Errorf("no ports are free")
}

func portIsFree(host, port string) bool {
	ln, err := net.Listen("tcp", net.JoinHostPort(host, port))
	if err != nil {
		return false
	}
	_ = ln.Close()
	return true
}

func (r *rig) ip(host int) string { return fmt.Sprintf("127.88.%d.%d", r.network, host) }

// close ends all that the rig started.
func (r *rig) close() {
	for _, b := range r.boxes {
		b.kill()
	}
	for _, s := range r.servers {
		s.close()
	}
	_ = r.serving.Close()
	_ = r.claim.Close()
	_ = os.RemoveAll(r.dir)
}

// box is a dalebend-box process, started again with the same settings after a kill.
type box struct {
	rig      *rig
	name, ip string
	settings string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// addBox writes the settings of a box and starts it. zone is its zone.
func (r *rig) addBox(zone string) (*box, error) {
	n := len(r.boxes)
	b := &box{rig: r, name: fmt.Sprintf("edge-%s-%d", zone, n+1), ip: r.ip(11 + n)}
	b.settings = filepath.Join(r.dir, b.name+".toml")
	seeds := []string{}
	for i := 0; i < 3; i++ {
		seeds = append(seeds, fmt.Sprintf("%q", r.ip(11+i)+":"+r.ports.control))
	}
	text := fmt.Sprintf(`node = %q
role = "box"
machine_class = "edge"
serves = ["edge","control"]
ip = %q
zone = %q
region = "kyushu"
port_range = [7200,7215]
seeds = [%s]
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[zones]
kumamoto-hall = "kyushu"
saga-hall = "kyushu"
miyazaki-hall = "kyushu"
[listen]
front = "%s:%s"
ready = "%s:%s"
control = "%s:%s"
[limits]
cpu_share = 0.4
cpu_cores = 1
memory_mb = %d
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
lost_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_skew_ms = 5000
fail_closed = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_min_retries = %d
recovery_s = 12
pass_ms = 120
again_s = 4.7
[provider]
address = %q
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, b.name, b.ip, zone, strings.Join(seeds, ","), b.ip, r.ports.front, b.ip, r.ports.ready, b.ip, r.ports.control, r.memoryMB, floor, r.storeAt)
	if err := os.WriteFile(b.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	r.boxes = append(r.boxes, b)
	return b, b.start()
}

// start starts the process with the command of the deploy file.
func (b *box) start() error {
	log, err := os.OpenFile(filepath.Join(b.rig.dir, b.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(boxProgram, "--metrics-port", metricsPort)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), platform.SettingsVariable + "=" + b.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cmd, b.ended = cmd, ended
	return nil
}

// signal sends a signal to the process.
func (b *box) signal(s syscall.Signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.cmd.Process.Signal(s)
}

// kill ends the process at once and waits for its end.
func (b *box) kill() {
	b.signal(syscall.SIGKILL)
	<-b.ended
}

// alive reports whether the process has not ended.
func (b *box) alive() bool {
	select {
	case <-b.ended:
		return false
	default:
		return true
	}
}

func (b *box) front() string { return net.JoinHostPort(b.ip, b.rig.ports.front) }

func (b *box) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + net.JoinHostPort(b.ip, b.rig.ports.ready) + "/dalebend/ready")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all boxes are ready.
func (r *rig) awaitReady() error {
	end := time.Now().Add(readyWait)
	for _, b := range r.boxes {
		for !b.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", b.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// logOf returns the lines of a box's log that contain a text.
func (b *box) logOf(text string) []string {
	all, err := os.ReadFile(filepath.Join(b.rig.dir, b.name+".log"))
	if err != nil {
		return nil
	}
	var found []string
	for _, line := range strings.Split(string(all), "\n") {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

// send sends a request on a connection of its own and reads the whole answer.
func send(ctx context.Context, addr, method, host, uri string, header map[string]string, body io.Reader) (*http.Response, string, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+uri, body)
	if err != nil {
		return nil, "", err
	}
	req.Host = host
	for name, value := range header {
		req.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}
