package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// garbleTime is how long faultyServers of the three plain servers spoil one in spoilEach of their answers
	// to lookups.
	garbleTime    = 8 * time.Second
	faultyServers = 2
	spoilEach     = 25
	// lostBound is from the rule: a machine in touch may close so many kept connections without an answer.
	lostBound = 3
	// refusedPause is how long a client waits after a refusal.
	refusedPause = 300 * time.Millisecond
	// startAgain is the short delay after which the platform starts a process that has ended.
	startAgain = 300 * time.Millisecond
	// wrongBytes is a chunked body whose second size is wrong.
	wrongBytes = "5\r\nhello\r\n7fffffffffffffff\r\nworld\r\n0\r\n\r\n"
)

// closing is a kept connection that a box closed without an answer to the request sent on it.
type closing struct {
	id, box string
	at      time.Time
	inTouch bool
}

// kept sends requests on kept connections.
type kept struct {
	world *World

	mu       sync.Mutex
	closings []closing
	statuses map[int]int
	ends     int
}

// runGarble has two of three servers spoil a few of their answers to lookups.
func runGarble(record *Record, trouble bool) (int, error) {
	w, err := NewWorld(record)
	if err != nil {
		return failed, err
	}
	defer w.Close()
	w.PutConfig(7, []Route{streamRoute(), plainRoute(), lookupRoute()})
	var plain []*Server
	for i, zone := range []string{"kumamoto-hall", "saga-hall", "miyazaki-hall"} {
		s, err := w.StartServer(fmt.Sprintf("i-plain%d", i+1), plainService, zone, false)
		if err != nil {
			return failed, err
		}
		plain = append(plain, s)
		e, err := w.StartServer(fmt.Sprintf("i-engine%d", i+1), llmService, zone, true)
		if err != nil {
			return failed, err
		}
		e.Prefill = 800 * time.Millisecond
	}
	if err := w.StartBoxes("kumamoto-hall", "saga-hall", "miyazaki-hall"); err != nil {
		return failed, err
	}
	time.Sleep(contactBound)
	ctx, cancel := context.WithCancel(context.Background())
	k := &kept{world: w, statuses: make(map[int]int)}
	var all sync.WaitGroup
	for i, b := range w.boxes {
		all.Go(func() { k.keepRunning(ctx, b) })
		for n := range 8 {
			all.Go(func() {
				// Not all at the same moment of their generations.
				sleep(ctx, time.Duration(n)*110*time.Millisecond)
				k.send(ctx, b, fmt.Sprintf("g%d-%d", i, n), "generation")
			})
		}
		for n := range 2 {
			all.Go(func() { k.send(ctx, b, fmt.Sprintf("l%d-%d", i, n), "lookup") })
		}
	}
	time.Sleep(contactBound)
	if trouble {
		for _, s := range plain[:faultyServers] {
			s.Garble(wrongBytes, spoilEach)
		}
	}
	time.Sleep(garbleTime)
	for _, s := range plain {
		s.Garble("", 0)
	}
	cancel()
	all.Wait()
	return k.judge(record, plain[:faultyServers]), nil
}

// keepRunning starts a box again after it has ended, as the platform does.
func (k *kept) keepRunning(ctx context.Context, b *Box) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.Exited():
		}
		k.mu.Lock()
		k.ends++
		k.mu.Unlock()
		k.world.Record.Add("box %s has ended by itself: %s", b.Name, b.LastWords())
		if !sleep(ctx, startAgain) {
			return
		}
		if err := k.world.startBox(b); err != nil {
			k.world.Record.Add("box %s does not start again: %v", b.Name, err)
			return
		}
	}
}

// send sends requests on a kept connection, one after the other, and opens a new one when that is closed.
func (k *kept) send(ctx context.Context, b *Box, name, kind string) {
	for n := 0; ctx.Err() == nil; {
		c, err := net.DialTimeout("tcp", b.Front(), time.Second)
		if err != nil {
			sleep(ctx, 50*time.Millisecond)
			continue
		}
		in := bufio.NewReader(c)
		for first := true; ctx.Err() == nil; first = false {
			n++
			id := fmt.Sprintf("%s-%04d", name, n)
			started := b.Started()
			status, begun, err := exchange(c, in, kind, id)
			k.world.Record.Add("client: request %s (%s) sent to %s: status %d, error %v", id, kind, b.Name, status, err)
			k.mu.Lock()
			k.statuses[status]++
			if err != nil && !first && !begun && isClose(err) {
				now := time.Now()
				k.closings = append(k.closings, closing{id: id, box: b.Name, at: now, inTouch: now.Sub(started) > contactBound})
			}
			k.mu.Unlock()
			pause := 20 * time.Millisecond
			if status == http.StatusServiceUnavailable {
				pause = refusedPause
			}
			if err != nil || !sleep(ctx, pause) {
				break
			}
		}
		_ = c.Close()
	}
}

// requestText returns the text of a request of a kind.
func requestText(kind, id string) (method, text string) {
	common := fmt.Sprintf("Host: %s\r\nAttempt-Id: %s\r\nAuthorization: Token %s\r\n", host, id, apiKey)
	if kind == "lookup" {
		return http.MethodGet, "GET /puxa403/2f HTTP/1.1\r\n" + common + "Timeout-Ms: 600\r\n\r\n"
	}
	return http.MethodPost, "POST /lohu930/2f HTTP/1.1\r\n" + common + "Timeout-Ms: 6000\r\nModel: m\r\nToken-Usage: 2200,12\r\n" +
		"Prefix-Hash: 5c1e07a2:210,91bd3f06:140,x" + id + ":1850\r\nContent-Length: 2\r\n\r\n{}"
}

// exchange sends a request and reads its answer; begun is set once its head has come.
func exchange(c net.Conn, in *bufio.Reader, kind, id string) (status int, begun bool, err error) {
	method, text := requestText(kind, id)
	_ = c.SetDeadline(time.Now().Add(gapLimit))
	if _, err := io.WriteString(c, text); err != nil {
		return 0, false, err
	}
	resp, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		return 0, false, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, true, err
}

// isClose reports whether a connection was closed or reset, rather than silent.
func isClose(err error) bool {
	var n net.Error
	return !errors.As(err, &n) || !n.Timeout()
}

// judge counts the kept connections that machines in touch closed without an answer, after the request had
// been passed on to a server other than the faulty ones.
func (k *kept) judge(record *Record, faulty []*Server) int {
	sound := make(map[string]string)
	for _, s := range k.world.servers {
		if slices.Contains(faulty, s) {
			continue
		}
		for _, a := range s.Arrivals() {
			if a.Ran {
				sound[a.ID] = s.ID
			}
		}
	}
	lost := 0
	for _, c := range k.closings {
		server, ok := sound[c.id]
		if !ok || !c.inTouch {
			continue
		}
		lost++
		record.Add("LOST: box %s closed a kept connection at %.3f without an answer to request %s, which it had passed on to sound server %s", c.box,
			record.At(c.at), c.id, server)
	}
	record.Add("answers by status: %v; boxes ended by themselves %d times; %d kept connections were closed without an answer to a request that had been passed on to a sound server (bound %d)",
		k.statuses, k.ends, lost, lostBound)
	if lost > lostBound {
		return broken
	}
	return held
}
