package settings

import "time"

// Standin holds the settings of dalebend-standin.
type Standin struct {
	versioned
	Log

	Role        string        `arg:"positional,required" help:"engine, plain, object-api, weight-store or box-list"`
	Listen      string        `arg:"--listen,env:DALEBEND_STANDIN_LISTEN" default:"127.0.0.1:9000" help:"HOST:PORT to serve on"`
	Name        string        `arg:"--name" default:"standin" help:"name told in answers"`
	KVTokens    int           `arg:"--kv-tokens" default:"16384" help:"engine: memory in tokens"`
	MaxBatch    int           `arg:"--max-batch" default:"64" help:"engine: greatest number of streams decoded together"`
	DecodeStep  time.Duration `arg:"--decode-step" default:"20ms" help:"engine: time of one token for a small batch"`
	LoadLag     time.Duration `arg:"--load-lag" default:"1s" help:"engine: age of its load reports"`
	Models      []string      `arg:"--models" help:"engine: models held at the start"`
	ChecksFence bool          `arg:"--checks-fence" help:"engine: refuse orders of an old lease holder"`
	Weights     string        `arg:"--weight-store" help:"engine: HOST:PORT that weights come from; none loads at once"`
	Delay       time.Duration `arg:"--delay" default:"2ms" help:"plain: time of one call"`
	Lag         time.Duration `arg:"--lag" default:"1s" help:"box-list: time until a change is served"`
	Rate        int64         `arg:"--rate" default:"1073741824" help:"weight-store: bytes a second, all readers together"`
}

// Description is the head of the help text.
func (Standin) Description() string {
	return "dalebend-standin is one of the stand-ins for what is outside dalebend, as a process, for tests."
}

// Check returns an error for the first invalid setting.
func (s *Standin) Check() error {
	if err := s.check(); err != nil {
		return err
	}
	switch s.Role {
	case "engine", "plain", "object-api", "weight-store", "box-list":
	default:
		return settingError("role", "%q is none of engine, plain, object-api, weight-store, box-list", s.Role)
	}
	if s.KVTokens <= 0 || s.MaxBatch <= 0 || s.DecodeStep <= 0 || s.LoadLag <= 0 || s.Rate <= 0 {
		return settingError("kv-tokens", "and --max-batch, --decode-step, --load-lag and --rate must be positive")
	}
	return checkAddrs([2]string{"listen", s.Listen}, [2]string{"weight-store", s.Weights})
}
