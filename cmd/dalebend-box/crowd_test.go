package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/platform/standin"
)

const (
	// headBytes is just below the limit of a head.
	headBytes = 61 << 10
	// endlessBytes is what a sender without end sends at most: well above all limits.
	endlessBytes = 4 << 20
	// crowdSize is the number of connections of a crowd.
	crowdSize = 300
	// reopened is how often a connection of a crowd is opened again when it is closed.
	reopened = 9
	// callsPort is the port for other boxes, tunnelHeadBytes is below the limit of a tunnel's head.
	callsPort       = "7200"
	tunnelHeadBytes = 2 << 10
)

// tinyFields writes header fields, no two alike, without the end of the head.
func tinyFields(w *bufio.Writer, bytes int) error {
	for n, written := 0, 0; written < bytes; n++ {
		m, err := fmt.Fprintf(w, "%x:\r\n", n)
		if err != nil {
			return err
		}
		written += m
	}
	return nil
}

// repeated writes one text again and again.
func repeated(w *bufio.Writer, text string, bytes int) error {
	for written := 0; written < bytes; written += len(text) {
		if _, err := w.WriteString(text); err != nil {
			return err
		}
	}
	return nil
}

const (
	requestLine = "GET / HTTP/1.1\r\nHost: sound.test\r\n"
	// chunkedHead is the head of a request with a body in chunks; its id has a text and a number.
	chunkedHead = "POST / HTTP/1.1\r\nHost: sound.test\r\n" + standin.IDHeader + ": %s-%d\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// crowd is what each connection of a crowd sends, and how often it comes again when it is closed.
type crowd struct {
	send  func(n int, w *bufio.Writer) error
	again int
}

// TestCrowdOfCallersEndsNoBox guards against a process that runs out of memory or descriptors by what callers send before a request.
func TestCrowdOfCallersEndsNoBox(t *testing.T) {
	for name, c := range map[string]crowd{
		"heads of tiny fields": {send: func(_ int, w *bufio.Writer) error {
			_, _ = w.WriteString(requestLine) // a failure shows in the next write
			return tinyFields(w, headBytes)
		}},
		"heads without end": {again: reopened, send: func(_ int, w *bufio.Writer) error {
			_, _ = w.WriteString(requestLine)
			return tinyFields(w, endlessBytes)
		}},
		"heads of one name": {send: func(_ int, w *bufio.Writer) error {
			_, _ = w.WriteString(requestLine)
			return repeated(w, "a:\r\n", headBytes)
		}},
		"long request lines": {send: func(_ int, w *bufio.Writer) error { return repeated(w, "a", headBytes) }},
		"nothing":            {send: func(int, *bufio.Writer) error { return nil }},
		"answers that nobody reads": {send: func(n int, w *bufio.Writer) error {
			return repeated(w, fmt.Sprintf(requestLine+standin.IDHeader+": unread-%d\r\n\r\n", n), headBytes)
		}},
	} {
		t.Run(name, func(t *testing.T) { requireOutlived(t, c) })
	}
}

// TestLargestHeadIsServed guards against a limit that refuses a request within those of the configuration.
func TestLargestHeadIsServed(t *testing.T) {
	const maxHeaderBytes = 16 << 10
	r := newRig(t)
	r.start()
	conn, err := net.Dial("tcp", r.file.Front())
	require.NoError(t, err)
	defer conn.Close()
	w := bufio.NewWriter(conn)
	const first, last = requestLine + standin.IDHeader + ": largest\r\n", "\r\n"
	_, _ = w.WriteString(first) // a failure shows in Flush
	require.NoError(t, tinyFields(w, maxHeaderBytes-len(first)-len(last)-len("ffff:\r\n")))
	_, _ = w.WriteString(last)
	require.NoError(t, w.Flush())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "answer of sound to largest", string(text))
	r.requireHealthy()
}

// TestMalformedCallersEndNoBox guards against a process that runs out of memory or descriptors by what callers send that is no request.
func TestMalformedCallersEndNoBox(t *testing.T) {
	for name, c := range map[string]crowd{
		"request lines without end": {again: reopened, send: func(_ int, w *bufio.Writer) error { return repeated(w, "a", endlessBytes) }},
		"empty lines without end":   {again: reopened, send: func(_ int, w *bufio.Writer) error { return repeated(w, "\r\n", endlessBytes) }},
		"empty lines after a request": {again: reopened, send: func(_ int, w *bufio.Writer) error {
			_, _ = w.WriteString("POST / HTTP/1.1\r\nHost: sound.test\r\nContent-Length: 0\r\n\r\n")
			return repeated(w, "\r\n", endlessBytes)
		}},
		"bodies of one byte a chunk": {send: func(n int, w *bufio.Writer) error {
			_, _ = fmt.Fprintf(w, chunkedHead, "chunks", n)
			return repeated(w, "1;"+strings.Repeat("e", 40)+"\r\na\r\n", headBytes)
		}},
		"trailers of tiny fields": {again: reopened, send: func(n int, w *bufio.Writer) error {
			_, _ = fmt.Fprintf(w, chunkedHead+"1\r\na\r\n0\r\n", "trailer", n)
			return tinyFields(w, endlessBytes)
		}},
	} {
		t.Run(name, func(t *testing.T) { requireOutlived(t, c) })
	}
}

func requireOutlived(t *testing.T, c crowd) {
	r := newRig(t)
	r.start()
	r.crowd(crowdSize, c.again, r.file.Front(), c.send)
	r.requireHealthy()
}

// TestResetsEndNoBox guards against a process that runs out of memory or descriptors by callers that reset their connections at once.
func TestResetsEndNoBox(t *testing.T) {
	const resets = 10_000
	r := newRig(t)
	r.start()
	for range resets {
		conn, err := net.Dial("tcp", r.file.Front())
		require.NoError(t, err)
		_, err = io.WriteString(conn, requestLine)
		require.NoError(t, err)
		require.NoError(t, conn.(*net.TCPConn).SetLinger(0))
		require.NoError(t, conn.Close())
	}
	r.requireHealthy()
}

// TestCrowdAtOtherPortsEndsNoBox guards against a process that runs out of memory or descriptors by what is sent to its other ports.
func TestCrowdAtOtherPortsEndsNoBox(t *testing.T) {
	heads := func(_ int, w *bufio.Writer) error {
		_, _ = w.WriteString(requestLine) // a failure shows in the next write
		return tinyFields(w, endlessBytes)
	}
	for name, c := range map[string]struct {
		port string
		crowd
	}{
		"ready":   {"8749", crowd{send: heads, again: reopened}},
		"metrics": {metricsPort, crowd{send: heads, again: reopened}},
		"calls":   {callsPort, crowd{send: func(_ int, w *bufio.Writer) error { return w.WriteByte(1) }}},
		"tunnels": {callsPort, crowd{send: func(_ int, w *bufio.Writer) error {
			_, _ = w.WriteString("GET /tunnel/sound HTTP/1.1\r\nHost: sound.test\r\n")
			return tinyFields(w, tunnelHeadBytes)
		}}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.start()
			r.crowd(crowdSize, c.again, r.addr(c.port), c.send)
			r.requireHealthy()
			require.True(t, r.ready())
		})
	}
}

// faultyCallers is the number of requests at faulty servers at once. With a connection on each side they are below
// the descriptors that the box has.
const faultyCallers = 80

// TestHeadsOfFaultyServersEndNoBox guards against a process that runs out of memory by the parsed heads of many answers.
func TestHeadsOfFaultyServersEndNoBox(t *testing.T) {
	requireServersOutlived(t, func(w *bufio.Writer) error {
		_, _ = w.WriteString("HTTP/1.1 200 OK\r\n") // a failure shows in the next write
		return tinyFields(w, headBytes)
	})
}

// TestFaultyServersEndNoBox guards against a process that runs out of memory by what many faulty servers send without end at once.
func TestFaultyServersEndNoBox(t *testing.T) {
	for name, answer := range map[string]func(w *bufio.Writer) error{
		"heads": func(w *bufio.Writer) error {
			_, _ = w.WriteString("HTTP/1.1 200 OK\r\n") // a failure shows in the next write
			return tinyFields(w, endlessBytes)
		},
		"interim heads": func(w *bufio.Writer) error {
			for range endlessBytes / headBytes {
				_, _ = w.WriteString("HTTP/1.1 103 Early Hints\r\n")
				if err := tinyFields(w, headBytes/8); err != nil {
					return err
				}
				_, _ = w.WriteString("\r\n")
			}
			return nil
		},
		"trailers of tiny fields": func(w *bufio.Writer) error {
			_, _ = w.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n")
			return tinyFields(w, endlessBytes)
		},
		"no answer": func(w *bufio.Writer) error { return repeated(w, "no answer ", endlessBytes) },
		"bodies": func(w *bufio.Writer) error {
			_, _ = w.WriteString("HTTP/1.1 200 OK\r\n\r\n")
			return repeated(w, "body ", endlessBytes)
		},
		"failures": func(w *bufio.Writer) error {
			_, _ = w.WriteString("HTTP/1.1 500 Internal Server Error\r\n\r\n")
			return repeated(w, "body ", endlessBytes)
		},
	} {
		t.Run(name, func(t *testing.T) { requireServersOutlived(t, answer) })
	}
}

func requireServersOutlived(t *testing.T, answer func(w *bufio.Writer) error) {
	r := newRig(t)
	r.start()
	r.faultyServers(4, answer)
	r.callers(faultyCallers)
	r.requireHealthy()
}
