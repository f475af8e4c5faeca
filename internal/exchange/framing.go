package exchange

import (
	"net/http"
	"strconv"
	"strings"
)

// unknownLength is the content length of an answer that does not state one.
const unknownLength = -1

// framing determines the end of an answer's body.
type framing struct {
	kind   framingKind
	length int64 // bytes of the body, for sized
}

type framingKind uint8

const (
	bodiless   framingKind = iota // the answer has no body
	sized                         // Content-Length bytes
	chunked                       // until the last chunk
	untilClose                    // until the server closes the connection
)

// framingOf determines how the body of an answer ends, after RFC 9112, section 6.3. It rejects what
// that section lets a recipient repair, because a faulty server may have produced it.
func framingOf(method string, h *answerHead) (framing, error) {
	length, err := contentLength(h.header["Content-Length"])
	if err != nil {
		return framing{}, err
	}
	coded, err := isChunked(h)
	switch {
	case err != nil:
		return framing{}, err
	case coded && length != unknownLength:
		return framing{}, &malformedError{what: "both Content-Length and Transfer-Encoding"}
	case hasNoBody(method, h.status):
		return framing{kind: bodiless, length: bodilessLength(method, length)}, nil
	case coded:
		return framing{kind: chunked, length: unknownLength}, nil
	case length != unknownLength:
		return framing{kind: sized, length: length}, nil
	default:
		return framing{kind: untilClose, length: unknownLength}, nil
	}
}

// isChunked reports whether the body is chunked. No other coding is accepted, since none was
// requested.
func isChunked(h *answerHead) (bool, error) {
	coding, coded := h.header["Transfer-Encoding"]
	switch {
	case !coded:
		return false, nil
	case h.minor == '0':
		return false, &malformedError{what: "Transfer-Encoding in HTTP/1.0"}
	case len(coding) != 1 || !strings.EqualFold(coding[0], "chunked"):
		return false, &malformedError{what: "Transfer-Encoding"}
	default:
		return true, nil
	}
}

// bodilessLength is the length to report for an answer without a body. For a HEAD request it is
// that of the body that GET would have returned.
func bodilessLength(method string, length int64) int64 {
	if method == http.MethodHead {
		return length
	}
	return 0
}

func hasNoBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// contentLength parses the length, on which all values must agree.
func contentLength(values []string) (int64, error) {
	length := int64(unknownLength)
	for _, v := range values {
		n, err := strconv.ParseUint(v, 10, 63)
		if err != nil {
			return 0, &malformedError{what: "Content-Length"}
		}
		if length != unknownLength && length != int64(n) {
			return 0, &malformedError{what: "Content-Length values differ"}
		}
		length = int64(n)
	}
	return length, nil
}
