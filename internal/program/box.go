package program

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/boottime"
	"github.com/dalebend/dalebend/internal/box"
	"github.com/dalebend/dalebend/internal/boxsettings"
	"github.com/dalebend/dalebend/internal/decisionlog"
	"github.com/dalebend/dalebend/internal/decisionlog/event"
	"github.com/dalebend/dalebend/internal/exchange"
	"github.com/dalebend/dalebend/internal/heldup"
	"github.com/dalebend/dalebend/internal/settings"
	"github.com/dalebend/dalebend/internal/telemetry"
	"github.com/dalebend/dalebend/platform"
)

const (
	// memoryShare is the part of the box's memory that the garbage collector tries to stay below;
	// the rest is for sockets and stacks.
	memoryShare = 0.7
	// dialTimeout limits connecting to a backend server: a hundred times the network delay between
	// failure domains, a third of the shortest objective.
	dialTimeout = 200 * time.Millisecond
	// maxIdlePerServer limits the idle connections to one server.
	maxIdlePerServer = 8
)

// Box runs dalebend-box.
func Box(args []string, out, errOut io.Writer) int { return boxWithDialer(args, out, errOut, nil) }

// boxWithDialer runs dalebend-box with another dialer of backend servers than the usual one, nil.
func boxWithDialer(args []string, out, errOut io.Writer, dialer exchange.Dialer) int {
	// From here on SIGHUP doesn't end the process. One that arrives during the start is kept, and
	// has the settings read again.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ignoreBrokenPipe()
	s := &settings.Box{}
	if code, ok := settings.Parse(s, "dalebend-box", args, out, errOut); !ok {
		return code
	}
	path := s.File
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	source := &settingsFile{path: path, read: func() (*boxsettings.Settings, error) { return readBoxSettings(path, s) }}
	file, err := source.load()
	if err != nil {
		fmt.Fprintln(errOut, "dalebend-box:", err)
		return exitUsage
	}
	if s.CheckOnly {
		fmt.Fprintf(out, "%+v\n", *file)
		return exitDone
	}
	log := decisionlog.New(out, clockwork.NewRealClock(), file.Box)
	if err := log.Level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		fmt.Fprintln(errOut, "dalebend-box:", err)
		return exitUsage
	}
	if err := runBox(file, source, log, hangup, dialer); err != nil {
		fmt.Fprintln(errOut, "dalebend-box:", err)
		return exitFailed
	}
	return exitDone
}

// readBoxSettings reads the settings file and adds the flags.
func readBoxSettings(path string, flags *settings.Box) (*boxsettings.Settings, error) {
	s, err := platform.ReadSettings(path)
	if err != nil {
		return nil, err
	}
	s.Metrics = net.JoinHostPort(hostOf(s.Front), strconv.Itoa(flags.MetricsPort))
	s.KeptShare, s.HeadShare, s.MaxConnections = flags.KeptShare, flags.HeadShare, flags.MaxConns
	return s, nil
}

func hostOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return host
}

func runBox(s *boxsettings.Settings, file *settingsFile, log *decisionlog.Log, hangup <-chan os.Signal, dialer exchange.Dialer) error {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
	clock := boottime.New()
	logCtx, logStop := context.WithCancel(context.Background())
	logged := make(chan struct{})
	go func() {
		defer close(logged)
		log.Run(logCtx)
	}()
	defer func() {
		logStop()
		<-logged
	}()
	ctx, stop := signalContext()
	defer stop()
	b := newBox(s, clock, log)
	b.Exchange.Dialer = dialer
	b.HeldUp = &heldup.Detector{Clock: clock}
	clock.OnSuspend = func(away time.Duration) {
		b.Logger.LogAttrs(ctx, event.Suspended.Level(), string(event.Suspended), slog.Int64(event.KeyAway, away.Milliseconds()))
	}
	file.logger = b.Logger
	go file.follow(ctx, hangup, clock, b)
	return b.Run(ctx)
}

func newBox(s *boxsettings.Settings, clock clockwork.Clock, log *decisionlog.Log) *box.Box {
	logger := log.Logger()
	figures := telemetry.New()
	figures.LogLinesDropped.Compute(func() float64 { return float64(log.Dropped()) })
	client := &exchange.Client{
		Clock: clock, Logger: logger, Metrics: figures.Registry(),
		DialTimeout: dialTimeout, MaxIdlePerServer: maxIdlePerServer,
	}
	store := &platform.Store{Addr: s.Store, Clock: clock, Logger: logger, Metrics: figures.Registry()}
	moves := &platform.EngineClient{Exchanger: client}
	return &box.Box{
		Clock: clock, Logger: logger, Metrics: figures, Settings: s, Exchange: client,
		Seed: uint64(clock.Now().UnixNano()),
		Platform: box.Platform{
			Source: store, Boxes: store, Decode: platform.DecodeTable,
			Wire: platform.Codec{}, Codec: platform.Codec{}, Mover: moves, Reporter: moves, HeldRequests: store,
		},
	}
}
