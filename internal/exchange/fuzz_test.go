package exchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// received is a connection whose bytes have all arrived and whose server has closed it.
type received struct {
	net.Conn

	in *bytes.Reader
}

func (r *received) Read(p []byte) (int, error) { return r.in.Read(p) }

// FuzzAnswer: an answer is either rejected or read as the standard library reads it.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 200 OK\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nA: b\r\n\r\nmore",
		"HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 200 OK\nContent-Length: 1\n\nx",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n7fffffffffffffff\r\nb",
		"HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\nx",
	} {
		f.Add([]byte(seed), false)
		f.Add([]byte(seed), true)
	}
	f.Fuzz(func(t *testing.T, data []byte, head bool) {
		method := http.MethodGet
		if head {
			method = http.MethodHead
		}
		h, body, err := parse(data, method)
		if err != nil {
			return
		}
		want := standardAnswer(t, data, method)
		require.Equal(t, want.StatusCode, h.status)
		defer want.Body.Close()
		wanted, wantErr := io.ReadAll(want.Body)
		require.Equal(t, string(wanted), string(body))
		if len(want.TransferEncoding) == 0 { // a trailer is discarded unread
			require.NoError(t, wantErr)
		}
	})
}

// parse reads a whole answer.
func parse(data []byte, method string) (*answerHead, []byte, error) {
	c := &conn{nc: &received{in: bytes.NewReader(data)}}
	c.attach()
	defer c.detach()
	x := &exchange{ctx: context.Background(), conn: c, sent: &sending{}}
	h, f, err := x.readAnswer(method)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(newBodyReader(c.br, f, x.sent))
	return h, body, err
}

// standardAnswer returns the first final answer as net/http reads it.
func standardAnswer(t *testing.T, data []byte, method string) *http.Response {
	br := bufio.NewReader(bytes.NewReader(data))
	for {
		resp, err := http.ReadResponse(br, &http.Request{Method: method})
		require.NoError(t, err)
		if resp.StatusCode/100 != 1 {
			return resp
		}
	}
}
