// Package fleet holds the immutable snapshot of an accepted fleet file.
//
// A change of configuration makes a new snapshot; a request keeps the one it
// began with. Nothing here is ever written after New returns, so readers need
// no lock. Versions only rise within a process: the holder asserts that.
package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/dalebend/dalebend/internal/fleetfile"
)

// Defaults of the admission section.
const (
	DefaultMaxQueue        = 2000
	DefaultMaxWait         = 30 * time.Second
	DefaultStarvationBound = 20 * time.Second
	defaultServiceTimeout  = 2 * time.Second
)

// Snapshot is one accepted version of the fleet.
type Snapshot struct {
	version         uint64
	name            string
	resumeKey       []byte
	services        map[string]*Service
	servers         map[string]*BackendServer
	accounts        map[[sha256.Size]byte]*ClientAccount
	accountNames    []string
	models          []string
	modelServers    map[string][]*BackendServer
	adapters        map[string][]string
	wanted          map[string]wantedModel
	maxQueue        int
	maxWait         time.Duration
	starvationBound time.Duration
}

// wantedModel is what operators want of a model.
type wantedModel struct {
	service string
	version string
	floor   int
}

// New builds the snapshot of a checked file.
func New(version uint64, f *fleetfile.File) *Snapshot {
	s := &Snapshot{
		version:         version,
		name:            f.Name,
		resumeKey:       []byte(f.ResumeKey),
		services:        make(map[string]*Service, len(f.Services)),
		servers:         make(map[string]*BackendServer, len(f.BackendServers)),
		accounts:        make(map[[sha256.Size]byte]*ClientAccount, len(f.ClientAccounts)),
		modelServers:    make(map[string][]*BackendServer, len(f.Models)),
		adapters:        make(map[string][]string, len(f.Models)),
		wanted:          make(map[string]wantedModel, len(f.Models)),
		maxQueue:        orDefault(f.Admission.MaxQueue, DefaultMaxQueue),
		maxWait:         orDefault(time.Duration(f.Admission.MaxWait), DefaultMaxWait),
		starvationBound: orDefault(time.Duration(f.Admission.StarvationBound), DefaultStarvationBound),
	}
	s.addServices(f)
	s.addServers(f)
	s.addModels(f)
	s.addAccounts(f)
	return s
}

// orDefault returns v, or def when v is the zero value.
func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

func (s *Snapshot) addServices(f *fleetfile.File) {
	for _, in := range f.Services {
		svc := &Service{
			name:    in.Name,
			kind:    in.Kind,
			timeout: orDefault(time.Duration(in.Timeout), defaultServiceTimeout),
		}
		for _, r := range in.Routes {
			svc.routes = append(svc.routes, route{path: r.Path, methods: r.Methods, mayRepeat: r.MayRepeat})
		}
		s.services[in.Name] = svc
	}
}

func (s *Snapshot) addServers(f *fleetfile.File) {
	type class struct {
		kvTokens, maxBatch, slots int
		step                      time.Duration
	}
	classes := make(map[string]class, len(f.Hardware))
	for _, h := range f.Hardware {
		classes[h.Name] = class{kvTokens: h.KVTokens, maxBatch: h.MaxBatch, slots: h.ModelSlots, step: time.Duration(h.DecodeStep)}
	}
	for _, in := range f.BackendServers {
		c := classes[in.Hardware]
		b := &BackendServer{
			name:          in.Name,
			service:       in.Service,
			address:       in.Address,
			failureDomain: in.FailureDomain,
			kvTokens:      c.kvTokens,
			maxBatch:      c.maxBatch,
			decodeStep:    c.step,
			models:        in.Models,
			modelSlots:    orDefault(c.slots, len(in.Models)),
			checksFence:   in.ChecksFence,
			draining:      in.Draining,
		}
		s.servers[in.Name] = b
		svc := s.services[in.Service]
		svc.servers = append(svc.servers, b)
	}
}

func (s *Snapshot) addModels(f *fleetfile.File) {
	for _, m := range f.Models {
		s.models = append(s.models, m.Name)
		s.adapters[m.Name] = m.Adapters
		s.wanted[m.Name] = wantedModel{service: m.Service, version: m.Version, floor: orDefault(m.Floor, 1)}
		for _, b := range s.services[m.Service].servers {
			if slices.Contains(b.models, m.Name) {
				s.modelServers[m.Name] = append(s.modelServers[m.Name], b)
			}
		}
	}
}

func (s *Snapshot) addAccounts(f *fleetfile.File) {
	for _, in := range f.ClientAccounts {
		a := &ClientAccount{
			name:           in.Name,
			priority:       in.Priority,
			weight:         orDefault(in.Weight, 1),
			tokensInFlight: in.TokensInFlight,
			maxWait:        orDefault(time.Duration(in.MaxWait), s.maxWait),
		}
		s.accountNames = append(s.accountNames, in.Name)
		for _, k := range in.KeySHA256 {
			var sum [sha256.Size]byte
			// The file was checked: the key is hex of the right length.
			_, _ = hex.Decode(sum[:], []byte(k))
			s.accounts[sum] = a
		}
	}
}

// Version returns the accepted version; it only rises.
func (s *Snapshot) Version() uint64 { return s.version }

// Name returns the name of the fleet.
func (s *Snapshot) Name() string { return s.name }

// ResumeKey returns the key that authenticates resume tokens.
func (s *Snapshot) ResumeKey() []byte { return s.resumeKey }

// Service returns a service by name.
func (s *Snapshot) Service(name string) (*Service, bool) {
	svc, ok := s.services[name]
	return svc, ok
}

// Server returns a backend server by name.
func (s *Snapshot) Server(name string) (*BackendServer, bool) {
	b, ok := s.servers[name]
	return b, ok
}

// Servers returns every backend server, keyed by name. The map is read only.
func (s *Snapshot) Servers() map[string]*BackendServer { return s.servers }

// Models returns the names of the models, in the order of the file.
func (s *Snapshot) Models() []string { return s.models }

// ModelServers returns the backend servers that hold a model. The second result
// is false when the model, or the adapter after a colon, is not declared.
func (s *Snapshot) ModelServers(model string) ([]*BackendServer, bool) {
	base, adapter, asked := strings.Cut(model, ":")
	adapters, ok := s.adapters[base]
	if !ok || asked && !slices.Contains(adapters, adapter) {
		return nil, false
	}
	return s.modelServers[base], true
}

// ModelService returns the service of a model.
func (s *Snapshot) ModelService(model string) string { return s.wanted[model].service }

// ModelKey returns the name under which engines hold the wanted version of a model.
func (s *Snapshot) ModelKey(model string) string {
	if v := s.wanted[model].version; v != "" {
		return model + "@" + v
	}
	return model
}

// ModelFloor returns how many engines must hold a model.
func (s *Snapshot) ModelFloor(model string) int { return s.wanted[model].floor }

// ServiceNames returns the names of the services, sorted.
func (s *Snapshot) ServiceNames() []string { return slices.Sorted(maps.Keys(s.services)) }

// Account returns the client account of a bearer key.
func (s *Snapshot) Account(key []byte) (*ClientAccount, bool) {
	a, ok := s.accounts[sha256.Sum256(key)]
	return a, ok
}

// AccountNames returns the names of the client accounts, in the order of the file.
func (s *Snapshot) AccountNames() []string { return s.accountNames }

// LowestPriority returns the greatest priority number of any account.
func (s *Snapshot) LowestPriority() int {
	lowest := 0
	for _, a := range s.accounts {
		lowest = max(lowest, a.priority)
	}
	return lowest
}

// MaxQueue returns the greatest number of waiting generations of a box.
func (s *Snapshot) MaxQueue() int { return s.maxQueue }

// MaxWait returns how long a generation may wait before it is refused.
func (s *Snapshot) MaxWait() time.Duration { return s.maxWait }

// StarvationBound returns the wait after which the oldest waiter goes first.
func (s *Snapshot) StarvationBound() time.Duration { return s.starvationBound }
