package settings

// mostKeptShare leaves at least as much memory to all else that a box does.
const mostKeptShare = 0.5

// Box holds the settings of dalebend-box that are not in the file that the
// platform lays out.
type Box struct {
	versioned

	File        string  `arg:"--settings-file,env:DALEBEND_SETTINGS_FILE" help:"settings file that the platform lays out; without it, the platform's own variable names it"`
	MetricsPort int     `arg:"--metrics-port,env:DALEBEND_METRICS_PORT" default:"9464" help:"port of the box's own address on which metrics are served"`
	LogLevel    string  `arg:"--log-level,env:DALEBEND_LOG_LEVEL" default:"info" help:"debug, info, warn or error"`
	KeptShare   float64 `arg:"--kept-share,env:DALEBEND_KEPT_SHARE" default:"0.125" help:"part of the box's memory that may be kept for callers and servers that read slowly; 0 is no bound"`
	CheckOnly   bool    `arg:"--check" help:"check the settings file, print what follows from it, and end"`
}

// Description heads the help text.
func (Box) Description() string {
	return "dalebend-box is one box on the platform: callers, configuration, engines and other boxes in one process."
}

// Check names the first setting that cannot be used.
func (b *Box) Check() error {
	if b.MetricsPort < 1 || b.MetricsPort > 65535 {
		return fault("metrics-port", "%d is no port", b.MetricsPort)
	}
	if !(b.KeptShare >= 0 && b.KeptShare <= mostKeptShare) {
		return fault("kept-share", "%v is not from 0 to %v", b.KeptShare, mostKeptShare)
	}
	switch b.LogLevel {
	case "debug", "info", "warn", "error":
		return nil
	default:
		return fault("log-level", "%q is none of debug, info, warn, error", b.LogLevel)
	}
}
