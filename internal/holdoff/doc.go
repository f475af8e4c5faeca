// Package holdoff knows which backend servers have turned this box away and asked it to hold off, to
// send nothing for a time.
//
// The word is for the box that it was given to, so that boxes do not tell each other: a server that
// turns one of them away may serve the others.
package holdoff
