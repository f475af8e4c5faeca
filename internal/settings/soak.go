package settings

import "time"

// Limits of a soak on one machine.
const (
	// maxSoakBoxes is the number of boxes for which a run has addresses.
	maxSoakBoxes = 90
	// minSoakServers is one server for each plain service, and as many engines.
	minSoakServers = 4
	maxSoakServers = 200
	// minSoakDuration leaves a second for faults after the one before the first fault.
	minSoakDuration = 2 * time.Second
	maxSoakDuration = time.Hour
	// minSoakSlack is the delay that a soak can't distinguish from a delay of its own process.
	minSoakSlack = 500 * time.Millisecond
	maxSoakSlack = time.Minute
)

// Soak holds the settings of dalebend-soak.
type Soak struct {
	versioned

	Seed                 uint64        `arg:"--seed,env:DALEBEND_SOAK_SEED" default:"1" help:"first seed; a seed always gives the same schedule"`
	Seeds                int           `arg:"--seeds,env:DALEBEND_SOAK_SEEDS" default:"1" help:"number of seeds, one after another"`
	Duration             time.Duration `arg:"--duration,env:DALEBEND_SOAK_DURATION" default:"10s" help:"time in which faults happen, for each seed"`
	Calm                 bool          `arg:"--calm,env:DALEBEND_SOAK_CALM" help:"only planned work and servers that leave unheard, so that bounds on time bind most boxes"`
	Boxes                int           `arg:"--boxes,env:DALEBEND_SOAK_BOXES" default:"4" help:"boxes, each a process"`
	Servers              int           `arg:"--servers,env:DALEBEND_SOAK_SERVERS" default:"8" help:"backend servers, half of them engines"`
	Slack                time.Duration `arg:"--slack,env:DALEBEND_SOAK_SLACK" default:"500ms" help:"what is added to each bound on time, as boxes share one machine; more on a busy one"`
	Callers              int           `arg:"--callers,env:DALEBEND_SOAK_CALLERS" default:"16" help:"callers, each with one request at a time"`
	SlowCallers          int           `arg:"--slow-callers,env:DALEBEND_SOAK_SLOW_CALLERS" default:"24" help:"callers besides that send bodies slowly and never whole"`
	IdleCallers          int           `arg:"--idle-callers,env:DALEBEND_SOAK_IDLE_CALLERS" default:"12" help:"callers besides that let their connections rest for seconds between two requests"`
	DeadlyCallers        int           `arg:"--deadly-callers,env:DALEBEND_SOAK_DEADLY_CALLERS" default:"1" help:"callers besides that send a request which ends servers, again and again"`
	DeadlySegmentCallers int           `arg:"--deadly-segment-callers,env:DALEBEND_SOAK_DEADLY_SEGMENT_CALLERS" default:"1" help:"callers besides that send requests, no two alike, with one prompt segment that crashes servers"`
	Out                  string        `arg:"--out,env:DALEBEND_SOAK_OUT" default:"target/soak" help:"folder in which what was seen with a failed seed is kept"`
	Keep                 bool          `arg:"--keep,env:DALEBEND_SOAK_KEEP" help:"keep what was seen with every seed"`
	Box                  string        `arg:"--box,env:DALEBEND_SOAK_BOX" help:"program of the boxes with its arguments, such as another dalebend-soak with 'box'; without it, this program runs as the boxes; dalebend-box can't be cut off from its servers"`
	LogLevel             string        `arg:"--log-level,env:DALEBEND_LOG_LEVEL" default:"info" help:"debug, info, warn or error"`
}

// Description is the head of the help text.
func (Soak) Description() string {
	return "dalebend-soak runs boxes as processes of this machine, disturbs them from outside, and checks what callers and backend servers see."
}

// Check returns an error for the first invalid setting.
func (s *Soak) Check() error {
	switch {
	case s.Seeds < 1:
		return settingError("seeds", "%d is not at least 1", s.Seeds)
	case s.Duration < minSoakDuration || s.Duration > maxSoakDuration:
		return settingError("duration", "%s is outside %s to %s", s.Duration, minSoakDuration, maxSoakDuration)
	case s.Boxes < 1 || s.Boxes > maxSoakBoxes:
		return settingError("boxes", "%d is outside 1 to %d", s.Boxes, maxSoakBoxes)
	case s.Servers < minSoakServers || s.Servers > maxSoakServers:
		return settingError("servers", "%d is outside %d to %d", s.Servers, minSoakServers, maxSoakServers)
	case s.Slack < minSoakSlack || s.Slack > maxSoakSlack:
		return settingError("slack", "%s is outside %s to %s", s.Slack, minSoakSlack, maxSoakSlack)
	}
	return s.checkCallers()
}

// checkCallers returns an error for the first invalid number of callers.
func (s *Soak) checkCallers() error {
	switch {
	case s.Callers < 1:
		return settingError("callers", "%d is not at least 1", s.Callers)
	case s.SlowCallers < 0:
		return settingError("slow-callers", "%d is not at least 0", s.SlowCallers)
	case s.IdleCallers < 0:
		return settingError("idle-callers", "%d is not at least 0", s.IdleCallers)
	case s.DeadlyCallers < 0:
		return settingError("deadly-callers", "%d is not at least 0", s.DeadlyCallers)
	case s.DeadlySegmentCallers < 0:
		return settingError("deadly-segment-callers", "%d is not at least 0", s.DeadlySegmentCallers)
	}
	return nil
}
