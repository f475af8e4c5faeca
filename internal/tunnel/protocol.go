package tunnel

import (
	"encoding/binary"
	"net/url"
	"strings"
)

const (
	// Prefix begins each tunnel.
	Prefix = "GET " + pathPrefix
	// Protocol is the name of the protocol that a tunnel is upgraded to.
	Protocol = "dalebend-tunnel"

	// BoxHeader names the box that asks.
	BoxHeader = "Dalebend-Box"

	pathPrefix = "/tunnel/"
)

// HeaderBytes is the size of a frame's header, MaxFrameBytes that of the largest frame without it.
const (
	HeaderBytes   = 2
	MaxFrameBytes = 8 << 10
)

// MaxHeadBytes bounds the head of the request for a tunnel, and that of the answer with its reason.
const MaxHeadBytes = 8 << 10

// PutHeader writes the header of a frame of n bytes.
func PutHeader(header []byte, n int) { binary.BigEndian.PutUint16(header, uint16(n)) }

// pathOf returns the path for a server.
func pathOf(server string) string { return pathPrefix + url.PathEscape(server) }

// ServerOf returns the server that an escaped path names.
func ServerOf(escapedPath string) (server string, ok bool) {
	escaped, ok := strings.CutPrefix(escapedPath, pathPrefix)
	if !ok {
		return "", false
	}
	server, err := url.PathUnescape(escaped)
	return server, err == nil && server != ""
}
