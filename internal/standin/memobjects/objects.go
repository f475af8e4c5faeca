// Package memobjects is the object API in memory, for tests of what uses it. Calls
// fail, and answers are lost after taking effect, as the test draws.
package memobjects

import (
	"slices"
	"sync"

	"github.com/dalebend/dalebend/internal/objectapi"
)

// Fate is what happens to one call.
type Fate uint8

// The fates.
const (
	// Fine calls are carried out and answered.
	Fine Fate = iota
	// Down calls are not carried out.
	Down
	// Lost writes are carried out and their answer is lost; reads are answered.
	Lost
)

// Objects is safe for concurrent use. Set Draw before use.
type Objects struct {
	// Draw returns the fate of the next call; nil lets all be fine.
	Draw func() Fate

	mu      sync.Mutex
	objects map[string]objectapi.Object
	writes  int
}

// Writes returns how many writes took effect.
func (o *Objects) Writes() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.writes
}

// Stored returns an object as it is, whatever Draw says.
func (o *Objects) Stored(kind, name string) objectapi.Object {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.objects[kind+"/"+name]
}

func (o *Objects) fate() Fate {
	if o.Draw == nil {
		return Fine
	}
	return o.Draw()
}

// Get reads one object.
func (o *Objects) Get(kind, name string) (objectapi.Object, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.fate() == Down {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	have, ok := o.objects[kind+"/"+name]
	if !ok {
		return have, objectapi.ErrNotFound
	}
	return have, nil
}

// Create writes an object that is not there yet.
func (o *Objects) Create(kind, name string, value []byte) (uint64, error) {
	return o.Update(kind, name, value, 0)
}

// Update writes an object whose version is known.
func (o *Objects) Update(kind, name string, value []byte, expect uint64) (uint64, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	fate := o.fate()
	if fate == Down {
		return 0, objectapi.ErrUnavailable
	}
	if o.objects[kind+"/"+name].Version != expect {
		return 0, objectapi.ErrConflict
	}
	if o.objects == nil {
		o.objects = make(map[string]objectapi.Object)
	}
	o.writes++
	o.objects[kind+"/"+name] = objectapi.Object{Name: name, Version: expect + 1, Value: slices.Clone(value)}
	if fate == Lost {
		return 0, objectapi.ErrUncertain
	}
	return expect + 1, nil
}
