package settings

import "time"

// Router holds the settings of dalebend-router.
type Router struct {
	versioned
	Log
	PeerTLS

	Listen      string        `arg:"--listen,env:DALEBEND_LISTEN" default:"127.0.0.1:8080" help:"HOST:PORT for callers"`
	Admin       string        `arg:"--admin,env:DALEBEND_ADMIN" default:"127.0.0.1:8081" help:"HOST:PORT for operators: metrics, decisions, profiles"`
	PeerListen  string        `arg:"--peer-listen,env:DALEBEND_PEER_LISTEN" default:"127.0.0.1:8083" help:"HOST:PORT for other routers, which ask for room; empty asks and lends nothing"`
	Controller  string        `arg:"--controller,env:DALEBEND_CONTROLLER" default:"127.0.0.1:8082" help:"HOST:PORT of this box's controller"`
	Box         string        `arg:"--box,env:DALEBEND_BOX,required" help:"name of this box, as in the platform's list"`
	Domain      string        `arg:"--failure-domain,env:DALEBEND_FAILURE_DOMAIN,required" help:"failure domain of this box"`
	Policy      string        `arg:"--policy,env:DALEBEND_POLICY" default:"dalebend" help:"dalebend, or a baseline: round-robin, least-in-flight, two-random"`
	Yield       bool          `arg:"--yield,env:DALEBEND_YIELD" default:"true" help:"push running work aside for higher priorities and before memory overflows"`
	LoadLag     time.Duration `arg:"--load-lag,env:DALEBEND_LOAD_LAG" default:"1s" help:"how old engines' load reports usually are"`
	PollEvery   time.Duration `arg:"--poll-every,env:DALEBEND_POLL_EVERY" default:"2s" help:"age from which an engine is asked for its load"`
	MaxConns    int           `arg:"--max-conns,env:DALEBEND_MAX_CONNS" default:"65536" help:"greatest number of caller connections"`
	ResumeGrace time.Duration `arg:"--resume-grace,env:DALEBEND_RESUME_GRACE" default:"500ms" help:"how long a caller that went away may come back for its stream"`
	StopLag     time.Duration `arg:"--stop-lag,env:DALEBEND_STOP_LAG" default:"5s" help:"how long a stopping box still accepts, for the balancer to notice"`
	StopLimit   time.Duration `arg:"--stop-limit,env:DALEBEND_STOP_LIMIT" default:"0s" help:"after that, end streams that still run; 0 waits for all"`
}

// Description is the head of the help text.
func (Router) Description() string {
	return "dalebend-router serves callers: it admits, queues, routes and relays generations and plain calls."
}

// Check returns an error for the first invalid setting.
func (r *Router) Check() error {
	if err := r.check(); err != nil {
		return err
	}
	if err := checkAddrs([2]string{"listen", r.Listen}, [2]string{"admin", r.Admin}, [2]string{"controller", r.Controller},
		[2]string{"peer-listen", r.PeerListen}); err != nil {
		return err
	}
	switch {
	case r.LoadLag <= 0:
		return settingError("load-lag", "must be positive")
	case r.PollEvery <= 0:
		return settingError("poll-every", "must be positive")
	case r.MaxConns <= 0:
		return settingError("max-conns", "must be positive")
	case r.ResumeGrace < 0 || r.StopLag < 0 || r.StopLimit < 0:
		return settingError("stop-lag", "and --stop-limit and --resume-grace may not be negative")
	}
	return CheckPolicy(r.Policy)
}

// CheckPolicy checks the name of a routing policy.
func CheckPolicy(name string) error {
	switch name {
	case "dalebend", "round-robin", "least-in-flight", "two-random":
		return nil
	default:
		return settingError("policy", "%q is none of dalebend, round-robin, least-in-flight, two-random", name)
	}
}
