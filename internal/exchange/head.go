package exchange

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// protocolPrefix is the start of every answer, before the digit of the minor version.
const protocolPrefix = "HTTP/1."

// minStatus and maxStatus are the lowest and highest status codes of HTTP.
const (
	minStatus = 100
	maxStatus = 599
)

// statusLineMin is the length of the shortest status line, "HTTP/1.1 200".
const statusLineMin = len("HTTP/1.1 200")

// answerHead is the status line and the header of an answer.
type answerHead struct {
	minor  byte // digit of the minor protocol version
	status int
	header http.Header
}

// informational reports whether another answer to the same request follows.
func (h *answerHead) informational() bool { return h.status/100 == 1 }

// persistent reports whether the server keeps the connection open.
func (h *answerHead) persistent() bool {
	return h.minor == '1' && !hasListToken(h.header["Connection"], "close")
}

// readHead reads an answer's head. Its error is a *malformedError or an error of
// the connection; io.EOF only if the connection ended before the first byte.
func readHead(c *conn) (*answerHead, error) {
	if err := checkPrefix(c.br); err != nil {
		return nil, err
	}
	h := &answerHead{}
	if err := h.readStatusLine(c.br); err != nil {
		return nil, err
	}
	if err := h.readHeader(c.br); err != nil {
		// The parser accepts a header line that was cut off by the end of the connection.
		if c.ended != nil {
			return nil, unexpectedEOF(c.ended)
		}
		return nil, err
	}
	return h, nil
}

// checkPrefix checks the first bytes of an answer, so that another protocol is detected without
// waiting for the end of a line.
func checkPrefix(br *bufio.Reader) error {
	got, err := br.Peek(len(protocolPrefix))
	if !strings.HasPrefix(protocolPrefix, string(got)) {
		return &malformedError{what: "not an HTTP/1 answer"}
	}
	if err != nil && len(got) > 0 {
		return unexpectedEOF(err)
	}
	return err
}

func (h *answerHead) readStatusLine(br *bufio.Reader) error {
	line, err := br.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return &malformedError{what: "status line is too long"}
	}
	if err != nil {
		return unexpectedEOF(err)
	}
	text := strings.TrimSuffix(strings.TrimSuffix(string(line), "\n"), "\r")
	if len(text) < statusLineMin || !isFieldValue(text) {
		return &malformedError{what: "status line"}
	}
	h.minor = text[len(protocolPrefix)]
	rest := text[len(protocolPrefix)+1:]
	if h.minor < '0' || h.minor > '9' || rest[0] != ' ' || (len(rest) > 4 && rest[4] != ' ') {
		return &malformedError{what: "status line"}
	}
	h.status, err = parseStatus(rest[1:4])
	return err
}

// parseStatus parses a status code.
func parseStatus(code string) (int, error) {
	status, err := strconv.ParseUint(code, 10, 16)
	if err != nil || status < minStatus || status > maxStatus {
		return 0, &malformedError{what: "status code"}
	}
	return int(status), nil
}

func (h *answerHead) readHeader(br *bufio.Reader) error {
	fields, err := textproto.NewReader(br).ReadMIMEHeader()
	var protocol textproto.ProtocolError
	if errors.As(err, &protocol) {
		return &malformedError{what: protocol.Error()}
	}
	if err != nil {
		return unexpectedEOF(err)
	}
	for name, values := range fields {
		for _, v := range values {
			if !isFieldValue(v) {
				return &malformedError{what: "value of header " + name}
			}
		}
	}
	h.header = http.Header(fields)
	return nil
}

// unexpectedEOF maps the end of the connection inside an answer to io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
