// Package tunnel carries connections to backend servers through another box: a box that does not
// reach a server asks a peer that does to connect, and then exchanges bytes with the server over the
// peer. Package endpoint is the peer's side.
//
// A tunnel begins as an HTTP/1.1 request that is upgraded:
//
//	GET /tunnel/SERVER HTTP/1.1
//	Connection: Upgrade
//	Upgrade: dalebend-tunnel
//	Dalebend-Box: NAME
//
// NAME is the box that asks. SERVER is the id of the server instance, URL-escaped; the peer connects only to servers that it
// knows itself. It answers 101 once it is connected, 404 if it doesn't know the server, 502 if the
// server accepts no connection from it, and 503 if it reaches no server or has too many tunnels.
//
// After 101 the bytes to the server follow as they are. Those from the server come in frames: a
// length of two bytes, big-endian, and as many bytes. A frame of length 0 means that the server has
// closed the connection. A tunnel that ends without it was cut: an answer without a length must not
// seem complete because a peer died.
//
// The peer neither reads requests nor repeats them. The box that has the caller chooses servers,
// counts retries and keeps to limits as on direct connections.
package tunnel
