package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/platform/standin"
)

// eraStore serves one store after the other, with the era in every answer. While it has none it is away.
type eraStore struct {
	era   atomic.Int64
	store atomic.Pointer[standin.Store]
}

// ServeHTTP serves one call. A watch from a revision that the store doesn't have gets 410.
func (e *eraStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := e.store.Load()
	if s == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Store-Era", strconv.FormatInt(e.era.Load(), 10))
	if from, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64); err == nil {
		if _, at := listOf(s, "config"); from > at {
			w.WriteHeader(http.StatusGone)
			return
		}
	}
	s.ServeHTTP(w, r)
}

// storedObject is an object in a list of the store.
type storedObject struct {
	Metadata struct {
		Name string `json:"name"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

// listOf returns the objects of a kind and the revision of a store.
func listOf(s *standin.Store, kind string) ([]storedObject, int64) {
	rec := httptest.NewRecorder()
	s.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/dalebend/objects/"+kind, nil))
	var page struct {
		Items []storedObject `json:"items"`
		At    int64          `json:"at"`
	}
	if err := json.Unmarshal(rec.Body.Bytes(), &page); err != nil {
		panic(err)
	}
	return page.Items, page.At
}

// copyOf returns a copy of a store at the same revision.
func copyOf(s *standin.Store) *standin.Store {
	c := &standin.Store{Clock: clockwork.NewRealClock()}
	for _, kind := range []string{"config", "servers", "boxes", "held-requests"} {
		objects, _ := listOf(s, kind)
		for _, o := range objects {
			c.Put(kind, o.Metadata.Name, string(o.Spec))
		}
	}
	_, want := listOf(s, "config")
	for n := 0; ; n++ {
		if _, at := listOf(c, "config"); at >= want {
			return c
		}
		c.Put("others", "filler", strconv.Itoa(n))
	}
}

// putChanged writes an object, unless the store has it like that: then nothing is raised.
func putChanged(s *standin.Store, kind, name, spec string) {
	objects, _ := listOf(s, kind)
	for _, o := range objects {
		if o.Metadata.Name == name && string(o.Spec) == spec {
			return
		}
	}
	s.Put(kind, name, spec)
}

// runEra lets the store be away for a moment and come back from a copy some seconds old. Some time later a server
// drains and a key is taken away.
func runEra(record *Record, trouble bool) (int, error) {
	w, err := NewWorld(record)
	if err != nil {
		return failed, err
	}
	defer w.Close()
	e := &eraStore{}
	e.era.Store(4)
	e.store.Store(&standin.Store{Clock: clockwork.NewRealClock()})
	w.Handler.Store(e)
	w.PutObject = func(kind, name, spec string) { putChanged(e.store.Load(), kind, name, spec) }
	routes := []Route{streamRoute(), plainRoute()}
	w.PutConfig(7, routes, oldKey)
	var plain []*Server
	for i, zone := range []string{"kumamoto-hall", "saga-hall", "miyazaki-hall"} {
		s, err := w.StartServer(fmt.Sprintf("i-plain%d", i+1), plainService, zone, false)
		if err != nil {
			return failed, err
		}
		plain = append(plain, s)
	}
	if err := w.StartBoxes("kumamoto-hall", "saga-hall", "miyazaki-hall"); err != nil {
		return failed, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	calls := &callers{world: w}
	stop := calls.start(ctx)
	time.Sleep(5 * time.Second)
	older := copyOf(e.store.Load())
	newest := 7
	for range 6 {
		newest++
		w.PutConfig(newest, routes, oldKey)
		time.Sleep(330 * time.Millisecond)
	}
	if trouble {
		e.store.Store(nil)
		record.Add("the store is away")
		time.Sleep(500 * time.Millisecond)
		e.era.Add(1)
		e.store.Store(older)
		record.Add("the store is back from a copy of 2.5 s ago; the operator and the servers write theirs again")
		w.PutConfig(newest, routes, oldKey)
		for _, s := range plain {
			s.Register("ready")
		}
	}
	time.Sleep(2 * contactBound)
	leaving := plain[0]
	drained := leaving.Register("draining")
	revoked := w.PutConfig(newest+1, routes)
	time.Sleep(20 * time.Second)
	stop()
	return calls.judge(record, nil, leaving, drained, revoked), nil
}
