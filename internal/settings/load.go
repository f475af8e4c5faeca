package settings

import (
	"strings"
	"time"
)

// Load holds the settings of dalebend-load.
type Load struct {
	versioned

	Workload string        `arg:"--workload" default:"crowded" help:"crowded, channel-manager, hinokage, mixed-hardware, shift or flood; control measures the controllers instead, overhead what the router adds"`
	Policies []string      `arg:"--policies" help:"all, or some, with spaces or commas between them, of dalebend, round-robin, least-in-flight, two-random, oracle [default: all]"`
	Demand   []float64     `arg:"--demand" help:"demands as shares of the token capacity [default: 0.95 1.2]"`
	Seeds    int           `arg:"--seeds" default:"1" help:"number of repetitions, each with a seed of its own"`
	Seed     uint64        `arg:"--seed" default:"1" help:"first seed"`
	Duration time.Duration `arg:"--duration" default:"30s" help:"time during which requests arrive, for each run"`
	Boxes    int           `arg:"--boxes" default:"9" help:"router boxes"`
	Output   string        `arg:"--output" help:"file for the results as JSON"`
	Plot     string        `arg:"--plot" help:"file for a plot, PNG or SVG by its ending"`
	Faults   bool          `arg:"--faults" help:"let engines, plain servers and links fail at random, and callers resume"`
	NoYield  bool          `arg:"--no-yield" help:"never push running work aside"`
	Applies  int           `arg:"--applies" default:"100" help:"control: configurations that are accepted one after another"`
	Sizes    []int         `arg:"--sizes" help:"control: numbers of boxes, overhead: of streams [default: 3 9 30 100]"`
	Tokens   int           `arg:"--tokens" default:"200" help:"overhead: length of each answer"`
	Step     time.Duration `arg:"--step" default:"5ms" help:"overhead: the engine's time for one token of one stream"`
	Servers  int           `arg:"--servers" default:"15" help:"control: backend servers in the fleet file"`
	Fault    string        `arg:"--fault" help:"control: box-dies, link-stalls or store-loses-answers"`
	Margin   float64       `arg:"--margin" default:"0" help:"margin of the memory forecast in standard deviations; 0 takes the router's own"`
	Target   string        `arg:"--target" help:"HOST:PORT of a running router to drive instead of routers in this process; needs --key, --model and --rate"`
	Key      string        `arg:"--key,env:DALEBEND_KEY" help:"bearer key for --target"`
	Model    string        `arg:"--model" help:"model for --target"`
	Rate     float64       `arg:"--rate" help:"requests a second for --target"`
}

// Description is the head of the help text.
func (Load) Description() string {
	return "dalebend-load drives routers with a named workload, open loop, and compares policies side by side."
}

// Check returns an error for the first invalid setting, and fills in defaults.
func (l *Load) Check() error {
	l.fillDefaults()
	if err := l.checkLists(); err != nil {
		return err
	}
	switch {
	case l.Seeds < 1 || l.Boxes < 1:
		return settingError("seeds", "and --boxes must be at least 1")
	case l.Duration < time.Second || l.Duration > time.Hour:
		return settingError("duration", "%s is outside 1s to 1h", l.Duration)
	case l.Target != "" && (l.Key == "" || l.Model == "" || l.Rate <= 0):
		return settingError("target", "needs --key, --model and --rate")
	}
	return nil
}

func (l *Load) fillDefaults() {
	var policies []string
	for _, p := range l.Policies {
		policies = append(policies, strings.Split(p, ",")...)
	}
	l.Policies = policies
	if len(l.Policies) == 0 || len(l.Policies) == 1 && l.Policies[0] == "all" {
		l.Policies = []string{"dalebend", "round-robin", "least-in-flight", "two-random", "oracle"}
	}
	if len(l.Sizes) == 0 {
		l.Sizes = []int{3, 9, 30, 100}
	}
	if len(l.Demand) == 0 {
		l.Demand = []float64{0.95, 1.2}
	}
}

func (l *Load) checkLists() error {
	for _, p := range l.Policies {
		if p == "oracle" {
			continue
		}
		if err := CheckPolicy(p); err != nil {
			return err
		}
	}
	switch l.Fault {
	case "", "box-dies", "link-stalls", "store-loses-answers":
	default:
		return settingError("fault", "%q is none of box-dies, link-stalls, store-loses-answers", l.Fault)
	}
	for _, d := range l.Demand {
		if d <= 0 || d > 10 {
			return settingError("demand", "%g is outside 0 to 10", d)
		}
	}
	return nil
}
