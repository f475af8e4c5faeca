package settings

// Log holds the settings of logs and traces that all servers share.
type Log struct {
	LogFormat  string  `arg:"--log-format,env:DALEBEND_LOG_FORMAT" default:"text" help:"text or json"`
	LogLevel   string  `arg:"--log-level,env:DALEBEND_LOG_LEVEL" default:"info" help:"debug, info, warn or error"`
	Trace      string  `arg:"--trace,env:DALEBEND_TRACE" default:"none" help:"exporter of spans: none, stdout, or otlp (see OTEL_EXPORTER_OTLP_ENDPOINT)"`
	TraceRatio float64 `arg:"--trace-ratio,env:DALEBEND_TRACE_RATIO" default:"0.01" help:"share of new traces that are sampled, 0 to 1"`
}

func (l *Log) check() error {
	if l.LogFormat != "text" && l.LogFormat != "json" {
		return settingError("log-format", "%q is neither text nor json", l.LogFormat)
	}
	switch l.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		return settingError("log-level", "%q is none of debug, info, warn, error", l.LogLevel)
	}
	switch l.Trace {
	case "none", "stdout", "otlp":
	default:
		return settingError("trace", "%q is none of none, stdout, otlp", l.Trace)
	}
	if l.TraceRatio < 0 || l.TraceRatio > 1 {
		return settingError("trace-ratio", "%g is outside 0 to 1", l.TraceRatio)
	}
	return nil
}

// PeerTLS holds the certificate, key and CA with which processes authenticate to each other.
type PeerTLS struct {
	PeerCert string `arg:"--peer-cert,env:DALEBEND_PEER_CERT" help:"PEM text of this box's certificate; without it only loopback peers are accepted"`
	PeerKey  string `arg:"--peer-key,env:DALEBEND_PEER_KEY" help:"PEM text of the certificate's key"`
	PeerCA   string `arg:"--peer-ca,env:DALEBEND_PEER_CA" help:"PEM text of the CA that peers' certificates come from"`
}
