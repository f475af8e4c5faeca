// Package touch tells what was left alone in a run: only boxes in touch are bound
// by promises that carry a time.
package touch

import (
	"slices"
	"time"

	"github.com/dalebend/dalebend/internal/soak/history"
)

// Touch tells what was left alone.
type Touch struct {
	Troubles []history.Trouble
	// Contact is how long after its end a trouble still counts.
	Contact time.Duration
}

// Box reports whether a box was in touch from one time to another: neither it, nor the
// store, nor the links between them, nor the soak itself was disturbed, but for the kinds
// that are named.
func (t Touch) Box(box string, from, to time.Duration, but ...history.Kind) bool {
	return t.calm(history.OnBox, box, from, to, but) && t.calm(history.OnStoreLink, box, from, to, but) &&
		t.calm(history.OnStore, "", from, to, but)
}

// Alone reports whether a box was left alone, whatever the store and the links to
// it did.
func (t Touch) Alone(box string, from, to time.Duration, but ...history.Kind) bool {
	return t.calm(history.OnBox, box, from, to, but)
}

// Server reports whether a server and the links to it were left alone.
func (t Touch) Server(server string, from, to time.Duration, but ...history.Kind) bool {
	return t.calm(history.OnServer, server, from, to, but)
}

// Servers reports whether all servers and the links to them were left alone.
func (t Touch) Servers(from, to time.Duration) bool {
	return !slices.ContainsFunc(t.Troubles, func(d history.Trouble) bool {
		return d.From <= to && d.To+t.Contact >= from && (d.Scope == history.OnAll || d.Scope == history.OnServer)
	})
}

// Paths reports whether the paths of a box to the servers were left alone, but for links to single ones.
func (t Touch) Paths(box string, from, to time.Duration) bool {
	return t.calm(history.OnServerPaths, box, from, to, nil)
}

// calm reports whether no trouble but of some kinds struck a target within a time, or so
// shortly before it that it still counts.
func (t Touch) calm(scope history.Scope, target string, from, to time.Duration, but []history.Kind) bool {
	return !slices.ContainsFunc(t.Troubles, func(d history.Trouble) bool {
		if d.From > to || d.To+t.Contact < from || slices.Contains(but, d.Kind) {
			return false
		}
		return d.Scope == history.OnAll || d.Scope == scope && d.Target == target
	})
}
