// Package holdoff knows which backend servers have turned this box away and asked it to hold off, to
// send nothing for a time, and keeps it from sending there meanwhile.
//
// The word is for the box that it was given to, so that boxes do not tell each other: a server that
// turns one of them away may serve the others.
//
// Invariants: from when the word is heard until its time is over, no request goes to the server but for
// streams that cannot go on elsewhere, mostGoingOn of them; words that overlap count as the one that ends
// last. After that one request at a time goes there until the server has answered one without such a
// word, so that it is tried by one caller of each box and not by all of them.
package holdoff
