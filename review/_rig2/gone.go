package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["gone"] = clientsLeave }

const (
	// lookupConfig has a route whose requests may be repeated.
	lookupConfig = `{"version":3,"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":60000},
"services":[{"name":"control","health_path":"/health","max_conns":96}],
"tenants":[{"name":"t1","api_keys":["k1"]}],
"routes":[{"name":"lookup","hostname":"a.example","path_prefix":"/lookup/","route_type":"idempotent","timeout_ms":4000,"goal_ms":3000,"priority":2,"service":"control","max_attempts":2}]}`

	// leaving clients of all leave.
	clients, leaving = 60, 12
	// lookupTime is how long a server works on a request.
	lookupTime = 2 * time.Second
	// nextAfter is when a client sends its second request, leaveAfter when it leaves.
	nextAfter  = 150 * time.Millisecond
	leaveAfter = 300 * time.Millisecond
	// goneBound is how long after a client has left its requests may arrive at servers and be worked on.
	goneBound = 500 * time.Millisecond
)

// lookups are the requests at the servers.
type lookups struct {
	mu      sync.Mutex
	working map[string]bool
	arrived map[string]time.Time
}

func (l *lookups) serve(rec *record, id string) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		attempt := q.Header.Get("Attempt-Id")
		rec.add("%s runs %s", id, attempt)
		l.mu.Lock()
		l.working[attempt], l.arrived[attempt] = true, time.Now()
		l.mu.Unlock()
		defer func() {
			l.mu.Lock()
			delete(l.working, attempt)
			l.mu.Unlock()
		}()
		select {
		case <-time.After(lookupTime):
		case <-q.Context().Done():
			rec.add("%s drops %s, its connection has closed", id, attempt)
			return
		}
		w.Header().Set("Response-Seal", seal(id, attempt))
		_, _ = io.WriteString(w, "found")
		rec.add("%s has answered %s", id, attempt)
	}
}

// lookup sends one request.
func lookup(conn net.Conn, id string) {
	_, _ = fmt.Fprintf(conn, "GET /lookup/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\nAuthorization: Token k1\r\nTimeout-Ms: 4000\r\n\r\n", id)
}

// clientsLeave: clients send a second request before the first is answered, and some leave before that.
func clientsLeave(rec *record, trouble bool) (bool, error) {
	l := &lookups{working: make(map[string]bool), arrived: make(map[string]time.Time)}
	r, err := plainRig(rec, lookupConfig, func(id string) http.HandlerFunc { return l.serve(rec, id) })
	if err != nil {
		return false, err
	}
	defer r.close()
	var left []string
	var leaves, all sync.WaitGroup
	for n := range clients {
		first, second := fmt.Sprintf("%016x", 0xd000+2*n), fmt.Sprintf("%016x", 0xd001+2*n)
		conn, err := net.Dial("tcp", r.boxes[0].front())
		if err != nil {
			return false, err
		}
		goes := trouble && n%(clients/leaving) == 0
		if goes {
			left = append(left, first, second)
			leaves.Add(1)
		}
		all.Go(func() {
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
			rec.add("client %d sends %s", n, first)
			lookup(conn, first)
			time.Sleep(nextAfter)
			rec.add("client %d sends %s on the same connection", n, second)
			lookup(conn, second)
			if goes {
				time.Sleep(leaveAfter - nextAfter)
				rec.add("trouble: client %d closes its connection", n)
				_ = conn.Close()
				leaves.Done()
				return
			}
			in := bufio.NewReader(conn)
			for range 2 {
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					rec.add("client %d got no answer: %v", n, err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				rec.add("client %d got %d to %s", n, resp.StatusCode, resp.Header.Get("Attempt-Id"))
			}
		})
	}
	leaves.Wait()
	bound := time.Now().Add(goneBound)
	time.Sleep(goneBound)
	still := 0
	l.mu.Lock()
	for _, id := range left {
		if l.working[id] {
			still++
		}
	}
	l.mu.Unlock()
	all.Wait()
	time.Sleep(lookupTime / 2)
	late := 0
	l.mu.Lock()
	for _, id := range left {
		if l.arrived[id].After(bound) {
			late++
		}
	}
	l.mu.Unlock()
	gone := len(left) / 2
	rec.add("%d clients have left; %d of their %d running requests were still worked on %d ms later, and %d requests arrived at servers later than that",
		gone, still, gone, goneBound.Milliseconds(), late)
	return 4*still <= gone && late <= aFew, nil
}

// aFew is how many requests may arrive late.
const aFew = 3
