package run

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/dalebend/dalebend/internal/soak/backends"
	"github.com/dalebend/dalebend/internal/soak/bounds"
	"github.com/dalebend/dalebend/internal/soak/callers"
	"github.com/dalebend/dalebend/internal/soak/inject"
	"github.com/dalebend/dalebend/internal/soak/operator"
	"github.com/dalebend/dalebend/internal/soak/process"
	"github.com/dalebend/dalebend/internal/soak/proxy"
	"github.com/dalebend/dalebend/platform"
	"github.com/dalebend/dalebend/platform/standin"
)

const (
	// serveOn is how long servers serve on after the time that they must: longer
	// than any stream.
	serveOn = 2500 * time.Millisecond
	// seedBoxes is how many boxes the settings name to each other.
	seedBoxes = 3
	// boxThreads bounds the threads of a box that run at once, so that many boxes
	// share one machine.
	boxThreads = "GOMAXPROCS=2"
	// keptSetting is the setting of what a box may keep for slow readers.
	keptSetting = "DALEBEND_KEPT_SHARE"
	// storeHeaderTime bounds how long a box takes to send the head of a call.
	storeHeaderTime = time.Minute
	// firstEra is the era of the store at first.
	firstEra = 3
	// fileMode is that of settings files, which only the boxes read.
	fileMode = 0o600
)

const (
	// BoxCommand is the first argument with which dalebend-soak runs as a box that can be cut off from
	// its servers.
	BoxCommand = "box"
	// PartitionVariable names the environment variable with the path of the file that such a box follows.
	PartitionVariable = "DALEBEND_SOAK_PARTITION"
)

// domains are the names of the failure domains.
func domains() []string { return []string{"hall-1", "hall-2", "hall-3"} }

// start starts everything but the callers.
func (r *Run) start(ctx context.Context) error {
	var err error
	if r.loopback, err = claim(); err != nil {
		return err
	}
	store, err := r.startStore(ctx)
	if err != nil {
		return err
	}
	r.operator = &operator.Operator{Store: r.store, Record: r.record}
	r.operator.Change(0)
	if err := r.startServers(ctx); err != nil {
		return err
	}
	r.balancer = &callers.Balancer{Clock: r.Clock, Logger: r.Logger}
	for n := range r.Boxes {
		if err := r.startBox(ctx, n, store); err != nil {
			return err
		}
	}
	for _, box := range r.balancer.Boxes {
		r.group.Go(func() error { return r.balancer.Watch(ctx, box) })
	}
	return nil
}

// startStore starts the store and returns its address.
func (r *Run) startStore(ctx context.Context) (string, error) {
	r.store = &standin.Store{Clock: r.Clock, Era: firstEra}
	ln, err := net.Listen("tcp", r.loopback.store())
	if err != nil {
		return "", fmt.Errorf("start the store: %w", err)
	}
	server := &http.Server{Handler: r.store, ReadHeaderTimeout: storeHeaderTime}
	r.group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	r.group.Go(func() error {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve the store: %w", err)
		}
		return nil
	})
	return ln.Addr().String(), nil
}

// startServers starts half of the servers as engines and the others as those of the
// plain services.
func (r *Run) startServers(ctx context.Context) error {
	r.fleet = &backends.Fleet{
		Host:  r.loopback.servers(),
		Store: r.store, Domains: domains(), Clock: r.Clock, Record: r.record, Logger: r.Logger, Group: r.group, Context: ctx,
	}
	r.fleet.Prepare()
	plain := operator.PlainServices()
	for n := range r.Servers {
		service, model := operator.ChatService, true
		if n%2 == 1 {
			service, model = plain[n/2%len(plain)], false
		}
		if err := r.fleet.Add(service, model); err != nil {
			return err
		}
	}
	return nil
}

// startBox starts a box, and the proxies to it and from it to the store.
func (r *Run) startBox(ctx context.Context, n int, store string) error {
	file := r.settings(n)
	toStore, err := r.startProxy(ctx, n, store)
	if err != nil {
		return err
	}
	toFront, err := r.startProxy(ctx, n, file.Front())
	if err != nil {
		return err
	}
	file.Store = toStore.Addr()
	p, err := r.startProcess(ctx, &file)
	if err != nil {
		return err
	}
	r.boxes = append(r.boxes, inject.Box{Process: p, Callers: toFront, Store: toStore, Partition: r.partitionFile(file.Name)})
	box := &callers.Box{Name: file.Name, Front: toFront.Addr(), Ready: file.Ready(), Life: p.Life}
	r.balancer.Boxes = append(r.balancer.Boxes, box)
	r.group.Go(func() error { return r.watchKept(ctx, box, file.IP) })
	return nil
}

// startProcess starts the process of a box, with its settings and its log in files.
func (r *Run) startProcess(ctx context.Context, file *standin.SettingsFile) (*process.Process, error) {
	settings, err := r.writeSettings(file)
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(r.Dir, file.Name+".log"))
	if err != nil {
		return nil, fmt.Errorf("keep the log of %s: %w", file.Name, err)
	}
	p := &process.Process{
		Name: file.Name, Path: r.Program, Args: r.Args,
		Env: []string{platform.SettingsVariable + "=" + settings, boxThreads, fmt.Sprint(keptSetting, "=", r.Bounds.KeptShare),
			PartitionVariable + "=" + r.partitionFile(file.Name)}, Log: log,
		Grace: r.Bounds.Grace, Clock: r.Clock, Record: r.record, Logger: r.Logger,
	}
	r.group.Go(func() error { return errors.Join(p.Run(ctx), log.Close()) })
	return p, nil
}

// partitionFile returns the file that a box follows to be cut off from its servers.
func (r *Run) partitionFile(box string) string { return filepath.Join(r.Dir, box+".partition") }

// writeSettings writes the settings file of a box and returns its path.
func (r *Run) writeSettings(file *standin.SettingsFile) (string, error) {
	text, err := file.Text()
	if err != nil {
		return "", err
	}
	path := filepath.Join(r.Dir, file.Name+".toml")
	if err := os.WriteFile(path, []byte(text), fileMode); err != nil {
		return "", fmt.Errorf("lay out the settings: %w", err)
	}
	return path, nil
}

// settings returns those of a box by its number, without the store's address.
func (r *Run) settings(n int) standin.SettingsFile {
	f := standin.SettingsFile{
		Name: fmt.Sprintf("box-%d", n+1), Domain: domains()[n%len(domains())], IP: r.loopback.box(n),
		MemoryMB: bounds.MemoryMB, Grace: r.Bounds.Grace,
		RetryRatio: r.Bounds.RetryRatio, RetryFloor: r.Bounds.RetryFloor, RetryWindow: r.Bounds.RetryWindow,
	}
	for seed := range min(seedBoxes, r.Boxes) {
		f.Seeds = append(f.Seeds, r.loopback.box(seed))
	}
	return f
}

// startProxy starts a proxy of a box, by the box's number, to an address.
func (r *Run) startProxy(ctx context.Context, n int, target string) (*proxy.Proxy, error) {
	p := &proxy.Proxy{Target: target, Clock: r.Clock, Logger: r.Logger}
	if err := p.Listen(r.loopback.proxy(n)); err != nil {
		return nil, err
	}
	r.group.Go(func() error { return p.Run(ctx) })
	return p, nil
}
