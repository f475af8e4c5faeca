package main

import (
	"encoding/json"
	"net"
	"net/http"
)

// server is a backend server whose answers a scenario decides.
type server struct {
	id, service, zone, addr string
	rig                     *rig
	ln                      net.Listener
	http                    *http.Server
}

// addServer starts a server and registers it in the store.
func (r *rig) addServer(id, service, zone string, answer http.HandlerFunc) (*server, error) {
	s, err := r.newServer(id, service, zone, answer)
	if err == nil {
		s.register("ready")
	}
	return s, err
}

// newServer starts a server. Requests that name another server get 421.
func (r *rig) newServer(id, service, zone string, answer http.HandlerFunc) (*server, error) {
	ln, err := net.Listen("tcp", r.ip(100+len(r.servers))+":0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, zone: zone, addr: ln.Addr().String(), rig: r, ln: ln}
	s.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Attempt-Id", q.Header.Get("Attempt-Id"))
		if want := q.Header.Get("Expect-Instance"); want != "" && want != id {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		answer(w, q)
	})}
	go func() { _ = s.http.Serve(ln) }()
	r.servers = append(r.servers, s)
	return s, nil
}

// register writes the server's entry.
func (s *server) register(state string) {
	spec, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "slots": 24, "state": state, "cold_left_ms": 0, "seq": 1,
	})
	if err != nil {
		panic(err)
	}
	s.rig.store.Put("servers", s.id, string(spec))
}

func (s *server) close() { _ = s.http.Close() }

// seal is the signature of a server's answer to a request.
func seal(id, attempt string) string { return "seal." + id + "." + attempt }
