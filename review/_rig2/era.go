package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/platform/standin"
)

func init() { scenarios["era"] = olderCopy }

const (
	// applyBound is config_apply_ms and drain_ms.
	applyBound = 2 * time.Second
	// versions is how many configurations come in quick succession, versionGap the time between two.
	versions   = 6
	versionGap = 330 * time.Millisecond
	// awayFor is how long the store is away.
	awayFor = 500 * time.Millisecond
	// watched is how long callers go on after the last change.
	watched = 10 * time.Second
	// callGap is the time between two calls.
	callGap = 25 * time.Millisecond
)

// eraStore serves one store after the other, with the number of the store's era in every answer. While it has none it is away.
type eraStore struct {
	era atomic.Int64
	now atomic.Pointer[standin.Store]
}

// ServeHTTP serves one call. A watch from a revision that the store doesn't have gets 410.
func (e *eraStore) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	s := e.now.Load()
	w.Header().Set("Store-Era", strconv.FormatInt(e.era.Load(), 10))
	if s == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if from, err := strconv.ParseInt(q.URL.Query().Get("watch"), 10, 64); err == nil {
		if _, at := listed(s, "config"); from > at {
			w.WriteHeader(http.StatusGone)
			return
		}
	}
	s.ServeHTTP(w, q)
}

// object is an object in a list of the store.
type object struct {
	Metadata struct {
		Name string `json:"name"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

// listed returns the objects of a kind and the revision of a store.
func listed(s *standin.Store, kind string) ([]object, int64) {
	rec := httptest.NewRecorder()
	s.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/dalebend/objects/"+kind, nil))
	var page struct {
		Items []object `json:"items"`
		At    int64    `json:"at"`
	}
	if err := json.Unmarshal(rec.Body.Bytes(), &page); err != nil {
		panic(err)
	}
	return page.Items, page.At
}

// copied returns a copy of a store at the same revision.
func copied(s *standin.Store) *standin.Store {
	c := &standin.Store{Clock: clockwork.NewRealClock()}
	for _, kind := range []string{"config", "servers", "boxes", "held-requests"} {
		objects, _ := listed(s, kind)
		for _, o := range objects {
			c.Put(kind, o.Metadata.Name, string(o.Spec))
		}
	}
	_, want := listed(s, "config")
	for n := 0; ; n++ {
		if _, at := listed(c, "config"); at >= want {
			return c
		}
		c.Put("others", "filler", strconv.Itoa(n))
	}
}

// configWith returns a configuration with a version and keys.
func configWith(version int, keys ...string) string {
	quoted, err := json.Marshal(keys)
	if err != nil {
		panic(err)
	}
	text := strings.Replace(lookupConfig, `"version":3`, fmt.Sprintf(`"version":%d`, version), 1)
	return strings.Replace(text, `["k1"]`, string(quoted), 1)
}

// ran is a request that a server ran.
type ran struct {
	server, key string
	sent, at    time.Time
}

// olderCopy: the store is away for a moment and comes back from a copy some seconds old. Later a server drains and a key is taken away.
func olderCopy(rec *record, trouble bool) (bool, error) {
	r, err := newRig(rec)
	if err != nil {
		return false, err
	}
	defer r.close()
	e := &eraStore{}
	e.era.Store(4)
	e.now.Store(r.store)
	r.serving.Handler = e
	r.store.Put("config", "main", configWith(3, "k1", "k2"))
	var mu sync.Mutex
	var runs []ran
	sent := make(map[string]time.Time)
	key := func(n int) string { return []string{"k1", "k2"}[n%2] }
	zones := []string{"kumamoto-hall", "saga-hall", "miyazaki-hall"}
	for i, zone := range zones {
		id := fmt.Sprintf("i-%d", i)
		if _, err := r.addServer(id, "control", zone, func(w http.ResponseWriter, q *http.Request) {
			attempt := q.Header.Get("Attempt-Id")
			var n int
			_, _ = fmt.Sscanf(attempt, "%x", &n)
			mu.Lock()
			runs = append(runs, ran{server: id, key: key(n), sent: sent[attempt], at: time.Now()})
			mu.Unlock()
			rec.add("%s runs %s", id, attempt)
			time.Sleep(15 * time.Millisecond)
			w.Header().Set("Response-Seal", seal(id, attempt))
			_, _ = io.WriteString(w, "found")
		}); err != nil {
			return false, err
		}
	}
	for _, zone := range zones {
		if _, err := r.addBox(zone); err != nil {
			return false, err
		}
	}
	if err := r.awaitReady(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var all sync.WaitGroup
	all.Go(func() {
		ticker := time.NewTicker(callGap)
		defer ticker.Stop()
		for n := 0xe000; ctx.Err() == nil; n++ {
			<-ticker.C
			b, id := r.boxes[n%len(r.boxes)], fmt.Sprintf("%016x", n)
			mu.Lock()
			sent[id] = time.Now()
			mu.Unlock()
			all.Go(func() {
				bounded, done := context.WithTimeout(context.Background(), 2*time.Second)
				defer done()
				resp, _, err := send(bounded, b.front(), http.MethodGet, "a.example", "/lookup/x", map[string]string{
					"Attempt-Id": id, "Authorization": "Token " + key(n), "Timeout-Ms": "1500",
				}, nil)
				if err != nil {
					rec.add("client got no answer to %s from %s: %v", id, b.name, err)
					return
				}
				rec.add("client got %d to %s with %s from %s", resp.StatusCode, id, key(n), b.name)
			})
		}
	})
	time.Sleep(contact + time.Second)
	older := copied(r.store)
	version := 3
	for range versions {
		version++
		r.store.Put("config", "main", configWith(version, "k1", "k2"))
		rec.add("the operator writes version %d", version)
		time.Sleep(versionGap)
	}
	if trouble {
		e.now.Store(nil)
		rec.add("trouble: the store is away")
		time.Sleep(awayFor)
		r.store = older
		e.era.Add(1)
		e.now.Store(older)
		older.Put("config", "main", configWith(version, "k1", "k2"))
		rec.add("trouble: the store is back from a copy made before version 4; the operator has written version %d again, the servers have theirs", version)
	}
	time.Sleep(2 * contact)
	r.servers[0].register("draining")
	drained := time.Now()
	version++
	r.store.Put("config", "main", configWith(version, "k1"))
	revoked := time.Now()
	rec.add("i-0 drains, and version %d takes k2 away; both are acknowledged", version)
	time.Sleep(watched)
	cancel()
	all.Wait()
	late, withKey := 0, 0
	mu.Lock()
	for _, x := range runs {
		if x.server == "i-0" && x.at.After(drained.Add(applyBound)) {
			late++
		}
		if x.key == "k2" && x.sent.After(revoked.Add(applyBound)) {
			withKey++
		}
	}
	mu.Unlock()
	rec.add("%d requests sent more than 2 s after k2 was taken away ran with it (CONFIG); %d requests reached i-0 more than 2 s after it said that it drains (DRAIN)", withKey, late)
	return withKey == 0 && late == 0, nil
}
