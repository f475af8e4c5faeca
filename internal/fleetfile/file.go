// Package fleetfile reads the declarative file that operators apply as a whole.
//
// Reading is strict: an unknown field, a duplicate name or a reference to
// something that the file does not declare is an error with line and column
// where the YAML library gives them. The package knows nothing of versions or
// of the store; fleet turns a checked file into a snapshot.
package fleetfile

import "time"

// File is one whole fleet file. Lists keep the order of the file; names are
// unique within a list.
type File struct {
	// Name identifies the fleet in logs and status.
	Name string `yaml:"name" json:"name"`
	// ResumeKey authenticates resume tokens on every box (at least 16 characters).
	ResumeKey string `yaml:"resume-key" json:"resume-key"`
	// Regions and their failure domains.
	Regions []region `yaml:"regions" json:"regions"`
	// Services are what callers address: model serving or plain calls.
	Services []service `yaml:"services" json:"services"`
	// Models are served by the backend servers of a generation service.
	Models []model `yaml:"models" json:"models"`
	// Hardware classes describe the engines of backend servers.
	Hardware []hardware `yaml:"hardware" json:"hardware"`
	// BackendServers serve one service each.
	BackendServers []backendServer `yaml:"backend-servers" json:"backend-servers"`
	// ClientAccounts are the callers.
	ClientAccounts []clientAccount `yaml:"client-accounts" json:"client-accounts"`
	// Admission bounds queues and waits; zero fields take defaults.
	Admission admission `yaml:"admission" json:"admission"`
}

// region is a set of failure domains that are close to each other.
type region struct {
	Name           string   `yaml:"name" json:"name"`
	FailureDomains []string `yaml:"failure-domains" json:"failure-domains"`
}

// service is one thing that callers address.
type service struct {
	Name string `yaml:"name" json:"name"`
	// Kind is "generation" or "plain".
	Kind   string  `yaml:"kind" json:"kind"`
	Routes []route `yaml:"routes,omitempty" json:"routes,omitempty"`
	// Timeout bounds one plain call; default 2s.
	Timeout duration `yaml:"timeout,omitempty" json:"timeout,omitempty"`
}

// route declares whether calls of a plain service may be repeated. A call that
// no route matches may not be repeated.
type route struct {
	Path      string   `yaml:"path" json:"path"`
	Methods   []string `yaml:"methods" json:"methods"`
	MayRepeat bool     `yaml:"may-repeat" json:"may-repeat"`
}

// model is one served model with its versions and adapters.
type model struct {
	Name    string `yaml:"name" json:"name"`
	Service string `yaml:"service" json:"service"`
	Version string `yaml:"version,omitempty" json:"version,omitempty"`
	// Adapters may be asked for as MODEL:ADAPTER.
	Adapters []string `yaml:"adapters,omitempty" json:"adapters,omitempty"`
	// Floor is the number of engines that must hold the model; default 1.
	Floor int `yaml:"floor,omitempty" json:"floor,omitempty"`
}

// hardware is a class of engine. Memory is counted in tokens of KV cache.
type hardware struct {
	Name string `yaml:"name" json:"name"`
	// KVTokens is the memory for running streams.
	KVTokens int `yaml:"kv-tokens" json:"kv-tokens"`
	// MaxBatch is the greatest number of streams decoded together.
	MaxBatch int `yaml:"max-batch" json:"max-batch"`
	// DecodeStep is the time of one token for a small batch.
	DecodeStep duration `yaml:"decode-step" json:"decode-step"`
	// ModelSlots is how many models an engine can hold at once; default all that its
	// backend server names.
	ModelSlots int `yaml:"model-slots,omitempty" json:"model-slots,omitempty"`
}

// backendServer is one server of one service.
type backendServer struct {
	Name          string `yaml:"name" json:"name"`
	Service       string `yaml:"service" json:"service"`
	Address       string `yaml:"address" json:"address"`
	FailureDomain string `yaml:"failure-domain" json:"failure-domain"`
	Hardware      string `yaml:"hardware,omitempty" json:"hardware,omitempty"`
	// Models are those that the server may be ordered to hold.
	Models []string `yaml:"models,omitempty" json:"models,omitempty"`
	// ChecksFence says that the server refuses orders of an old lease holder.
	ChecksFence bool `yaml:"checks-fence,omitempty" json:"checks-fence,omitempty"`
	Draining    bool `yaml:"draining,omitempty" json:"draining,omitempty"`
}

// clientAccount is one caller.
type clientAccount struct {
	Name string `yaml:"name" json:"name"`
	// KeySHA256 holds the hex SHA-256 of each bearer key that is accepted.
	KeySHA256 []string `yaml:"key-sha256" json:"key-sha256"`
	// Priority orders accounts strictly; 0 is served first.
	Priority int `yaml:"priority" json:"priority"`
	// Weight shares tokens between accounts of one priority; default 1.
	Weight int `yaml:"weight,omitempty" json:"weight,omitempty"`
	// TokensInFlight bounds the KV tokens that the account's streams hold over
	// all boxes; 0 is no bound.
	TokensInFlight int `yaml:"tokens-in-flight,omitempty" json:"tokens-in-flight,omitempty"`
	// MaxWait replaces the wait of the admission section for this account.
	MaxWait duration `yaml:"max-wait,omitempty" json:"max-wait,omitempty"`
}

// admission bounds the queue of a box.
type admission struct {
	// MaxQueue is the greatest number of waiting generations a box; default 2000.
	MaxQueue int `yaml:"max-queue,omitempty" json:"max-queue,omitempty"`
	// MaxWait refuses a generation that has waited so long; default 30s.
	MaxWait duration `yaml:"max-wait,omitempty" json:"max-wait,omitempty"`
	// StarvationBound serves the oldest waiter of any priority that has waited so
	// long before others; default 20s.
	StarvationBound duration `yaml:"starvation-bound,omitempty" json:"starvation-bound,omitempty"`
}

// duration is a time.Duration written as "250ms" or "2s".
type duration time.Duration

// MarshalText writes the duration as time.Duration prints it.
func (d duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads what time.ParseDuration reads.
func (d *duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return err
	}
	*d = duration(v)
	return nil
}
