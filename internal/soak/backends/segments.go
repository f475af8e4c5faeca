package backends

import "fmt"

const (
	// DeadlySegment is a prompt segment that crashes each server that begins to answer a request with it.
	DeadlySegment = "deadly"
	// NeighbourSegment is the first segment of requests with that one, and of others that share all their
	// segments but that one.
	NeighbourSegment = "system-0"
	// firstSegments is how many there are like NeighbourSegment, and topics how many segments may follow
	// each of them.
	firstSegments = 2
	topics        = 3
)

// Segments returns the prompt segments that a request shares with others. Requests with different first
// segments share none.
func Segments(id string) []string { return segments(id, draw(id, firstSegments)) }

// DeadlySegments returns the segments of a request that crashes servers by one of them.
func DeadlySegments(id string) []string { return append(segments(id, 0), DeadlySegment) }

func segments(id string, first int) []string {
	return []string{fmt.Sprint("system-", first), fmt.Sprintf("topic-%d-%d", first, draw("topic of "+id, topics))}
}
