package settings

// maxKeptShare leaves at least as much memory for everything else in a box.
const maxKeptShare = 0.5

// maxHeadShare leaves most of the memory for requests in progress.
const maxHeadShare = 0.25

// Box holds the settings of dalebend-box that aren't in the platform's settings file.
type Box struct {
	versioned

	File        string  `arg:"--settings-file,env:DALEBEND_SETTINGS_FILE" help:"settings file that the platform lays out; without it, the platform's own variable names it"`
	MetricsPort int     `arg:"--metrics-port,env:DALEBEND_METRICS_PORT" default:"9464" help:"port of the box's own address on which metrics are served"`
	LogLevel    string  `arg:"--log-level,env:DALEBEND_LOG_LEVEL" default:"info" help:"debug, info, warn or error"`
	KeptShare   float64 `arg:"--kept-share,env:DALEBEND_KEPT_SHARE" default:"0.125" help:"part of the box's memory that may be kept for callers and servers that read slowly; 0 is no bound"`
	HeadShare   float64 `arg:"--head-share,env:DALEBEND_HEAD_SHARE" default:"0.0625" help:"part of the box's memory that the parsed heads of callers' requests may take, and as much for those of servers' answers, beyond 8 KB each; 0 is no bound"`
	MaxConns    int     `arg:"--max-connections,env:DALEBEND_MAX_CONNECTIONS" default:"0" help:"greatest number of callers' connections; at it, the one that has sent no whole request for longest is closed for a new one; 0 is a third of the descriptors for sockets, or a quarter of the memory at 24 KB each if that is less"`
	CheckOnly   bool    `arg:"--check" help:"check the settings file, print what follows from it, and end"`
}

// Description is the head of the help text.
func (Box) Description() string {
	return "dalebend-box is one box on the platform: callers, configuration, engines and other boxes in one process."
}

// Check returns an error for the first invalid setting.
func (b *Box) Check() error {
	if b.MetricsPort < 1 || b.MetricsPort > 65535 {
		return settingError("metrics-port", "%d is no port", b.MetricsPort)
	}
	if !(b.KeptShare >= 0 && b.KeptShare <= maxKeptShare) {
		return settingError("kept-share", "%v is not from 0 to %v", b.KeptShare, maxKeptShare)
	}
	if !(b.HeadShare >= 0 && b.HeadShare <= maxHeadShare) {
		return settingError("head-share", "%v is not from 0 to %v", b.HeadShare, maxHeadShare)
	}
	if b.MaxConns < 0 {
		return settingError("max-connections", "%d is below 0", b.MaxConns)
	}
	switch b.LogLevel {
	case "debug", "info", "warn", "error":
		return nil
	default:
		return settingError("log-level", "%q is none of debug, info, warn, error", b.LogLevel)
	}
}
