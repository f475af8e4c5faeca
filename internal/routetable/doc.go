// Package routetable holds one version of the routing configuration: which service a request is
// sent to, which client account a key belongs to, and how long a request may take.
//
// A Table is immutable. A request keeps the table that it began with; a change of the configuration
// makes a new one. Versions only rise.
package routetable
