package exchange

import (
	"bufio"
	"bytes"
	"io"
	"math"
	"net/http/httputil"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// extremeSizes are the sizes at which integers of the usual widths overflow, and their neighbours.
var extremeSizes = []uint64{
	0, 1, math.MaxUint8, math.MaxUint16, math.MaxInt32 - 1, math.MaxInt32, 1 << 31, math.MaxUint32, 1 << 32,
	math.MaxInt64 - 5, math.MaxInt64 - 1, math.MaxInt64, 1 << 63, math.MaxUint64 - 1, math.MaxUint64,
}

// TestExtremeChunkSizes guards against a stated chunk size that overflows the arithmetic of the reader:
// it ended the whole process of a box (review/1).
func TestExtremeChunkSizes(t *testing.T) {
	for _, before := range []string{"", "5\r\nhello\r\n", "5\r\nhello\r\n1\r\n!\r\n"} {
		for _, size := range extremeSizes {
			data := []byte(before + strconv.FormatUint(size, 16) + "\r\nworld\r\n0\r\n\r\n")
			wanted, wantErr := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(data)))
			for _, readSize := range []int{1, 3, 7, 512, readBufferSize} {
				got, err := readChunks(data, readSize)
				if size <= math.MaxInt64 {
					require.Equal(t, string(wanted), string(got), "%q read by %d bytes", data, readSize)
				}
				require.Equal(t, wantErr == nil, err == nil, "%q read by %d bytes: %v, %v", data, readSize, wantErr, err)
			}
		}
	}
}

// readChunks reads a chunked body with a buffer of the given size.
func readChunks(data []byte, size int) ([]byte, error) {
	c := &chunkReader{br: bufio.NewReaderSize(bytes.NewReader(data), readBufferSize)}
	buf := make([]byte, size)
	var body []byte
	for {
		n, err := c.Read(buf)
		body = append(body, buf[:n]...)
		if c.clean() {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}
