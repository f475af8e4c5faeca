package fleetfile

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"strings"
)

const (
	// KindGeneration is the kind of a service that serves models.
	KindGeneration = "generation"
	// KindPlain is the kind of a service that is passed through.
	KindPlain = "plain"

	minResumeKey = 16
	keyHashBytes = 32
	maxPriority  = 9
)

// checker collects the faults of one file.
type checker struct {
	faults   []error
	domains  map[string]bool
	services map[string]string
	models   map[string]string
	hardware map[string]bool
	// at is where the entry that is checked stands.
	places places
	at     string
}

func (c *checker) fault(format string, args ...any) {
	c.faults = append(c.faults, errors.New(c.at+fmt.Sprintf(format, args...)))
}

// unique reports names that are empty or stand twice in a list.
func (c *checker) unique(list string, seen map[string]bool, name string) {
	if name == "" {
		c.fault("%s: an entry has no name", list)
		return
	}
	if strings.ContainsAny(name, "/ \t\n") {
		c.fault("%s: name %q holds a slash or a space", list, name)
	}
	if seen[name] {
		c.fault("%s: name %q stands twice", list, name)
	}
	seen[name] = true
}

// check reports every fault of the file in one error.
func (f *File) check(where places) error {
	c := &checker{
		places:   where,
		domains:  map[string]bool{},
		services: map[string]string{},
		models:   map[string]string{},
		hardware: map[string]bool{},
	}
	if f.Name == "" {
		c.fault("name: is empty")
	}
	if len(f.ResumeKey) < minResumeKey {
		c.fault("resume-key: has %d characters, at least %d are needed", len(f.ResumeKey), minResumeKey)
	}
	c.checkRegions(f.Regions)
	c.checkServices(f.Services)
	c.checkModels(f.Models)
	c.checkHardware(f.Hardware)
	c.checkServers(f.BackendServers)
	c.checkAccounts(f.ClientAccounts)
	c.at = c.places.of("admission", -1)
	if f.Admission.MaxQueue < 0 || f.Admission.MaxWait < 0 || f.Admission.StarvationBound < 0 {
		c.fault("admission: values may not be negative")
	}
	return errors.Join(c.faults...)
}

func (c *checker) checkRegions(regions []region) {
	seen := map[string]bool{}
	for i, r := range regions {
		c.at = c.places.of("regions", i)
		c.unique("regions", seen, r.Name)
		for _, d := range r.FailureDomains {
			c.unique("failure-domains", c.domains, d)
		}
	}
	c.at = c.places.of("regions", -1)
	if len(c.domains) == 0 {
		c.fault("regions: no failure domain is declared")
	}
}

func (c *checker) checkServices(services []service) {
	seen := map[string]bool{}
	for i, s := range services {
		c.at = c.places.of("services", i)
		c.unique("services", seen, s.Name)
		c.services[s.Name] = s.Kind
		if s.Kind != KindGeneration && s.Kind != KindPlain {
			c.fault("service %q: kind %q is neither %q nor %q", s.Name, s.Kind, KindGeneration, KindPlain)
		}
		if s.Timeout < 0 {
			c.fault("service %q: timeout may not be negative", s.Name)
		}
		for _, r := range s.Routes {
			c.checkRoute(s, r)
		}
	}
}

func (c *checker) checkRoute(s service, r route) {
	if s.Kind != KindPlain {
		c.fault("service %q: only a %q service has routes", s.Name, KindPlain)
	}
	if !strings.HasPrefix(r.Path, "/") {
		c.fault("service %q: route path %q does not begin with a slash", s.Name, r.Path)
	}
	if len(r.Methods) == 0 {
		c.fault("service %q: route %q names no method", s.Name, r.Path)
	}
}

func (c *checker) checkModels(models []model) {
	seen := map[string]bool{}
	for i, m := range models {
		c.at = c.places.of("models", i)
		c.unique("models", seen, m.Name)
		c.models[m.Name] = m.Service
		if c.services[m.Service] != KindGeneration {
			c.fault("model %q: service %q is not a declared generation service", m.Name, m.Service)
		}
		if m.Floor < 0 {
			c.fault("model %q: floor may not be negative", m.Name)
		}
	}
}

func (c *checker) checkHardware(classes []hardware) {
	for i, h := range classes {
		c.at = c.places.of("hardware", i)
		c.unique("hardware", c.hardware, h.Name)
		if h.ModelSlots < 0 {
			c.fault("hardware %q: model-slots may not be negative", h.Name)
		}
		if h.KVTokens <= 0 || h.MaxBatch <= 0 || h.DecodeStep <= 0 {
			c.fault("hardware %q: kv-tokens, max-batch and decode-step must be positive", h.Name)
		}
	}
}

func (c *checker) checkServers(servers []backendServer) {
	seen := map[string]bool{}
	for i, b := range servers {
		c.at = c.places.of("backend-servers", i)
		c.unique("backend-servers", seen, b.Name)
		kind, ok := c.services[b.Service]
		if !ok {
			c.fault("backend server %q: service %q is not declared", b.Name, b.Service)
		}
		if !c.domains[b.FailureDomain] {
			c.fault("backend server %q: failure domain %q is not declared", b.Name, b.FailureDomain)
		}
		if _, _, err := net.SplitHostPort(b.Address); err != nil {
			c.fault("backend server %q: address %q is not HOST:PORT", b.Name, b.Address)
		}
		if kind == KindGeneration {
			c.checkEngine(b)
		}
	}
}

func (c *checker) checkEngine(b backendServer) {
	if !c.hardware[b.Hardware] {
		c.fault("backend server %q: hardware %q is not declared", b.Name, b.Hardware)
	}
	for _, m := range b.Models {
		if c.models[m] != b.Service {
			c.fault("backend server %q: model %q is not a model of service %q", b.Name, m, b.Service)
		}
	}
}

func (c *checker) checkAccounts(accounts []clientAccount) {
	seen := map[string]bool{}
	keys := map[string]string{}
	for i, a := range accounts {
		c.at = c.places.of("client-accounts", i)
		c.unique("client-accounts", seen, a.Name)
		if a.Priority < 0 || a.Priority > maxPriority {
			c.fault("client account %q: priority %d is outside 0 to %d", a.Name, a.Priority, maxPriority)
		}
		if a.Weight < 0 || a.TokensInFlight < 0 || a.MaxWait < 0 {
			c.fault("client account %q: weight, tokens-in-flight and max-wait may not be negative", a.Name)
		}
		if len(a.KeySHA256) == 0 {
			c.fault("client account %q: has no key-sha256", a.Name)
		}
		for _, k := range a.KeySHA256 {
			c.checkKey(a.Name, k, keys)
		}
	}
}

func (c *checker) checkKey(account, key string, owners map[string]string) {
	raw, err := hex.DecodeString(key)
	if err != nil || len(raw) != keyHashBytes {
		c.fault("client account %q: key-sha256 %q is not %d bytes in hex", account, key, keyHashBytes)
		return
	}
	if owner, taken := owners[key]; taken {
		c.fault("client account %q: a key is also a key of %q", account, owner)
	}
	owners[key] = account
}
