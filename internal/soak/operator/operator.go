// Package operator writes the versions of the configuration that a soak runs with.
package operator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dalebend/dalebend/internal/soak/history"
	"github.com/dalebend/dalebend/platform/standin"
)

// Hosts of the routes that every version has. The first two go to one of two
// services, which take turns from version to version.
const (
	OnceHost = "once.test"
	ManyHost = "many.test"
	ChatHost = "chat.test"
)

const (
	// ChatService is the service of generations.
	ChatService = "chat"
	// plainPrefix begins the names of the plain services.
	plainPrefix = "plain-"
	// plainServices is how many services take turns.
	plainServices = 2
)

// BaseKey is the key that every version has.
const BaseKey = "key-base"

// TokensPerEvent is how many tokens an event of a stream counts, in every version.
const TokensPerEvent = 4

const (
	// kept is how many versions a probe's route and key stand in.
	kept = 3
	// step is how far version numbers are apart at most.
	step = 3
	// plainTimeout and chatTimeout bound requests, in ms; objective is their aim.
	plainTimeout = 2000
	chatTimeout  = 6000
	objective    = 500
	// mostServers is how many servers a repeatable request may be sent to.
	mostServers = 3
	// maxConns (connections), slots (generations) and memory (tokens) describe the
	// stand-ins: more than is used.
	maxConns = 200
	slots    = 24
	memory   = 200_000
)

// PlainServices returns the names of the plain services.
func PlainServices() []string {
	var names []string
	for i := range plainServices {
		names = append(names, fmt.Sprint(plainPrefix, i))
	}
	return names
}

// ProbeHost returns the host of the route that comes with a version and goes again some
// versions later.
func ProbeHost(number int64) string { return fmt.Sprintf("v%d.test", number) }

// ProbeKey returns the key that comes and goes like the route of ProbeHost.
func ProbeKey(number int64) string { return fmt.Sprintf("key-%d", number) }

// Account returns the client account that holds a key.
func Account(key string) string { return strings.Replace(key, "key", "account", 1) }

// Operator writes versions. Set the fields before Change.
type Operator struct {
	Store  *standin.Store
	Record *history.Recorder

	mu      sync.Mutex
	numbers []int64
}

// Change writes the next version; the pick draws how far its number is from the last.
func (o *Operator) Change(pick int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	number := int64(1)
	if n := len(o.numbers); n > 0 {
		number = o.numbers[n-1] + 1 + int64(pick%step)
	}
	o.numbers = append(o.numbers, number)
	v := o.version()
	v.Sent = o.Record.Now()
	o.Store.PutConfig(document(v))
	v.Acked = o.Record.Now()
	o.Record.Add(func(h *history.History) { h.Versions = append(h.Versions, v) })
}

// Recent returns the numbers of the latest versions, some of which no longer have
// a route and key of their own.
func (o *Operator) Recent() []int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.numbers[max(0, len(o.numbers)-kept-1):])
}

// version returns what the newest version allows.
func (o *Operator) version() history.Version {
	n := len(o.numbers)
	plain := PlainServices()[n%plainServices]
	v := history.Version{
		Number:   o.numbers[n-1],
		Services: map[string]string{OnceHost: plain, ManyHost: plain, ChatHost: ChatService},
		Accounts: map[string]string{BaseKey: Account(BaseKey)},
	}
	for _, number := range o.numbers[max(0, n-kept):] {
		v.Services[ProbeHost(number)] = plain
		v.Accounts[ProbeKey(number)] = Account(ProbeKey(number))
	}
	return v
}

// document returns a version as the operator writes it.
func document(v history.Version) standin.Config {
	c := standin.Config{Version: v.Number}
	for _, host := range slices.Sorted(maps.Keys(v.Services)) {
		c.Routes = append(c.Routes, route(host, v.Services[host]))
	}
	for _, name := range PlainServices() {
		c.Services = append(c.Services, standin.ConfigService{Name: name, MaxConns: maxConns})
	}
	c.Services = append(c.Services, standin.ConfigService{Name: ChatService, MaxConns: maxConns, Engine: &standin.ConfigEngine{
		Slots: slots, MemoryTokens: memory, Moves: true, Backups: true, TokensPerEvent: TokensPerEvent,
	}})
	for _, key := range slices.Sorted(maps.Keys(v.Accounts)) {
		c.Accounts = append(c.Accounts, standin.ConfigAccount{Name: v.Accounts[key], Keys: []string{key}})
	}
	return c
}

// Timeout returns how long the route of a host lets a request take.
func Timeout(host string) time.Duration {
	return time.Duration(route(host, "").TimeoutMs) * time.Millisecond
}

// route returns the route of a host, whose type goes by the host.
func route(host, service string) standin.ConfigRoute {
	r := standin.ConfigRoute{
		Name: host, Host: host, PathPrefix: "/", Type: "idempotent", Service: service, MaxServers: mostServers,
		TimeoutMs: plainTimeout, ObjectiveMs: objective,
	}
	switch host {
	case OnceHost:
		r.Type = "non_idempotent"
	case ChatHost:
		r.Type = "streaming"
		r.TimeoutMs = chatTimeout
	}
	return r
}
