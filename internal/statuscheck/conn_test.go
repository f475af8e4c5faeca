package statuscheck_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/statuscheck"
)

// answered is a connection on which answers have arrived.
type answered struct {
	net.Conn

	in io.Reader
}

func (a *answered) Read(p []byte) (int, error)  { return a.in.Read(p) }
func (a *answered) Write(p []byte) (int, error) { return len(p), nil }

// TestStatus guards against a status that is none of HTTP, such as 000, which the client of the router reads as 200.
func TestStatus(t *testing.T) {
	for text, good := range map[string]bool{
		"HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 000 ":                true,
		"HTTP/1.1 599\r\n\r\n":                                true,
		"\r\nHTTP/1.0 404 Not Found\r\n\r\n":                  true,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n":    true,
		"HTTP/1.1 103\r\nA: b\r\n\r\nHTTP/1.1 000 OK\r\n":     false,
		"HTTP/1.1 100 Continue\n\nHTTP/1.1 000 OK\n":          false,
		"HTTP/1.1 000 \r\n\r\n":                               false,
		"HTTP/1.1 000\r\nContent-Length: 2\r\n\r\nok":         false,
		"HTTP/1.1 099 Low\r\n\r\n":                            false,
		"HTTP/1.1 600 High\r\n\r\n":                           false,
		"HTTP/1.1 999 High\r\n\r\n":                           false,
		"HTTP/1.1 1000 Long\r\n\r\n":                          false,
		"HTTP/1.1 20 Short\r\n\r\n":                           false,
		"HTTP/1.1 +20 Signed\r\n\r\n":                         false,
		"HTTP/1.1 -20 Signed\r\n\r\n":                         false,
		"HTTP/1.1 \r\n\r\n":                                   false,
		"HTTP/1.1  200 Two blanks\r\n\r\n":                    true,
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n000 000": true,
	} {
		for name, in := range map[string]io.Reader{"whole": strings.NewReader(text), "byte by byte": iotest.OneByteReader(strings.NewReader(text))} {
			c := &statuscheck.Conn{Conn: &answered{in: in}}
			_, err := c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
			require.NoError(t, err)
			got, err := io.ReadAll(c)
			if good {
				require.NoError(t, err, "%s: %q", name, text)
				require.Equal(t, text, string(got))
				continue
			}
			require.ErrorIs(t, err, statuscheck.ErrStatus, "%s: %q", name, text)
		}
	}
}

// TestNextAnswer: each answer on a connection is looked at.
func TestNextAnswer(t *testing.T) {
	first, second := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 000 \r\n\r\n"
	in := &answered{in: strings.NewReader(first)}
	c := &statuscheck.Conn{Conn: in}
	for _, text := range []string{first, second} {
		in.in = strings.NewReader(text)
		_, err := c.Write([]byte("GET / HTTP/1.1\r\n"))
		require.NoError(t, err)
		_, err = c.Write([]byte("\r\n"))
		require.NoError(t, err)
		_, err = io.ReadAll(c)
		require.Equal(t, text == second, err != nil)
	}
}
