package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { scenarios["unsealed"] = unsealedSuccess }

// plainRig starts one box with servers of a service that answer after a time, and waits until it is in touch.
func plainRig(rec *record, config string, answer func(id string) http.HandlerFunc) (*rig, error) {
	r, err := newRig(rec)
	if err != nil {
		return nil, err
	}
	r.store.Put("config", "main", config)
	for i, zone := range []string{"kumamoto-hall", "saga-hall"} {
		id := fmt.Sprintf("i-%d", i)
		if _, err := r.addServer(id, "control", zone, answer(id)); err != nil {
			r.close()
			return nil, err
		}
	}
	_, err = r.addBox("saga-hall")
	if err == nil {
		err = r.awaitReady()
	}
	if err != nil {
		r.close()
		return nil, err
	}
	time.Sleep(contact + time.Second)
	return r, nil
}

// unsealedSuccess: requests on no route, some of them for the target "*".
func unsealedSuccess(rec *record, trouble bool) (bool, error) {
	r, err := plainRig(rec, plainConfig, func(id string) http.HandlerFunc {
		return func(w http.ResponseWriter, q *http.Request) {
			rec.add("%s runs %s %s", id, q.Method, q.RequestURI)
			w.Header().Set("Response-Seal", seal(id, q.Header.Get("Attempt-Id")))
			_, _ = io.WriteString(w, "confirmed")
		}
	})
	if err != nil {
		return false, err
	}
	defer r.close()
	targets := []string{"POST /confirm/x", "GET /nowhere/x", "OPTIONS /nowhere/x", "GET *"}
	if trouble {
		targets = append(targets, "OPTIONS *")
	}
	held := true
	for n, target := range targets {
		id := fmt.Sprintf("%016x", 0xc000+n)
		conn, err := net.Dial("tcp", r.boxes[0].front())
		if err != nil {
			return false, err
		}
		_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
		_, _ = fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\nAuthorization: Token k1\r\nTimeout-Ms: 600\r\nContent-Length: 0\r\n\r\n", target, id)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			_ = conn.Close()
			return false, err
		}
		body, _ := io.ReadAll(resp.Body)
		_ = conn.Close()
		got := resp.Header.Get("Response-Seal")
		rec.add("client sent %q and got %d, seal %q, %d bytes", target, resp.StatusCode, got, len(body))
		if resp.StatusCode/100 == 2 && got == "" {
			held = false
		}
	}
	return held, nil
}
