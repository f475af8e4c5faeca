// Package departure knows which backend servers say in their answers that they are about to end.
//
// That word may come long before the same one in the server's entry, which cannot be written while the
// store is away.
package departure
