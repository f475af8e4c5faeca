package settings

// Box holds the settings of dalebend-box that are not in the file that the
// platform lays out.
type Box struct {
	versioned

	File        string `arg:"--settings-file,env:DALEBEND_SETTINGS_FILE" help:"settings file that the platform lays out; without it, the platform's own variable names it"`
	MetricsPort int    `arg:"--metrics-port,env:DALEBEND_METRICS_PORT" default:"9464" help:"port of the box's own address on which metrics are served"`
	LogLevel    string `arg:"--log-level,env:DALEBEND_LOG_LEVEL" default:"info" help:"debug, info, warn or error"`
	CheckOnly   bool   `arg:"--check" help:"check the settings file, print what follows from it, and end"`
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
	switch b.LogLevel {
	case "debug", "info", "warn", "error":
		return nil
	default:
		return fault("log-level", "%q is none of debug, info, warn, error", b.LogLevel)
	}
}
