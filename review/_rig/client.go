package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Reply is what a client got.
type Reply struct {
	ID     string
	Sent   time.Time
	Status int
	Seal   string
	Body   string
	// Events are the numbers of the events of a stream, in order, and when they came.
	Events []int
	Times  []time.Time
	// Whole is set if the answer ended properly.
	Whole bool
	// GaveUp is set if the client left after the gap of the protocol.
	GaveUp bool
	Err    error
}

const (
	// gapLimit is after which pause a client gives a stream up: four times the objective.
	gapLimit = 7200 * time.Millisecond
)

// Stream sends a streaming request and reads its events.
func Stream(ctx context.Context, addr, id string, prompt, most int, record *Record) *Reply {
	body := "{}"
	head := fmt.Sprintf("POST /lohu930/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nModel: m\r\nToken-Usage: %d,%d\r\nLength-Hint: %d\r\n"+
		"Prefix-Hash: 5c1e07a2:40,91bd3f06:39,%s:%d\r\nTimeout-Ms: 39000\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n%s",
		host, id, prompt, most, most, id, prompt-79, apiKey, len(body), body)
	re := &Reply{ID: id, Sent: time.Now()}
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		re.Err = err
		return re
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	record.Add("client sends request %s to %s", id, addr)
	if _, err := io.WriteString(c, head); err != nil {
		re.Err = err
		return re
	}
	re.read(c)
	record.Add("client: request %s ends: status %d, %d events, whole %t, gave up %t, error %v", id, re.Status, len(re.Events), re.Whole, re.GaveUp, re.Err)
	return re
}

func (re *Reply) read(c net.Conn) {
	_ = c.SetReadDeadline(time.Now().Add(gapLimit))
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		re.failed(err)
		return
	}
	re.Status, re.Seal = resp.StatusCode, resp.Header.Get("Response-Seal")
	lines := bufio.NewReader(resp.Body)
	var text strings.Builder
	for {
		_ = c.SetReadDeadline(time.Now().Add(gapLimit))
		line, err := lines.ReadString('\n')
		text.WriteString(line)
		if n, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok {
			number, _ := strconv.Atoi(n)
			re.Events = append(re.Events, number)
			re.Times = append(re.Times, time.Now())
		}
		if errors.Is(err, io.EOF) {
			re.Whole = true
			re.Body = text.String()
			return
		}
		if err != nil {
			re.Body = text.String()
			re.failed(err)
			return
		}
	}
}

func (re *Reply) failed(err error) {
	re.Err = err
	var n net.Error
	re.GaveUp = errors.As(err, &n) && n.Timeout()
}

// Plain sends a plain request on a connection of its own.
func Plain(ctx context.Context, addr, path, id, key string, wait time.Duration, record *Record) *Reply {
	re := &Reply{ID: id, Sent: time.Now()}
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		re.Err = err
		return re
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	_ = c.SetDeadline(time.Now().Add(wait + time.Second))
	body := "{}"
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTimeout-Ms: %d\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n%s",
		path, host, id, wait.Milliseconds(), key, len(body), body)
	if err != nil {
		re.Err = err
		return re
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		re.Err = err
	} else {
		text, err := io.ReadAll(resp.Body)
		re.Status, re.Seal, re.Body, re.Err, re.Whole = resp.StatusCode, resp.Header.Get("Response-Seal"), string(text), err, err == nil
	}
	record.Add("client: request %s sent at %.3f to %s: status %d, %q, error %v", id, record.At(re.Sent), addr, re.Status, re.Body, re.Err)
	return re
}
